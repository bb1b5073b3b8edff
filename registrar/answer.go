package registrar

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// Outcome says what became of a command.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown is the zero value: the answer could not be read.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted means that the change is a revision of the table.
	OutcomeAccepted
	// OutcomeConflict means that somebody else was first; Rows or Placement hold what is there now.
	OutcomeConflict
	// OutcomeRefused means that the command can't be followed; nothing has changed.
	OutcomeRefused
)

// String returns the outcome in one word.
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

// Answer is what the state machine says to a command. It is a plain value.
type Answer struct {
	Outcome Outcome
	// Revision is the one that the command made, or the present one when it changed nothing.
	Revision uint64
	// Detail says in plain words what happened.
	Detail string
	// Rows holds the row after an accepted edit, or the present rows after a conflict (up to conflictsMax).
	Rows []Row
	// Placement holds the present generation after SetPlacement.
	Placement Placement
	Grant     Grant
	// Changed counts the rows that an import changed.
	Changed int
	// Problem names the value that was refused, or is nil.
	Problem *ValueError
	// Sheet is the version of the sheet in force after Replace; zero for none.
	Sheet uint64
	// Ended says which holders of older tables refuse what the command has ended.
	Ended Ended
}

// Ended says which instances that lack a revision do no harm once their lease has run out.
// The zero value says none.
type Ended struct {
	// Refusable is false when instances with an older table may go on under it for long.
	Refusable bool
	// Since is the lowest revision whose holders refuse all that the command has ended, once cut off.
	Since uint64
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
		Refusable:   as.Ended.Refusable,
		RefuseSince: as.Ended.Since,
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

// DecodeAnswer reads what State.Apply returned. Bytes that are no answer get an error.
func DecodeAnswer(data []byte) (Answer, error) {
	ms := &registrarpb.Answer{}
	if err := proto.Unmarshal(data, ms); err != nil {
		return Answer{}, fmt.Errorf("answer of the log: %w", err)
	}
	if ms.GetOutcome() == 0 || ms.GetOutcome() > uint32(OutcomeRefused) {
		return Answer{}, fmt.Errorf("answer of the log: unknown outcome %d", ms.GetOutcome())
	}
	as := Answer{
		Outcome:  Outcome(ms.GetOutcome()),
		Revision: ms.GetRevision(),
		Detail:   ms.GetDetail(),
		Grant:    Grant{Workspace: gypsumhoist.Workspace(ms.GetWorkspace()), KeyID: KeyID(ms.GetKeyId())},
		Changed:  int(ms.GetChanged()),
		Sheet:    ms.GetSheet(),
		Ended:    Ended{Refusable: ms.GetRefusable(), Since: ms.GetRefuseSince()},
	}
	for _, rm := range ms.GetRows() {
		re, err := rowFromMessage(rm)
		if err != nil {
			return Answer{}, fmt.Errorf("answer of the log: %w", err)
		}
		as.Rows = append(as.Rows, re.row)
	}
	if pm := ms.GetPlacement(); pm != nil {
		pe, err := placementFromMessage(pm)
		if err != nil {
			return Answer{}, fmt.Errorf("answer of the log: %w", err)
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
