package journaler

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/journaler/journalerpb"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

const (
	headerSize = 8       // bytes: length, then checksum of length and payload
	maxFrame   = 1 << 30 // bytes of payload
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers the length too, so that a run of zeros is not a valid frame.
func checksum(payload []byte) uint32 {
	var head [4]byte
	binary.LittleEndian.PutUint32(head[:], uint32(len(payload)))
	return ^crc32.Update(crc32.Update(0, castagnoli, head[:]), castagnoli, payload)
}

func appendFrame(out, payload []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.LittleEndian.AppendUint32(out, checksum(payload))
	return append(out, payload...)
}

// readFrame returns the payload of the frame at the start of data; false means that there is no complete, valid frame.
func readFrame(data []byte) ([]byte, bool) {
	if len(data) < headerSize {
		return nil, false
	}
	size := binary.LittleEndian.Uint32(data)
	if size == 0 || size > maxFrame || uint64(size) > uint64(len(data)-headerSize) {
		return nil, false
	}
	payload := data[headerSize : headerSize+int(size)]
	return payload, checksum(payload) == binary.LittleEndian.Uint32(data[4:])
}

// readFrames returns the payloads of all frames up to the first incomplete or invalid one, and the offset of that one.
func readFrames(data []byte) ([][]byte, int) {
	var payloads [][]byte
	at := 0
	for {
		payload, ok := readFrame(data[at:])
		if !ok {
			return payloads, at
		}
		payloads = append(payloads, payload)
		at += headerSize + len(payload)
	}
}

// containsFrame reports whether a valid frame begins anywhere in data. After a torn save there is none,
// as a save writes one frame and the next save waits until that is synced.
func containsFrame(data []byte) bool {
	for at := range data {
		if _, ok := readFrame(data[at:]); ok {
			return true
		}
	}
	return false
}

func marshalFrame(bt replicator.Batch, base bool, snapshot uint64) ([]byte, error) {
	pb := &journalerpb.Frame{Base: base, SnapshotIndex: snapshot, Reset_: bt.Reset}
	if bt.State != nil {
		vote := bt.State.Vote
		pb.State = &journalerpb.State{Term: bt.State.Term, VoteInstance: string(vote.Instance), VoteBoot: vote.Boot}
	}
	for _, en := range bt.Entries {
		data, err := replicator.MarshalEntry(en)
		if err != nil {
			return nil, err
		}
		pb.Entries = append(pb.Entries, data)
	}
	return proto.Marshal(pb)
}

// frame is a decoded journalerpb.Frame.
type frame struct {
	base     bool
	snapshot uint64
	batch    replicator.Batch
}

func unmarshalFrame(payload []byte) (frame, error) {
	var pb journalerpb.Frame
	if err := proto.Unmarshal(payload, &pb); err != nil {
		return frame{}, err
	}
	fr := frame{base: pb.GetBase(), snapshot: pb.GetSnapshotIndex(), batch: replicator.Batch{Reset: pb.GetReset_()}}
	if st := pb.GetState(); st != nil {
		vote := replicator.MemberID{Instance: gypsumhoist.Instance(st.GetVoteInstance()), Boot: st.GetVoteBoot()}
		fr.batch.State = &replicator.State{Term: st.GetTerm(), Vote: vote}
	}
	for _, data := range pb.GetEntries() {
		en, err := replicator.UnmarshalEntry(data)
		if err != nil {
			return frame{}, err
		}
		fr.batch.Entries = append(fr.batch.Entries, en)
	}
	return fr, nil
}
