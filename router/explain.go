package router

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
)

// explainDraws is the number of draws that the shares of an Explanation are estimated from. The standard error of a share is 1.1
// percentage points at most.
const explainDraws = 2048

// Exclusion says why an upstream is not among the regular candidates for an attempt.
type Exclusion string

// Exclusions.
const (
	ExclusionNone        Exclusion = ""
	ExclusionEvacuated   Exclusion = "evacuated"
	ExclusionDraining    Exclusion = "draining"
	ExclusionUnreachable Exclusion = "unreachable"
	// ExclusionSilent and ExclusionStopping are of upstreams that get an attempt only if no regular candidate can take it.
	ExclusionSilent   Exclusion = "silent"
	ExclusionStopping Exclusion = "stopping"
	// ExclusionEjected is of an upstream that gets only probes.
	ExclusionEjected Exclusion = "ejected"
)

// Reasons why the next attempt goes to Explanation.Next.
const (
	NextProbe        = "probe"
	NextFirstRequest = "first_request"
)

// Explanation says where an attempt at a service would go now.
type Explanation struct {
	// Known is false if this node knows nothing of the service.
	Known bool `json:"known"`
	// ReportsPace is true if the choice uses load reports of upstreams.
	ReportsPace bool `json:"reports_pace"`
	// PanicMode is true if ejections are ignored because too many upstreams are ejected.
	PanicMode bool `json:"panic_mode"`
	// AwayShare is the share of the recent calls that left the failure domain, if the service reports its pace.
	AwayShare float64 `json:"away_share"`
	// Next is the upstream that the very next attempt goes to whatever the others cost, and NextReason why; both are empty if there is
	// none. The shares of the candidates are those of the attempts after it.
	Next       gypsumhoist.Instance `json:"next,omitempty"`
	NextReason string               `json:"next_reason,omitempty"`
	// Candidates are all upstreams of the service, in the order of their shares, then of their cost.
	Candidates []Candidate `json:"candidates"`
}

// Routable reports whether any upstream would get an attempt.
func (ex *Explanation) Routable() bool {
	return ex.Next != "" || len(ex.Candidates) > 0 && ex.Candidates[0].Share > 0
}

// Candidate is one upstream in an Explanation.
type Candidate struct {
	Instance gypsumhoist.Instance      `json:"instance"`
	Domain   gypsumhoist.FailureDomain `json:"failure_domain"`
	State    string                    `json:"state"`
	// Excluded is empty for a regular candidate.
	Excluded Exclusion `json:"excluded,omitempty"`
	// Tier is the candidate's place by distance, from 0; -1 if it is in none.
	Tier int `json:"tier"`
	// Share is the probability that an attempt goes to the upstream.
	Share float64 `json:"share"`
	// Cost is what the choice compares between the two upstreams that it draws.
	Cost float64 `json:"cost"`
	// Saturated is true if the upstream has no room, fails too often, has just refused or is leaving.
	Saturated   bool    `json:"saturated"`
	Utilisation float64 `json:"utilisation"`
	// InFlight counts the attempts of this node, Load estimates those of all nodes.
	InFlight int     `json:"in_flight"`
	Load     float64 `json:"load"`
	Slots    int     `json:"slots"`
	// SlowStart is the share of its slots that the upstream may use, below 1 in a slow start.
	SlowStart   float64 `json:"slow_start"`
	FailureRate float64 `json:"failure_rate"`
	// EjectedFor is how long the upstream gets no probes yet.
	EjectedFor time.Duration `json:"ejected_for_ns,omitempty"`
	// NodeReportAge is the age of the last count by the upstream's node, UpstreamReportAge that of the upstream's own load report;
	// nil if there was none.
	NodeReportAge     *time.Duration `json:"node_report_age_ns,omitempty"`
	UpstreamReportAge *time.Duration `json:"upstream_report_age_ns,omitempty"`
	// Pace is how long work takes relative to the usual time, as expected from the last report.
	Pace float64 `json:"pace,omitempty"`
	// PredictedCompletion is zero if it is not known.
	PredictedCompletion time.Duration `json:"predicted_completion_ns,omitempty"`
	// Allowance is the chance that a call without room in its domain may go to the candidate's, nil at home.
	Allowance *float64 `json:"allowance,omitempty"`
}

// Explain says where PickFor would send an attempt now. It decides on a copy of the router's state with random numbers of its own, so
// that it changes no later decision.
func (rt *Router) Explain(name gypsumhoist.Service, rq Request) Explanation {
	sv, ok := (*rt.services.Load())[name]
	if !ok {
		return Explanation{Candidates: []Candidate{}}
	}
	now := rt.now()
	sv.mu.Lock()
	gr := sv.group.clone()
	sv.mu.Unlock()
	return gr.explain(now, &rq)
}

// explain makes many choices for one attempt. It changes the group, which must be a copy.
func (gr *Group) explain(now time.Duration, rq *Request) Explanation {
	ex := Explanation{Known: true, PanicMode: gr.panicMode(), Candidates: []Candidate{}}
	probe := gr.dueProbe(now, rq.Idempotent, nil)
	gr.beginPick(now)
	if probe != nil {
		ex.Next, ex.NextReason = probe.upstream.Instance, NextProbe
	} else if mb := gr.newcomer(now, rq, nil); mb != nil {
		ex.Next, ex.NextReason = mb.upstream.Instance, NextFirstRequest
	}
	ex.ReportsPace = gr.loads.inUse
	if ex.ReportsPace {
		ex.AwayShare = gr.awayShare(now)
	}
	chosen := map[*member]int{}
	for at := range explainDraws {
		gr.loads.own = at%ownInterval == 0
		mb := gr.choose(now, rq, nil)
		if mb == nil {
			break
		}
		chosen[mb]++
	}
	gr.loads.own = false
	tiers := map[*member]int{}
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			tiers[mb] = at + 1
		}
	}
	for _, mb := range gr.sorted {
		cd := gr.candidate(now, mb)
		cd.Tier = tiers[mb] - 1
		cd.Share = float64(chosen[mb]) / explainDraws
		ex.Candidates = append(ex.Candidates, cd)
	}
	slices.SortStableFunc(ex.Candidates, compareCandidates)
	return ex
}

// compareCandidates orders candidates by share, regular ones before excluded ones, then by cost.
func compareCandidates(ca, cb Candidate) int {
	switch {
	case ca.Share != cb.Share:
		return descending(ca.Share, cb.Share)
	case (ca.Excluded == "") != (cb.Excluded == ""):
		if ca.Excluded == "" {
			return -1
		}
		return 1
	default:
		return descending(cb.Cost, ca.Cost)
	}
}

func descending(va, vb float64) int {
	switch {
	case va > vb:
		return -1
	case va < vb:
		return 1
	default:
		return 0
	}
}

// candidate describes a member without its tier and share.
func (gr *Group) candidate(now time.Duration, mb *member) Candidate {
	cd := Candidate{
		Instance: mb.upstream.Instance, Domain: mb.upstream.Domain, State: mb.upstream.State.String(), Excluded: gr.exclusion(mb),
		Cost: gr.cost(now, mb), Saturated: gr.saturated(now, mb), Utilisation: gr.utilisation(now, mb),
		InFlight: mb.inFlight, Load: mb.load(now), Slots: int(mb.slots), SlowStart: mb.slowStartFactor(now), FailureRate: mb.failureRate(now),
	}
	if gr.loads.inUse {
		cd.Load = mb.expectedLoad(now)
	}
	if mb.ejection.ejected {
		cd.EjectedFor = max(0, mb.ejection.until-now)
		if cd.Excluded == ExclusionNone && !gr.panicMode() {
			cd.Excluded = ExclusionEjected
		}
	}
	if mb.reportedAt >= 0 {
		age := now - mb.reportedAt
		cd.NodeReportAge = &age
	}
	if mb.prediction.slots > 0 {
		age := now - mb.prediction.at
		cd.UpstreamReportAge = &age
		cd.Pace = mb.prediction.paceNow(now)
	}
	switch {
	case gr.loads.inUse:
		cd.PredictedCompletion = time.Duration(cd.Cost * float64(gr.loads.typical))
	case mb.latency > 0:
		cd.PredictedCompletion = time.Duration(cd.Cost * float64(time.Second))
	}
	if gr.loads.inUse && mb.away != nil {
		allowance := mb.away.allowanceNow(now)
		cd.Allowance = &allowance
	}
	return cd
}

// exclusion returns why a member is in no tier, and ExclusionNone for members of the tiers.
func (gr *Group) exclusion(mb *member) Exclusion {
	grade := gr.reachability.GradeOf(prober.Member{Peer: mb.upstream.Peer, Domain: mb.upstream.Domain})
	switch {
	case gr.evacuates(mb):
		return ExclusionEvacuated
	case gr.drains(mb):
		return ExclusionDraining
	case grade == prober.GradeUnreachable:
		return ExclusionUnreachable
	case grade == prober.GradeSilent:
		return ExclusionSilent
	case mb.upstream.State == StateStopping:
		return ExclusionStopping
	default:
		return ExclusionNone
	}
}

var stateNames = [...]string{"ready", "warming", "stopping", "draining"}

// String returns the state in snake case.
func (st State) String() string {
	if int(st) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[st]
}

// clone returns a copy that shares nothing that either of them changes. Its random source always begins alike, so that the same state is
// explained alike.
func (gr *Group) clone() *Group {
	out := *gr
	out.random = rand.New(rand.NewPCG(1, 1))
	out.delays, out.beliefs = maps.Clone(gr.delays), maps.Clone(gr.beliefs)
	out.spillChanges = nil
	uses := map[*domainUse]*domainUse{}
	out.domainUses = make(map[gypsumhoist.FailureDomain]*domainUse, len(gr.domainUses))
	for dm, du := range gr.domainUses {
		uses[du] = copied(du)
		out.domainUses[dm] = uses[du]
	}
	aways := map[*away]*away{}
	out.aways = make([]*away, 0, len(gr.aways))
	for _, aw := range gr.aways {
		aways[aw] = copied(aw)
		out.aways = append(out.aways, aways[aw])
	}
	members := make(map[*member]*member, len(gr.members))
	out.members = make(map[gypsumhoist.Instance]*member, len(gr.members))
	for in, mb := range gr.members {
		next := copied(mb)
		next.away, next.domainUse = aways[mb.away], uses[mb.domainUse]
		members[mb], out.members[in] = next, next
	}
	of := func(list []*member) []*member {
		next := make([]*member, len(list))
		for at, mb := range list {
			next[at] = members[mb]
		}
		return next
	}
	out.sorted, out.stopping, out.silent, out.ejected = of(gr.sorted), of(gr.stopping), of(gr.silent), of(gr.ejected)
	out.loads.newcomers = of(gr.loads.newcomers)
	out.loads.times, out.loads.weights = nil, nil
	out.tiers = make([]tier, len(gr.tiers))
	for at, tr := range gr.tiers {
		byCapacity := aliasTable{prob: slices.Clone(tr.byCapacity.prob), alias: slices.Clone(tr.byCapacity.alias)}
		out.tiers[at] = tier{members: of(tr.members), table: tr.table, byCapacity: byCapacity}
	}
	return &out
}

func copied[T any](from *T) *T {
	to := *from
	return &to
}
