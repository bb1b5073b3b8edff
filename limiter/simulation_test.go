package limiter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// simulation runs the buckets and plans of one row in several domains in virtual time.
type simulation struct {
	rnd   *rand.Rand
	now   time.Time
	queue timeQueue
	seq   int

	domainDelay, crossDelay time.Duration // one way, within a domain and between two
	jitter                  time.Duration
	loss                    float64
	domains                 []*domain
	tables                  []limiter.Table
	committed               []time.Time
	reference               *reference
	defect                  defect
	refused, spent          int
	unavailable             int
	waits                   []time.Duration
	messages                map[string]int
}

// defect is a bug that a simulation has on purpose, to show that the checks find it.
type defect string

const (
	defectNone               defect = ""
	defectOutstandingIgnored defect = "grants are settled as spent before they are spent"
	defectDoubleCredit       defect = "tokens are returned and still spent"
	defectTwoLeaders         defect = "an old leader continues after its lease"
	defectEarlyRaise         defect = "shares are raised before all are lowered"
)

type domain struct {
	name         gypsumhoist.FailureDomain
	bucket       *limiter.DomainBucket // nil while there is no leader
	plan         *limiter.Plan
	table        int // index of the table in force, -1 for none
	epoch        uint64
	since        time.Time
	nodes        []*node
	cutOff       bool
	offset       time.Duration // of the domain's clock
	asOf         time.Time
	staleLeaders []*limiter.DomainBucket
}

type node struct {
	name        gypsumhoist.Instance
	dm          *domain
	bucket      *limiter.NodeBucket
	drift       float64 // how much faster the node's clock runs than the domain's
	nextID      uint64
	pending     map[uint64]time.Time
	incarnation int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type timeQueue []event

func (tq timeQueue) Len() int { return len(tq) }
func (tq timeQueue) Less(ia, ib int) bool {
	return tq[ia].at.Before(tq[ib].at) || (tq[ia].at.Equal(tq[ib].at) && tq[ia].seq < tq[ib].seq)
}
func (tq timeQueue) Swap(ia, ib int) { tq[ia], tq[ib] = tq[ib], tq[ia] }
func (tq *timeQueue) Push(it any)    { *tq = append(*tq, it.(event)) }
func (tq *timeQueue) Pop() any {
	last := len(*tq) - 1
	ev := (*tq)[last]
	*tq = (*tq)[:last]
	return ev
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newSimulation(seed uint64, df defect) *simulation {
	sim := &simulation{
		rnd: rand.New(rand.NewPCG(seed, 1)), now: start, defect: df, messages: map[string]int{},
		domainDelay: 200 * time.Microsecond, crossDelay: time.Millisecond,
	}
	return sim
}

// populate starts the domains with their nodes.
func (sim *simulation) populate(domains, nodes int) {
	for ix := range domains {
		dm := &domain{name: gypsumhoist.FailureDomain(fmt.Sprintf("d%d", ix)), table: -1, offset: time.Duration(ix) * time.Hour}
		dm.plan = limiter.NewPlan(dm.name)
		for at := range nodes {
			nd := &node{name: gypsumhoist.Instance(fmt.Sprintf("%s-n%d", dm.name, at)), dm: dm}
			dm.nodes = append(dm.nodes, nd)
			sim.restartNode(nd)
			sim.schedule(time.Duration(ix*nodes+at)*100*time.Microsecond, func() { sim.tickNode(nd) })
		}
		sim.domains = append(sim.domains, dm)
		sim.startLeader(dm, 0)
		sim.schedule(0, func() { sim.tickLeader(dm) })
	}
}

func (sim *simulation) schedule(wait time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(wait), sim.seq, do})
}

func (sim *simulation) run(until time.Duration) {
	for sim.queue.Len() > 0 && !sim.queue[0].at.After(start.Add(until)) {
		ev := heap.Pop(&sim.queue).(event)
		sim.now = ev.at
		ev.do()
	}
}

func (dm *domain) clock(now time.Time) time.Time { return now.Add(dm.offset) }

func (nd *node) clock(now time.Time) time.Time {
	passed := now.Sub(start)
	return nd.dm.clock(now).Add(time.Duration(float64(passed) * nd.drift))
}

// startLeader starts a new leader in a domain.
func (sim *simulation) startLeader(dm *domain, minLease time.Duration) {
	dm.epoch++
	dm.since = sim.now
	ls := limiter.Lease{Epoch: dm.epoch, Since: dm.clock(sim.now), MinLease: minLease}
	dm.bucket = limiter.NewDomainBucket(dm.name, ls, sim.rnd)
	sim.applyShares(dm)
}

// crash ends a leader. The next one starts after a gap; with fresh set, in a process that has just started.
func (sim *simulation) crash(dm *domain, gap, minLease time.Duration, fresh bool) {
	if dm.bucket == nil {
		return
	}
	if sim.defect == defectTwoLeaders {
		dm.staleLeaders = append(dm.staleLeaders, dm.bucket)
	}
	dm.bucket = nil
	wait := max(gap, dm.since.Add(minLease).Sub(sim.now))
	sim.schedule(wait, func() {
		if fresh {
			dm.plan = limiter.NewPlan(dm.name)
			if dm.table >= 0 {
				sim.setTable(dm, dm.table)
			}
		}
		sim.startLeader(dm, minLease)
	})
}

func (sim *simulation) restartNode(nd *node) {
	nd.incarnation++
	nd.nextID = sim.rnd.Uint64()
	nd.bucket = limiter.NewNodeBucket(nd.name, rowKey)
	nd.pending = map[uint64]time.Time{}
	nd.drift = (sim.rnd.Float64() - 0.5) / 10
}

// applyShares sets the shares in force at the nodes and the leader.
func (sim *simulation) applyShares(dm *domain) {
	if dm.table < 0 {
		return
	}
	for _, nd := range dm.nodes {
		nd.bucket.SetShare(dm.plan.Share(rowKey))
	}
	if dm.bucket == nil {
		return
	}
	now := dm.clock(sim.now)
	dm.bucket.SetDomains(sim.tables[dm.table].Domains)
	for _, rk := range dm.plan.Keys() {
		dm.bucket.SetShare(now, rk, dm.plan.Share(rk), dm.plan.IsNew(rk))
	}
	dm.bucket.RevokeShares(now, dm.plan.Has)
	dm.bucket.SetComplete(dm.asOf)
	sim.applyEffects(dm, dm.bucket)
}

// publish accepts a new table that reaches each domain after a delay.
func (sim *simulation) publish(tb limiter.Table, delays func() time.Duration) {
	tb.Revision = uint64(len(sim.tables) + 1)
	if tb.DomainsRevision = tb.Revision; len(sim.tables) > 0 && len(sim.tables[len(sim.tables)-1].Domains) == len(tb.Domains) {
		tb.DomainsRevision = sim.tables[len(sim.tables)-1].DomainsRevision
	}
	for ix := range tb.Rows {
		tb.Rows[ix].Revision = tb.Revision
	}
	sim.tables = append(sim.tables, tb)
	sim.committed = append(sim.committed, sim.now)
	if sim.reference != nil {
		sim.reference.allow(sim, tb)
	}
	ix := len(sim.tables) - 1
	for _, dm := range sim.domains {
		sim.schedule(delays(), func() { sim.receiveTable(dm, ix) })
	}
}

func (sim *simulation) receiveTable(dm *domain, ix int) {
	if ix <= dm.table {
		return
	}
	sim.setTable(dm, ix)
	sim.applyShares(dm)
	sim.schedule(sim.jittered(10*time.Millisecond), sim.confirm)
}

func (sim *simulation) setTable(dm *domain, ix int) {
	tb := sim.tables[ix]
	tb.Confirmed = sim.confirmed()
	if sim.defect == defectEarlyRaise {
		tb.Confirmed = tb.Revision
	}
	asOf := sim.now
	if ix+1 < len(sim.committed) {
		asOf = sim.committed[ix+1].Add(-time.Nanosecond)
	}
	dm.asOf = dm.clock(asOf)
	dm.plan.SetTable(tb)
	dm.table = ix
}

// confirmed returns the highest revision that is in force everywhere.
func (sim *simulation) confirmed() uint64 {
	lowest := sim.domains[0].table
	for _, dm := range sim.domains {
		lowest = min(lowest, dm.table)
	}
	if lowest < 0 {
		return 0
	}
	return sim.tables[lowest].Revision
}

// confirm reports to all domains, after a delay, what is in force everywhere.
func (sim *simulation) confirm() {
	confirmed := sim.confirmed()
	if sim.reference != nil {
		sim.reference.confirm(sim, confirmed)
	}
	for _, dm := range sim.domains {
		sim.schedule(sim.jittered(10*time.Millisecond), func() {
			if dm.table >= 0 {
				sim.setTable(dm, dm.table)
				sim.applyShares(dm)
			}
		})
	}
}

func (sim *simulation) jittered(wait time.Duration) time.Duration {
	if sim.jitter == 0 {
		return wait
	}
	return wait + time.Duration(sim.rnd.Int64N(int64(sim.jitter)))
}

func (sim *simulation) messageLost() bool { return sim.rnd.Float64() < sim.loss }

var rowKey = limiter.RowKey{Workspace: "school", Route: "/slips"}

func row(rate registrar.Rate, burst int64) *registrar.Row {
	return &registrar.Row{Workspace: rowKey.Workspace, Route: rowKey.Route, Rate: rate, Burst: burst}
}

func (sim *simulation) names(count int) []gypsumhoist.FailureDomain {
	var names []gypsumhoist.FailureDomain
	for _, dm := range sim.domains[:count] {
		names = append(names, dm.name)
	}
	return names
}

func (sim *simulation) tableOf(rate registrar.Rate, burst int64, domains int) limiter.Table {
	tb := limiter.Table{Domains: sim.names(domains)}
	if rate > 0 {
		rw := row(rate, burst)
		rw.Number = uint64(len(sim.tables) + 1)
		tb.Rows = []limiter.Entry{{Row: rw}}
	}
	return tb
}
