package registrar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

var eventEvacuation = logger.Define(2412, logger.LevelInfo, "evacuation_answered",
	"An order to evacuate or to restore a failure domain was answered here; the line holds the domain, the order, the outcome and the revision.")

// ErrUnknownDomain says that no instance of the failure domain is known and that it is not evacuated; nothing was changed.
var ErrUnknownDomain = errors.New("no instance of the failure domain is known")

// controlOnlyMax is the number of known instances of a domain from which the domain may have others although all of them are control only:
// gossip passes on three instances of a domain, and the control instances.
const controlOnlyMax = 3

// fleetDomains are the failure domains of the known instances, sorted.
type fleetDomains struct {
	known   []gypsumhoist.FailureDomain
	serving []gypsumhoist.FailureDomain // those that may have upstreams
}

// fleetDomainsOf returns the domains of the given instances and of self.
func fleetDomainsOf(self Source, sources []Source) fleetDomains {
	controlOnly := map[gypsumhoist.FailureDomain]int{} // control-only instances by domain; controlOnlyMax if the domain may have others
	for _, sc := range append([]Source{self}, sources...) {
		switch {
		case sc.Domain == "":
		case sc.ControlOnly:
			controlOnly[sc.Domain]++
		default:
			controlOnly[sc.Domain] = controlOnlyMax
		}
	}
	var fd fleetDomains
	for dm, count := range sorted(controlOnly) {
		fd.known = append(fd.known, dm)
		if count >= controlOnlyMax {
			fd.serving = append(fd.serving, dm)
		}
	}
	return fd
}

// Evacuate evacuates a failure domain or restores it, whichever control instance leads. Only control instances can do so.
// It returns once the change is durable; nodes apply it within ApplyWithin. An order that is already fulfilled is accepted.
// OutcomeRefused means that no other domain could take the requests, OutcomeConflict that another order came in between.
// An error that wraps ErrUnknownDomain or ErrNotProposed means that nothing was changed. After any other error the outcome is unknown,
// and the order may be sent again to any instance.
func (ops *OperatorService) Evacuate(ctx context.Context, dm gypsumhoist.FailureDomain, restore bool) (Answer, error) {
	as, err := ops.evacuate(ctx, dm, restore)
	ops.log.Log(eventEvacuation, "failure_domain", dm, "restore", restore, "outcome", as.Outcome, "revision", as.Revision,
		"detail", as.Detail, "err", err)
	return as, err
}

func (ops *OperatorService) evacuate(ctx context.Context, dm gypsumhoist.FailureDomain, restore bool) (Answer, error) {
	// The order must be based on everything accepted before it: an older base would make it a conflict.
	if err := ops.confirmNewest(ctx); err != nil {
		return Answer{}, errors.Join(ErrNotProposed, err)
	}
	if err := ctx.Err(); err != nil {
		// The operator has gone, and may give another order by the time this one is in the log.
		return Answer{}, errors.Join(ErrNotProposed, err)
	}
	tb := ops.holder.Current()
	current, listed := tb.evacuation(dm)
	domains := ops.fleetDomains()
	unknown := !listed && !slices.Contains(domains.known, dm) && !slices.Contains(tb.domains(), dm)
	settling := time.Since(ops.created) < settleTime
	switch {
	case unknown && !settling:
		return Answer{}, fmt.Errorf("%w: %q", ErrUnknownDomain, dm)
	case !unknown && current.evacuated != restore:
		as := accepted(unchangedText(dm, current.evacuated))
		as.Revision = tb.Revision()
		return as, nil
	case settling && (unknown || !restore && tb.evacuationLeavesNone(dm, domains.serving)):
		return Answer{}, fmt.Errorf("this instance has just started and may not know all failure domains: %w", ErrNotProposed)
	}
	if err := ops.checkCapabilities(ctx); err != nil {
		return Answer{}, err
	}
	return ops.commit(ctx, "", EvacuateDomain{Domain: dm, Restore: restore, Base: current.revision, Serving: domains.serving})
}

// fleetDomains returns the failure domains of the known instances.
func (ops *OperatorService) fleetDomains() fleetDomains {
	if fd := ops.domains.Load(); fd != nil {
		return *fd
	}
	return fleetDomainsOf(ops.self, nil)
}

// EvacuateDomain evacuates or restores a failure domain.
func (sv operatorServer) EvacuateDomain(
	ctx context.Context, rq *connect.Request[registrarpb.EvacuateDomainRequest],
) (*editResponse, error) {
	if rq.Msg.GetDomain() == "" {
		// Other control instances ask so whether this build knows evacuations.
		return connect.NewResponse(&registrarpb.EditAnswer{Outcome: registrarpb.Outcome_OUTCOME_REFUSED, Text: "No failure domain is given."}), nil
	}
	// No edit id goes into the log: a resend is recognized by the state, and a conflict must not be remembered for it.
	id := EditID("evacuate-" + rq.Msg.GetDomain())
	if rq.Msg.GetRestore() {
		id = EditID("restore-" + rq.Msg.GetDomain())
	}
	local := func(ctx context.Context) (*registrarpb.EditAnswer, error) {
		as, err := sv.ops.Evacuate(ctx, gypsumhoist.FailureDomain(rq.Msg.GetDomain()), rq.Msg.GetRestore())
		if errors.Is(err, ErrUnknownDomain) {
			return &registrarpb.EditAnswer{Outcome: registrarpb.Outcome_OUTCOME_REFUSED, EditId: string(id), Text: sentence(err.Error())}, nil
		}
		if err != nil {
			return nil, err
		}
		return sv.ops.editAnswer(ctx, id, rq.Msg.GetWaitMs(), as), nil
	}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), local, registrarpb.OfficeClient.EvacuateDomain)
}
