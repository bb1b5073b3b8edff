package server

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

var eventPlaced = logger.Define(1041, logger.LevelInfo, "shard_groups_placed",
	"This instance proposed new generations of its failure domain's shard groups. A generation above 1 has lost the claims of the previous one.")

// Times of the planning of shard groups.
const (
	shardsInterval   = 500 * time.Millisecond
	planDelay        = 3 * time.Second // from the start to the first planning, so that the domain's instances discover each other first
	placeTimeout     = 2 * time.Second
	takeoverInterval = 5 * time.Second // before the domain's next instance proposes the generations that are still lacking
)

// shards feeds the node's sharder with the table's placements and the fleet's membership,
// exchanges reports on shard groups by gossip, and proposes new generations.
type shards struct {
	sv      *Server
	sharder *sharder.Sharder
	planner sharder.Planner
	started time.Time
	// lackingSince is when the plan became non-empty; zero while it is empty.
	lackingSince time.Time
	sent         map[sharder.Key]sentReport
	received     map[string]receivedReport

	mu         sync.Mutex
	placements []sharder.Placement
	candidates []sharder.Candidate
}

// sentReport is the last report sent on a shard, with its time.
type sentReport struct {
	report sharder.Report
	at     time.Time
}

// receivedReport is a rumor's version and its decoded report.
type receivedReport struct {
	version uint64
	report  sharder.Report
}

func newShards(sv *Server) *shards {
	sd := &shards{sv: sv, started: time.Now(), sent: map[sharder.Key]sentReport{}, received: map[string]receivedReport{}}
	st := sv.settings
	sd.sharder = sharder.New(
		sharder.WithHost(sv.host), sharder.WithMachine(sd.machine), sharder.WithLogger(sv.logger),
		sharder.WithMetrics(sv.metrics), sharder.WithSeed(sv.random.Uint64()),
		sharder.WithSelf(replicator.Member{Instance: st.Instance, Boot: bootText(sv.boot), Peer: st.Listen.Peers}, st.FailureDomain),
	)
	return sd
}

// claims adapts the claimer's state machine to a replicated group.
type claims struct {
	*claimer.Machine
}

// Apply implements replicator.StateMachine.
func (cm claims) Apply(en replicator.Entry) []byte { return cm.Machine.Apply(en.Command, en.Proposed) }

// machine creates the state machine of one generation of a shard group.
func (sd *shards) machine(_ sharder.Key, generation uint64, formedAt time.Time) replicator.StateMachine {
	// Not configurable: all replicas must apply a command with the same settings.
	return claims{claimer.NewMachine(claimer.DefaultSettings(), generation, formedAt)}
}

func (sd *shards) start() {
	sd.sharder.Start()
	sd.sv.tmb.Go(sd.loop)
}

// loop sends and receives reports, and plans the generations of the own failure domain's groups.
func (sd *shards) loop() error {
	tk := time.NewTicker(shardsInterval)
	defer tk.Stop()
	for {
		select {
		case <-sd.sv.tmb.Dying():
			return nil
		case <-sd.sv.gossiper.Changed():
			sd.mergeReports()
		case <-tk.C:
			sd.publishReports(time.Now())
			sd.mergeReports()
			sd.plan(time.Now())
			sd.setHomes(time.Now())
		}
	}
}

// setTable applies the placements of a table.
func (sd *shards) setTable(tb *registrar.Table) {
	var pls []sharder.Placement
	for _, pl := range tb.Placements() {
		pls = append(pls, fromTablePlacement(pl))
	}
	sd.mu.Lock()
	sd.placements = pls
	sd.mu.Unlock()
	sd.sharder.SetPlacements(pls)
}

// setView applies a new view of the fleet's members.
func (sd *shards) setView(vw *gossiper.View) {
	var cds []sharder.Candidate
	for _, mb := range vw.Members() {
		if mb.Roles.Has(gossiper.RoleNode) {
			cds = append(cds, sharder.Candidate{Member: shardMember(mb), Domain: mb.Domain, State: candidateState(mb)})
		}
	}
	sd.mu.Lock()
	sd.candidates = cds
	sd.mu.Unlock()
	sd.sharder.SetCandidates(cds)
}

func candidateState(mb gossiper.Member) sharder.State {
	switch {
	case mb.Status == gossiper.StatusLeft:
		return sharder.StateLeft
	case mb.Leaving:
		return sharder.StateLeaving
	case mb.Status == gossiper.StatusAlive:
		return sharder.StateAlive
	default:
		return sharder.StateSuspect
	}
}

// publishReports sends reports that have changed, and unchanged ones every reportRepeatInterval.
func (sd *shards) publishReports(now time.Time) {
	for _, re := range sd.sharder.Reports() {
		old, ok := sd.sent[re.Key]
		if ok && sameReport(old.report, re) && now.Sub(old.at) < reportRepeatInterval {
			continue
		}
		rm, err := reportRumor(re)
		if err == nil {
			err = sd.sv.gossiper.SpreadRumor(rm)
		}
		if err != nil {
			sd.sv.logger.Log(eventRumor, "topic", reportTopic, "err", err)
			continue
		}
		sd.sent[re.Key] = sentReport{report: re, at: now}
	}
}

// mergeReports passes the reports received by gossip to the sharder.
func (sd *shards) mergeReports() {
	received := map[string]receivedReport{}
	var res []sharder.Report
	for _, rm := range sd.sv.gossiper.Rumors(reportTopic) {
		rr, ok := sd.received[rm.Key]
		if !ok || rr.version != rm.Version {
			re, err := readReport(rm.Payload)
			if err != nil {
				sd.sv.logger.Log(eventRumor, "topic", reportTopic, "err", err)
				continue
			}
			re.ReceivedAt = time.Now()
			rr = receivedReport{version: rm.Version, report: re}
		}
		received[rm.Key] = rr
		res = append(res, rr.report)
	}
	sd.received = received
	sd.sharder.SetReports(res)
}

// plan proposes the generations that the own failure domain lacks. The domain's first live instance by name does so at once;
// each further one waits takeoverInterval longer, in case those before it don't succeed.
func (sd *shards) plan(now time.Time) {
	if now.Sub(sd.started) < planDelay {
		return
	}
	sd.mu.Lock()
	pls, cds := sd.placements, sd.ownCandidates()
	sd.mu.Unlock()
	var res []sharder.Report
	for _, rr := range sd.received {
		res = append(res, rr.report)
	}
	plan := sd.planner.Plan(now, pls, cds, res)
	if len(plan) == 0 {
		sd.lackingSince = time.Time{}
		return
	}
	if sd.lackingSince.IsZero() {
		sd.lackingSince = now
	}
	if now.Sub(sd.lackingSince) < time.Duration(sd.aliveBefore())*takeoverInterval {
		return
	}
	ctx, cancel := context.WithTimeout(sd.sv.tmb.Context(nil), placeTimeout)
	defer cancel()
	placed := 0
	for _, pl := range plan {
		if sd.proposePlacement(ctx, pl) == nil {
			placed++
		}
	}
	sd.sv.logger.Log(eventPlaced, "wanted", len(plan), "placed", placed, "generation", plan[0].Generation)
}

// ownCandidates returns the candidates of the own failure domain; the caller holds the lock.
func (sd *shards) ownCandidates() []sharder.Candidate {
	var out []sharder.Candidate
	for _, cd := range sd.candidates {
		if cd.Domain == sd.sv.settings.FailureDomain {
			out = append(out, cd)
		}
	}
	return out
}

// aliveBefore counts the live instances of the own failure domain whose names sort before this one's.
func (sd *shards) aliveBefore() int {
	sd.mu.Lock()
	defer sd.mu.Unlock()
	count := 0
	for _, cd := range sd.ownCandidates() {
		if cd.State == sharder.StateAlive && cd.Member.Instance < sd.sv.settings.Instance {
			count++
		}
	}
	return count
}

// proposePlacement proposes one generation to the table's log.
func (sd *shards) proposePlacement(ctx context.Context, pl sharder.Placement) error {
	id := registrar.EditID(fmt.Sprintf("place/%s/%d/%d", pl.Domain, pl.Shard, pl.Generation))
	out, err := sd.propose(ctx, registrar.EncodeCommand(id, registrar.SetPlacement{Placement: toTablePlacement(pl)}))
	if err != nil {
		return err
	}
	an, err := registrar.DecodeAnswer(out)
	if err != nil {
		return err
	}
	present := an.Placement
	if an.Outcome == registrar.OutcomeConflict && present.Generation > 0 && len(present.Members) == 0 && present.Generation >= pl.Generation {
		// The domain was dropped from the table and is back: its generations continue from the last one.
		pl.Generation = present.Generation + 1
		return sd.proposePlacement(ctx, pl)
	}
	return nil
}

// propose proposes a command to the table's log: it tries each live control instance, and the leader that one names.
func (sd *shards) propose(ctx context.Context, cmd []byte) ([]byte, error) {
	err := errors.New("no live control instance is known")
	for _, addr := range sd.controlPeers() {
		var out []byte
		if out, err = sd.sv.host.ProposeAt(ctx, addr, controlGroup, cmd); err == nil {
			return out, nil
		}
		var none *replicator.ErrNoLeader
		if errors.As(err, &none) && none.Leader.Peer.IsValid() {
			if out, err = sd.sv.host.ProposeAt(ctx, none.Leader.Peer, controlGroup, cmd); err == nil {
				return out, nil
			}
		}
	}
	return nil, err
}

// controlPeers returns the peer addresses of the live control instances.
func (sd *shards) controlPeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, mb := range sd.sv.gossiper.View().Members() {
		if mb.Roles.Has(gossiper.RoleControl) && mb.Status == gossiper.StatusAlive {
			out = append(out, mb.Peer)
		}
	}
	return out
}

// Propose implements claimer.Group.
func (sd *shards) Propose(ctx context.Context, fd gypsumhoist.FailureDomain, shard int, cmd []byte) ([]byte, error) {
	out, err := sd.sharder.Propose(ctx, fd, shard, cmd)
	var none *replicator.ErrNoLeader
	if errors.As(err, &none) {
		return nil, &notAccepted{cause: err}
	}
	return out, err
}

// ShardOf implements claimer.Group.
func (sd *shards) ShardOf(key string) int { return sharder.Shard(key) }

// notAccepted wraps the error of a command that is certain never to run.
type notAccepted struct{ cause error }

// Error returns the text of the cause.
func (na *notAccepted) Error() string { return na.cause.Error() }

// Unwrap returns the cause.
func (na *notAccepted) Unwrap() error { return na.cause }

// NotAccepted returns true; claimer.NotAccepted looks for this method.
func (na *notAccepted) NotAccepted() bool { return true }

func fromTablePlacement(pl registrar.Placement) sharder.Placement {
	out := sharder.Placement{Domain: pl.Domain, Shard: int(pl.Shard), Generation: pl.Generation, FormedAt: pl.FormedAt}
	for _, mb := range pl.Members {
		out.InitialMembers = append(out.InitialMembers, replicator.Member{
			Instance: mb.Instance, Boot: bootText(gossiper.Boot(mb.Boot)), Peer: mb.Peer,
		})
	}
	return out
}

func toTablePlacement(pl sharder.Placement) registrar.Placement {
	out := registrar.Placement{Domain: pl.Domain, Shard: uint32(pl.Shard), Generation: pl.Generation, FormedAt: pl.FormedAt}
	for _, mb := range pl.InitialMembers {
		out.Members = append(out.Members, registrar.ShardMember{Instance: mb.Instance, Boot: bootNumber(mb.Boot), Peer: mb.Peer})
	}
	return out
}

// setHomes updates the failure domains that the claimer keeps claims in; none while claims must be refused.
func (sd *shards) setHomes(now time.Time) {
	sd.mu.Lock()
	pls := sd.placements
	sd.mu.Unlock()
	age := sd.sv.distributor.Holder().Age()
	if age == registrar.AgeUnknown {
		return
	}
	ch := homesOf(pls, now, now.Add(-age), claimer.DefaultSettings().Retention)
	if !ch.ready {
		ch = claimHomes{}
	}
	sd.sv.node.claimer.SetDomains(ch.current, ch.previous)
}
