package claimer

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer/claimerpb"
)

var errBadSnapshot = errors.New("invalid snapshot of claims")

func encodeAnswer(an Answer) *claimerpb.Answer {
	msg := &claimerpb.Answer{Status: int32(an.Status), Body: an.Body}
	for _, name := range slices.Sorted(maps.Keys(an.Header)) {
		msg.Headers = append(msg.Headers, &claimerpb.Header{Name: name, Values: an.Header[name]})
	}
	return msg
}

func decodeAnswer(msg *claimerpb.Answer) Answer {
	an := Answer{Status: int(msg.GetStatus()), Body: msg.GetBody()}
	if len(msg.GetHeaders()) > 0 {
		an.Header = make(http.Header, len(msg.GetHeaders()))
	}
	for _, hd := range msg.GetHeaders() {
		an.Header[hd.GetName()] = hd.GetValues()
	}
	return an
}

// Snapshot returns the complete state of the machine.
func (ma *Machine) Snapshot() []byte {
	msg := &claimerpb.Snapshot{NowNs: encodeTime(ma.now)}
	for _, ky := range slices.SortedFunc(maps.Keys(ma.records), compareKeys) {
		msg.Records = append(msg.Records, encodeRecord(ma.records[ky]))
	}
	for _, tb := range ma.tombstones {
		msg.Tombstones = append(msg.Tombstones, &claimerpb.Tombstone{
			Token: tb.token[:], KeepUntilNs: encodeTime(tb.keepUntil),
		})
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		return nil
	}
	return raw
}

// Restore replaces the state of the machine with that of a snapshot.
// An invalid snapshot is an error and leaves the machine unchanged.
func (ma *Machine) Restore(raw []byte) error {
	var msg claimerpb.Snapshot
	if err := proto.Unmarshal(raw, &msg); err != nil {
		return fmt.Errorf("%w: %w", errBadSnapshot, err)
	}
	records := make([]*record, 0, len(msg.Records))
	for _, rm := range msg.Records {
		rc, err := decodeRecord(rm)
		if err != nil {
			return err
		}
		records = append(records, rc)
	}
	tombstones := make([]tombstone, 0, len(msg.Tombstones))
	for _, tm := range msg.Tombstones {
		if len(tm.Token) != len(Token{}) {
			return fmt.Errorf("%w: tombstone with a token of %d bytes", errBadSnapshot, len(tm.Token))
		}
		tombstones = append(tombstones, tombstone{token: Token(tm.Token), keepUntil: decodeTime(tm.KeepUntilNs)})
	}
	ma.clear()
	ma.now = decodeTime(msg.NowNs)
	for _, tb := range tombstones {
		ma.addTombstone(tb)
	}
	for _, rc := range records {
		if ma.records[rc.key] == nil && ma.byToken[rc.token] == nil {
			ma.insert(rc)
		}
	}
	return nil
}

func encodeRecord(rc *record) *claimerpb.Record {
	rm := &claimerpb.Record{
		Workspace: string(rc.key.Workspace), Key: rc.key.Text,
		Fingerprint: rc.fingerprint[:], Token: rc.token[:],
		State:      claimerpb.State(rc.state),
		RunUntilNs: encodeTime(rc.runUntil), KeepUntilNs: encodeTime(rc.keepUntil),
	}
	if rc.state == stateAnswered {
		rm.Answer = encodeAnswer(rc.answer)
	}
	return rm
}

func decodeRecord(rm *claimerpb.Record) (*record, error) {
	ky, err := ParseKey(gypsumhoist.Workspace(rm.Workspace), rm.Key)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadSnapshot, err)
	}
	if len(rm.Token) != len(Token{}) || len(rm.Fingerprint) != len(Fingerprint{}) {
		return nil, fmt.Errorf("%w: token of %d and fingerprint of %d bytes", errBadSnapshot, len(rm.Token), len(rm.Fingerprint))
	}
	if rm.State < 0 || state(rm.State) > stateRan {
		return nil, fmt.Errorf("%w: state %d", errBadSnapshot, rm.State)
	}
	rc := &record{
		key: ky, fingerprint: Fingerprint(rm.Fingerprint), token: Token(rm.Token), state: state(rm.State),
		runUntil: decodeTime(rm.RunUntilNs), keepUntil: decodeTime(rm.KeepUntilNs),
	}
	if rc.state == stateAnswered {
		rc.answer = decodeAnswer(rm.Answer)
	}
	return rc, nil
}

// encodeTime returns nanoseconds since 1970-01-01 UTC, and 0 for the zero time.
func encodeTime(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func decodeTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

func compareKeys(ka, kb Key) int {
	return cmp.Or(cmp.Compare(ka.Workspace, kb.Workspace), cmp.Compare(ka.Text, kb.Text))
}
