package registrar

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// Outcome is the result of a command.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown is the zero value: the answer could not be read.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the command succeeded; Answer.Revision includes its change, if any.
	OutcomeAccepted
	// OutcomeConflict means that a concurrent change won; Rows or Placement hold the current values.
	OutcomeConflict
	// OutcomeRefused means that the command is invalid; nothing has changed.
	OutcomeRefused
)

// String returns the outcome as a lower-case word.
func (oc Outcome) String() string {
	switch oc {
	case OutcomeAccepted:
		return "accepted"
	case OutcomeConflict:
		return "conflict"
	case OutcomeRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// Answer is the state machine's answer to a command.
type Answer struct {
	Outcome Outcome
	// Revision is the one that the command created, or the current one if nothing changed.
	Revision uint64
	// Detail describes the result for operators.
	Detail string
	// Rows holds the row after an accepted edit, or the current rows after a conflict (up to conflictsMax).
	Rows []Row
	// Placement is the current generation of the shard group, after SetPlacement.
	Placement Placement
	Grant     Grant
	// Changed counts the rows that an import changed.
	Changed int
	// Problem is the value that was refused, or nil.
	Problem *ValueError
	// Sheet is the version of the sheet in force after Replace; zero means none.
	Sheet uint64
	// StaleRefusal says which instances with an older table refuse the requests that the command affects, once their lease has expired.
	StaleRefusal StaleRefusal
}

// StaleRefusal says which instances that lack a revision can no longer act on what it replaced:
// cut off from control, they refuse the rows concerned once their table is older than CutOffLease.
// The zero value guarantees nothing.
type StaleRefusal struct {
	// Guaranteed is false if instances with an older table may go on serving under it without a time limit.
	Guaranteed bool
	// MinRevision is the lowest table revision from which an instance that is cut off refuses all that the command replaced or withdrew.
	MinRevision uint64
}

func accepted(detail string, rows ...Row) Answer {
	return Answer{Outcome: OutcomeAccepted, Detail: detail, Rows: rows}
}

func conflict(detail string, rows ...Row) Answer {
	return Answer{Outcome: OutcomeConflict, Detail: detail, Rows: rows}
}

func refused(format string, args ...any) Answer {
	return Answer{Outcome: OutcomeRefused, Detail: fmt.Sprintf(format, args...)}
}

func refusedValue(ve *ValueError) Answer {
	return Answer{Outcome: OutcomeRefused, Detail: ve.Error(), Problem: ve}
}

func (as Answer) message() *registrarpb.Answer {
	ms := &registrarpb.Answer{
		Outcome:     uint32(as.Outcome),
		Revision:    as.Revision,
		Detail:      as.Detail,
		KeyId:       string(as.Grant.KeyID),
		Workspace:   string(as.Grant.Workspace),
		Changed:     uint32(as.Changed),
		Refusable:   as.StaleRefusal.Guaranteed,
		RefuseSince: as.StaleRefusal.MinRevision,
		Sheet:       as.Sheet,
	}
	for _, rw := range as.Rows {
		ms.Rows = append(ms.Rows, rowMessage(rw))
	}
	if as.Placement.Generation > 0 {
		ms.Placement = placementMessage(as.Placement)
	}
	if ve := as.Problem; ve != nil {
		ms.Problem = &registrarpb.ValueProblem{
			Line: int32(ve.Line), Row: ve.Row, Column: string(ve.Column), Value: ve.Value, Allowed: ve.Allowed,
		}
	}
	return ms
}

// DecodeAnswer decodes what State.Apply returned.
func DecodeAnswer(data []byte) (Answer, error) {
	ms := &registrarpb.Answer{}
	if err := proto.Unmarshal(data, ms); err != nil {
		return Answer{}, fmt.Errorf("decode answer: %w", err)
	}
	if ms.GetOutcome() == 0 || ms.GetOutcome() > uint32(OutcomeRefused) {
		return Answer{}, fmt.Errorf("decode answer: unknown outcome %d", ms.GetOutcome())
	}
	as := Answer{
		Outcome:      Outcome(ms.GetOutcome()),
		Revision:     ms.GetRevision(),
		Detail:       ms.GetDetail(),
		Grant:        Grant{Workspace: gypsumhoist.Workspace(ms.GetWorkspace()), KeyID: KeyID(ms.GetKeyId())},
		Changed:      int(ms.GetChanged()),
		Sheet:        ms.GetSheet(),
		StaleRefusal: StaleRefusal{Guaranteed: ms.GetRefusable(), MinRevision: ms.GetRefuseSince()},
	}
	for _, rm := range ms.GetRows() {
		re, err := rowFromMessage(rm)
		if err != nil {
			return Answer{}, fmt.Errorf("decode answer: %w", err)
		}
		as.Rows = append(as.Rows, re.row)
	}
	if pm := ms.GetPlacement(); pm != nil {
		pe, err := placementFromMessage(pm)
		if err != nil {
			return Answer{}, fmt.Errorf("decode answer: %w", err)
		}
		as.Placement = pe.placement
	}
	if vp := ms.GetProblem(); vp != nil {
		as.Problem = &ValueError{
			Line: int(vp.GetLine()), Row: vp.GetRow(), Column: Column(vp.GetColumn()),
			Value: vp.GetValue(), Allowed: vp.GetAllowed(),
		}
	}
	return as, nil
}
