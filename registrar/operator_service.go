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
	// proposeTimeout bounds one attempt to put a command into the log.
	proposeTimeout = 3 * time.Second
	// barrierTimeout bounds one read barrier.
	barrierTimeout = time.Second
	// waitMax bounds how long an answer waits until its change is in force everywhere.
	waitMax = 30 * time.Second
	// operatorRequestMaxBytes bounds a request of an operator.
	operatorRequestMaxBytes = 4 << 20
)

// headerForwarded marks a request that another instance forwarded and that must not be forwarded again.
const headerForwarded = "Gypsumhoist-Office-Forwarded"

// Log events of the operators' service.
var (
	eventEditAnswered = logger.Define(2410, logger.LevelInfo, "edit_answered",
		"The replicated log answered an operator's edit; the line holds its edit id, outcome and revision.")
	eventEditUnknown = logger.Define(2411, logger.LevelWarn, "edit_outcome_unknown",
		"No control instance answered an edit in time; it may have been accepted. Resend it with the same edit id.")
)

// ErrNotProposed says that a command was certainly not put into the log through this instance.
// A Proposer wraps it when it knows that, for example because it is not the leader.
var ErrNotProposed = errors.New("the command was not put into the log")

// Proposer gives access to the replicated log on a control instance.
// Implementations are safe for concurrent use.
type Proposer interface {
	// Propose returns the answer of State.Apply once the command is committed and applied here.
	// After an error that does not wrap ErrNotProposed, the command may or may not be committed.
	Propose(ctx context.Context, cmd []byte) ([]byte, error)
	// Barrier returns nil once the holder of the process has everything that was accepted before the call.
	Barrier(ctx context.Context) error
}

// OperatorService answers operators. On a process without the control role it forwards their requests to control instances.
// It is safe for concurrent use and needs no Start.
type OperatorService struct {
	self        Source
	holder      *Holder
	peers       connector.Peers
	proposer    Proposer
	distributor *Distributor
	sheet       func() Sheet
	log         *logger.Logger
	controls    atomic.Pointer[[]Source]
	domains     atomic.Pointer[fleetDomains]
	created     time.Time

	capabilities capabilities
}

// NewOperatorService returns the operators' service. Without WithProposer it forwards all requests to the control instances
// given to SetSources.
func NewOperatorService(opts ...Option) *OperatorService {
	op := newOptions(opts)
	return &OperatorService{
		self:        op.self,
		holder:      op.holder,
		peers:       op.peers,
		proposer:    op.proposer,
		distributor: op.distributor,
		sheet:       op.sheet,
		log:         op.log,
		created:     time.Now(),
	}
}

// SetSources replaces the list of other instances: requests are forwarded to the control instances among them, and their failure
// domains are those that can be evacuated.
func (ops *OperatorService) SetSources(sources []Source) {
	domains := fleetDomainsOf(ops.self, sources)
	ops.domains.Store(&domains)
	controls := rendezvous(ops.self.Instance, sources, func(sc Source) bool {
		return sc.Control && sc.Instance != ops.self.Instance
	})
	controls = distinctSuspectsLast(controls)
	ops.controls.Store(&controls)
}

// Handler returns the path and the handler to mount on the operator port and on the peer port.
func (ops *OperatorService) Handler() (string, http.Handler) {
	return registrarpb.NewOfficeHandler(operatorServer{ops},
		connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(operatorRequestMaxBytes))
}

// commit puts a command into the log through this instance.
func (ops *OperatorService) commit(ctx context.Context, id EditID, cm Command) (Answer, error) {
	if ops.proposer == nil {
		return Answer{}, ErrNotProposed
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	data, err := ops.proposer.Propose(ctx, EncodeCommand(id, cm))
	if err != nil {
		return Answer{}, err
	}
	as, err := DecodeAnswer(data)
	if err != nil {
		return Answer{}, err
	}
	ops.log.Log(eventEditAnswered, "edit_id", id, "kind", fmt.Sprintf("%T", cm), "outcome", as.Outcome,
		"revision", as.Revision, "detail", as.Detail)
	return as, nil
}

// edit puts a command into the log through this instance and returns where the change is in force.
func (ops *OperatorService) edit(ctx context.Context, id EditID, waitMS uint32, cm Command) (*registrarpb.EditAnswer, error) {
	as, err := ops.commit(ctx, id, cm)
	if err != nil {
		return nil, err
	}
	return ops.editAnswer(ctx, id, waitMS, as), nil
}

// editAnswer returns an answer of the log for operators. If it was accepted, that says where the change is in force, after waiting for up to waitMS.
func (ops *OperatorService) editAnswer(ctx context.Context, id EditID, waitMS uint32, as Answer) *registrarpb.EditAnswer {
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
	if as.Outcome == OutcomeAccepted && ops.distributor != nil {
		nf := ops.waitInForce(ctx, waitMS, Change{Revision: as.Revision, StaleRefusal: as.StaleRefusal, Accepted: time.Now()})
		ms.InForce = inForceMessage(nf)
		ms.Text += " " + nf.Text()
	}
	return ms
}

func (ops *OperatorService) waitInForce(ctx context.Context, waitMS uint32, cg Change) InForce {
	wait := min(time.Duration(waitMS)*time.Millisecond, waitMax)
	if wait <= 0 {
		return ops.distributor.InForce(cg)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return ops.distributor.WaitInForce(ctx, cg)
}

// confirmNewest returns nil if the table of this process is the newest accepted one.
func (ops *OperatorService) confirmNewest(ctx context.Context) error {
	if ops.proposer == nil {
		return ErrNotProposed
	}
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	return ops.proposer.Barrier(ctx)
}

// sentence capitalizes a detail and adds the full stop.
func sentence(detail string) string {
	if detail == "" {
		return ""
	}
	return strings.ToUpper(detail[:1]) + detail[1:] + "."
}

// localTableText describes how old the local table is when it is returned because no control instance answered.
func (ops *OperatorService) localTableText() string {
	age := ops.holder.Age()
	if age == AgeUnknown {
		return "No control instance answered, and the table of this instance has never been confirmed by one."
	}
	return fmt.Sprintf("No control instance answered; this is the table in force at %s, which was the newest %s ago.",
		ops.self.Instance, age.Round(time.Millisecond))
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

// unknownOutcome logs and returns the error for an edit that may or may not have been accepted.
func (ops *OperatorService) unknownOutcome(id EditID, err error) error {
	ops.log.Log(eventEditUnknown, "edit_id", id, "err", err)
	return connect.NewError(connect.CodeUnknown, fmt.Errorf(
		"the outcome is unknown: the edit may or may not have been accepted; resend it with the same edit id %q to learn which (%w)",
		id, err))
}
