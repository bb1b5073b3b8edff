package registrar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

const (
	// proposeLongest bounds one try to put a command into the log.
	proposeLongest = 3 * time.Second
	// barrierLongest bounds one read barrier.
	barrierLongest = time.Second
	// waitLongest bounds how long an answer waits until its change is in force.
	waitLongest = 30 * time.Second
	// officeMessageMax bounds a request of an operator in bytes.
	officeMessageMax = 4 << 20
)

// headerForwarded marks a request that an Office passed on, so that it goes no further.
const headerForwarded = "Gypsumhoist-Office-Forwarded"

// Log events of the Office.
var (
	eventEdit = logger.Define(2410, logger.LevelInfo, "edit_answered",
		"The log answered an operator's edit; the line names its edit id, outcome and revision.")
	eventUnknown = logger.Define(2411, logger.LevelWarn, "edit_outcome_unknown",
		"No control instance answered an edit in time; it may have been accepted. Resend it with the same edit id.")
)

// ErrNotProposed says that a command surely did not get into the log through this instance.
// A Proposer wraps it when it knows so, for instance as it is not the leader.
var ErrNotProposed = errors.New("the command was not put into the log")

// Proposer is the way into the replicated log on a control instance.
// Implementations are safe for concurrent use.
type Proposer interface {
	// Propose returns the answer of State.Apply once the command is committed and applied here.
	// Any error but one that wraps ErrNotProposed leaves open whether that will happen.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// Barrier returns nil once the holder of the process has all that was accepted before the call.
	Barrier(ctx context.Context) error
}

// Office answers operators. On a process without the control role it passes their requests on.
// It is safe for concurrent use and needs no Start.
type Office struct {
	self     Source
	holder   *Holder
	peers    connector.Peers
	proposer Proposer
	spreader *Spreader
	sheet    func() Sheet
	log      *logger.Logger
	controls atomic.Pointer[[]Source]
}

// NewOffice returns an office. Without WithProposer it passes everything on to the control instances of SetSources.
func NewOffice(opts ...Option) *Office {
	op := newOptions(opts)
	return &Office{
		self:     op.self,
		holder:   op.holder,
		peers:    op.peers,
		proposer: op.proposer,
		spreader: op.spreader,
		sheet:    op.sheet,
		log:      op.log,
	}
}

// SetSources replaces what is known of other instances; only the control instances count here.
func (of *Office) SetSources(sources []Source) {
	controls := rendezvous(of.self.Instance, sources, func(sc Source) bool {
		return sc.Control && sc.Instance != of.self.Instance
	})
	controls = dropDoubles(controls)
	of.controls.Store(&controls)
}

// Handler returns what is to be mounted on the operator port and on the peer port.
func (of *Office) Handler() (string, http.Handler) {
	return registrarpb.NewOfficeHandler(officeServer{of},
		connect.WithCompressMinBytes(compressFrom), connect.WithReadMaxBytes(officeMessageMax))
}

// commit puts a command into the log here.
func (of *Office) commit(ctx context.Context, id EditID, cm Command) (Answer, error) {
	if of.proposer == nil {
		return Answer{}, ErrNotProposed
	}
	ctx, cancel := context.WithTimeout(ctx, proposeLongest)
	defer cancel()
	data, err := of.proposer.Propose(ctx, EncodeCommand(id, cm))
	if err != nil {
		return Answer{}, err
	}
	as, err := DecodeAnswer(data)
	if err != nil {
		return Answer{}, err
	}
	of.log.Log(eventEdit, "edit_id", id, "kind", fmt.Sprintf("%T", cm), "outcome", as.Outcome,
		"revision", as.Revision, "detail", as.Detail)
	return as, nil
}

// edit puts a command into the log and says where it is in force.
func (of *Office) edit(ctx context.Context, id EditID, waitMS uint32, cm Command) (*registrarpb.EditAnswer, error) {
	as, err := of.commit(ctx, id, cm)
	if err != nil {
		return nil, err
	}
	ms := &registrarpb.EditAnswer{
		Outcome:   registrarpb.Outcome(as.Outcome),
		EditId:    string(id),
		Revision:  as.Revision,
		Text:      sentence(as.Detail),
		Workspace: string(as.Grant.Workspace),
		KeyId:     string(as.Grant.KeyID),
		Changed:   uint32(as.Changed),
	}
	for _, rw := range as.Rows {
		ms.Rows = append(ms.Rows, rowText(rw))
	}
	if as.Outcome == OutcomeAccepted && of.spreader != nil {
		nf := of.waitInForce(ctx, waitMS, Change{Revision: as.Revision, Ended: as.Ended, Accepted: time.Now()})
		ms.InForce = inForceMessage(nf)
		ms.Text += " " + nf.Text()
	}
	return ms, nil
}

func (of *Office) waitInForce(ctx context.Context, waitMS uint32, cg Change) InForce {
	wait := min(time.Duration(waitMS)*time.Millisecond, waitLongest)
	if wait <= 0 {
		return of.spreader.InForce(cg)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return of.spreader.WaitInForce(ctx, cg)
}

// newest reports whether the table of this process is the newest that was accepted.
func (of *Office) newest(ctx context.Context) error {
	if of.proposer == nil {
		return ErrNotProposed
	}
	ctx, cancel := context.WithTimeout(ctx, barrierLongest)
	defer cancel()
	return of.proposer.Barrier(ctx)
}

// sentence makes a sentence of a detail.
func sentence(detail string) string {
	if detail == "" {
		return ""
	}
	return strings.ToUpper(detail[:1]) + detail[1:] + "."
}

// ownTableText says what a list is worth that no control instance confirmed.
func (of *Office) ownTableText() string {
	age := of.holder.Age()
	if age == AgeUnknown {
		return "No control instance answered, and this instance has no table that one has confirmed."
	}
	return fmt.Sprintf("No control instance answered; this is the table in force at %s, which was the newest %s ago.",
		of.self.Instance, age.Round(time.Millisecond))
}

// editID returns the operator's edit id, or a new random one.
func editID(given string) EditID {
	if given != "" {
		return EditID(given)
	}
	var raw [8]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(raw[:])
	return EditID("edit-" + hex.EncodeToString(raw[:]))
}

// unknownOutcome is the error of an edit of which nobody could say what became of it.
func (of *Office) unknownOutcome(id EditID, err error) error {
	of.log.Log(eventUnknown, "edit_id", id, "err", err)
	return connect.NewError(connect.CodeUnknown, fmt.Errorf(
		"the outcome is unknown: the edit may or may not have been accepted; resend it with the same edit id %q to learn which (%w)",
		id, err))
}
