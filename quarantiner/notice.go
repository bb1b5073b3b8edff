package quarantiner

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/quarantiner/quarantinerpb"
)

// Rumor is a small message for every node of the fleet, distributed by gossip.
type Rumor struct {
	// Topic is always the constant Topic.
	Topic string
	// Key and Version order rumors: of two with the same Key, the one with the higher Version wins.
	// Two rumors with different contents never share both.
	Key     string
	Version uint64
	Payload []byte        // at most RumorMax bytes
	TTL     time.Duration // how long the rumor is to be distributed
}

// Topic is the topic of all rumors of this package.
const Topic = "quarantine"

// RumorMax is the maximum size of a rumor's payload in bytes.
const RumorMax = 512

const nameMax = 256 // bytes of an instance's name in a message

// Notice is the content of a rumor: Death or Lift.
type Notice interface{ notice() }

// Death says which requests were in flight at an upstream when it died.
type Death struct {
	Process  Process
	Suspects []Suspect
}

// Suspect is one request that was in flight at a death.
type Suspect struct {
	Head    Head
	Prefix  int // bytes of body that had been sent
	Sum     Sum
	Epoch   uint32
	Request RequestInfo
}

// ID returns the id of the suspect.
func (su Suspect) ID() SuspectID { return suspectID(su.Head, su.Prefix, su.Sum) }

// Lift clears a suspect: deaths of lower epochs no longer count.
type Lift struct {
	Head   Head
	Prefix int
	Sum    Sum
	Epoch  uint32
	Cause  Cause
}

// ID returns the id of the suspect.
func (lf Lift) ID() SuspectID { return suspectID(lf.Head, lf.Prefix, lf.Sum) }

func (Death) notice() {}
func (Lift) notice()  {}

// Cause says why a suspect was lifted.
type Cause uint8

// Values of Cause.
const (
	CauseCompleted Cause = iota + 1 // the request has completed without crashing an upstream
	CauseOperator                   // an operator lifted it
)

// Encode returns a notice as the payload of a rumor.
func Encode(nt Notice) ([]byte, error) { return proto.Marshal(toProto(nt)) }

// Decode reads the payload of a rumor. A payload that is not a complete, valid notice is an error.
func Decode(payload []byte) (Notice, error) {
	if len(payload) > RumorMax {
		return nil, fmt.Errorf("notice of %d bytes is longer than the maximum of %d", len(payload), RumorMax)
	}
	msg := &quarantinerpb.Notice{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return nil, fmt.Errorf("decode notice: %w", err)
	}
	return fromProto(msg)
}

// rumors splits a death into as many rumors as it needs.
func (dt Death) rumors(ttl time.Duration) []Rumor {
	var out []Rumor
	for _, part := range dt.split() {
		payload, err := Encode(part)
		if err != nil {
			continue
		}
		key := fmt.Sprintf("death/%s/%d/%s", dt.Process.Instance, dt.Process.Boot, part.Suspects[0].ID())
		out = append(out, Rumor{Topic: Topic, Key: key, Version: 1, Payload: payload, TTL: ttl})
	}
	return out
}

// split splits a death into parts that each fit into a rumor.
func (dt Death) split() []Death {
	var out []Death
	part := Death{Process: dt.Process}
	for _, su := range dt.Suspects {
		longer := Death{Process: dt.Process, Suspects: append(part.Suspects[:len(part.Suspects):len(part.Suspects)], su)}
		if len(part.Suspects) > 0 && proto.Size(toProto(longer)) > RumorMax {
			out = append(out, part)
			longer.Suspects = []Suspect{su}
		}
		part = longer
	}
	if len(part.Suspects) > 0 {
		out = append(out, part)
	}
	return out
}

func (lf Lift) rumor(ttl time.Duration) Rumor {
	payload, _ := Encode(lf)
	key := fmt.Sprintf("lift/%s", lf.ID())
	return Rumor{Topic: Topic, Key: key, Version: uint64(lf.Epoch)<<8 | uint64(lf.Cause), Payload: payload, TTL: ttl}
}

func toProto(nt Notice) *quarantinerpb.Notice {
	switch nt := nt.(type) {
	case Death:
		msg := &quarantinerpb.Death{Instance: string(nt.Process.Instance), Boot: nt.Process.Boot}
		for _, su := range nt.Suspects {
			msg.Suspects = append(msg.Suspects, suspectToProto(su))
		}
		return &quarantinerpb.Notice{Kind: &quarantinerpb.Notice_Death{Death: msg}}
	case Lift:
		msg := &quarantinerpb.Lift{
			Head: nt.Head[:], Prefix: uint32(nt.Prefix), Sum: nt.Sum[:], Epoch: nt.Epoch,
			Cause: quarantinerpb.Lift_Cause(nt.Cause),
		}
		return &quarantinerpb.Notice{Kind: &quarantinerpb.Notice_Lift{Lift: msg}}
	}
	return &quarantinerpb.Notice{}
}

func suspectToProto(su Suspect) *quarantinerpb.Suspect {
	return &quarantinerpb.Suspect{
		Head: su.Head[:], Prefix: uint32(su.Prefix), Sum: su.Sum[:], Epoch: su.Epoch,
		Workspace: truncate(string(su.Request.Workspace)), Route: truncate(su.Request.Route),
		Method: truncate(su.Request.Method), Target: truncate(su.Request.Target),
	}
}

// truncate cuts a descriptive text to textMax bytes, and before the first rune that is not valid UTF-8.
func truncate(txt string) string {
	cut := txt[:min(len(txt), textMax)]
	for at, char := range cut {
		if char == '\uFFFD' {
			return cut[:at]
		}
	}
	return cut
}

func fromProto(msg *quarantinerpb.Notice) (Notice, error) {
	switch kind := msg.GetKind().(type) {
	case *quarantinerpb.Notice_Death:
		return deathFromProto(kind.Death)
	case *quarantinerpb.Notice_Lift:
		return liftFromProto(kind.Lift)
	}
	return nil, fmt.Errorf("notice of unknown kind")
}

func deathFromProto(msg *quarantinerpb.Death) (Notice, error) {
	name := msg.GetInstance()
	if name == "" || len(name) > nameMax || len(msg.GetSuspects()) == 0 {
		return nil, fmt.Errorf("death notice without suspects, or with an empty or too long instance name")
	}
	dt := Death{Process: Process{Instance: gypsumhoist.Instance(name), Boot: msg.GetBoot()}}
	for _, sm := range msg.GetSuspects() {
		su, err := suspectFromProto(sm)
		if err != nil {
			return nil, err
		}
		dt.Suspects = append(dt.Suspects, su)
	}
	return dt, nil
}

func suspectFromProto(msg *quarantinerpb.Suspect) (Suspect, error) {
	if err := checkSums(msg.GetHead(), msg.GetSum(), msg.GetPrefix()); err != nil {
		return Suspect{}, err
	}
	return Suspect{
		Head: Head(msg.GetHead()), Prefix: int(msg.GetPrefix()), Sum: Sum(msg.GetSum()), Epoch: msg.GetEpoch(),
		Request: RequestInfo{
			Workspace: gypsumhoist.Workspace(truncate(msg.GetWorkspace())), Route: truncate(msg.GetRoute()),
			Method: truncate(msg.GetMethod()), Target: truncate(msg.GetTarget()),
		},
	}, nil
}

func liftFromProto(msg *quarantinerpb.Lift) (Notice, error) {
	if err := checkSums(msg.GetHead(), msg.GetSum(), msg.GetPrefix()); err != nil {
		return nil, err
	}
	cause := Cause(msg.GetCause())
	if cause != CauseCompleted && cause != CauseOperator || msg.GetEpoch() == 0 {
		return nil, fmt.Errorf("lift notice without a valid cause or epoch")
	}
	return Lift{
		Head: Head(msg.GetHead()), Prefix: int(msg.GetPrefix()), Sum: Sum(msg.GetSum()),
		Epoch: msg.GetEpoch(), Cause: cause,
	}, nil
}

func checkSums(head, sum []byte, prefix uint32) error {
	if len(head) != sumSize || len(sum) != sumSize || prefix > PrefixMax {
		return fmt.Errorf("suspect with hashes of %d and %d bytes over %d bytes of body", len(head), len(sum), prefix)
	}
	return nil
}
