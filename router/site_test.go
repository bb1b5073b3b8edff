package router_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// event is something that happens in a simulated site at a time; events at the same time happen in the order of their numbers.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(a, b int) bool {
	return eq[a].at < eq[b].at || eq[a].at == eq[b].at && eq[a].number < eq[b].number
}
func (eq eventQueue) Swap(a, b int) { eq[a], eq[b] = eq[b], eq[a] }
func (eq *eventQueue) Push(x any)   { *eq = append(*eq, x.(event)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

// siteUpstream is one upstream of a simulated site, behind its node: slots and a queue whose requests are refused after maxWait.
type siteUpstream struct {
	site    *site
	view    router.Upstream
	speed   float64 // multiple of the mean work that it takes
	running int
	waiting []*siteCall
	median  time.Duration // service time as the node measures it
	pace    float64
	paceEnd time.Duration
	random  *rand.Rand // of the pace, so that it is the same whatever the router does
	served  int
	// report changes what the upstream says of its load; nil leaves it true.
	report func(lr gypsumhoist.LoadReport) gypsumhoist.LoadReport
	// reportAge is how old its reports are when its node passes them on.
	reportAge time.Duration
}

// siteCall is one attempt at an upstream.
type siteCall struct {
	arrived time.Duration
	work    time.Duration
	end     func(served bool)
	done    bool
}

// sitePlan says what a site consists of.
type sitePlan struct {
	domains   []gypsumhoist.FailureDomain
	nodes     int // callers of each domain
	perDomain map[gypsumhoist.FailureDomain]int
	slots     int
	speeds    []float64
	work      time.Duration
	delay     time.Duration // one way, between domains
	maxWait   time.Duration
	// slowShare is the share of intervals of slowInterval in which work takes slowFactor times as long.
	slowShare, slowFactor float64
	slowInterval          time.Duration
	reports               bool
	// spillover configures the nodes, unless everywhere makes them take all domains for equally near.
	spillover  router.Spillover
	everywhere bool
	seed       uint64
}

// site simulates nodes that call the upstreams of one service, in virtual time and without goroutines.
type site struct {
	plan      sitePlan
	now       time.Duration
	queue     eventQueue
	number    int
	random    *rand.Rand
	upstreams []*siteUpstream
	byName    map[gypsumhoist.Instance]*siteUpstream
	groups    map[gypsumhoist.FailureDomain][]*router.Group
	tally     map[gypsumhoist.FailureDomain]*tally
	kinds     map[string]*tally // by the kinds of requests
}

// tally counts the requests of the callers of one domain.
type tally struct {
	requests, inTime, late, refused, away int
	bytesAway                             int
	attempts, refusals                    int
	waited                                time.Duration
}

func newSite(pl sitePlan) *site {
	st := &site{
		plan: pl, random: rand.New(rand.NewPCG(pl.seed, 1)), byName: map[gypsumhoist.Instance]*siteUpstream{},
		groups: map[gypsumhoist.FailureDomain][]*router.Group{}, tally: map[gypsumhoist.FailureDomain]*tally{}, kinds: map[string]*tally{},
	}
	var all []router.Upstream
	for _, dm := range pl.domains {
		for _, up := range upstreams(dm, pl.perDomain[dm], pl.slots) {
			su := &siteUpstream{
				site: st, view: up, speed: pl.speeds[len(all)%len(pl.speeds)], pace: 1,
				random: rand.New(rand.NewPCG(pl.seed, uint64(len(all)))),
			}
			st.upstreams = append(st.upstreams, su)
			st.byName[up.Instance] = su
			all = append(all, up)
		}
		st.tally[dm] = &tally{}
	}
	for _, dm := range pl.domains {
		for at := range pl.nodes {
			local := dm
			if pl.everywhere {
				local = ""
			}
			gr := router.NewGroup(local, rand.New(rand.NewPCG(pl.seed+uint64(at)*7, uint64(dm[0]))))
			for _, other := range pl.domains {
				if other != local && !pl.everywhere {
					gr.SetDelay(other, pl.delay)
				}
			}
			gr.SetSpillover(pl.spillover)
			gr.SetUpstreams(0, all)
			st.groups[dm] = append(st.groups[dm], gr)
		}
	}
	return st
}

// capacity returns how many requests per second the upstreams of a domain can serve, not counting slow intervals.
func (st *site) capacity(dm gypsumhoist.FailureDomain) float64 {
	sum := 0.0
	for _, su := range st.upstreams {
		if su.view.Domain == dm {
			sum += float64(su.view.Slots) / (su.speed * st.plan.work.Seconds())
		}
	}
	return sum
}

func (st *site) after(wait time.Duration, run func()) {
	st.number++
	heap.Push(&st.queue, event{at: st.now + wait, number: st.number, run: run})
}

// runUntil runs the events until a time.
func (st *site) runUntil(end time.Duration) {
	for len(st.queue) > 0 && st.queue[0].at <= end {
		ev := heap.Pop(&st.queue).(event)
		st.now = ev.at
		ev.run()
	}
	st.now = end
}

// load lets the callers of a domain make requests at a rate per second that may change with time, until a time.
func (st *site) load(dm gypsumhoist.FailureDomain, rate func(at time.Duration) float64, until time.Duration, rq siteRequest) {
	if rq.kind != "" && st.kinds[rq.kind] == nil {
		st.kinds[rq.kind] = &tally{}
	}
	wait := time.Duration(st.random.ExpFloat64() / max(rate(st.now), 0.01) * float64(time.Second))
	st.after(wait, func() {
		if st.now > until {
			return
		}
		groups := st.groups[dm]
		request := rq
		request.began, request.domain = st.now, dm
		request.work = st.work()
		st.try(groups[st.random.IntN(len(groups))], &request)
		st.load(dm, rate, until, rq)
	})
}

// work returns the work of one request, with a tail: 7 times the usual one in 3 of 100.
func (st *site) work() time.Duration {
	mean := float64(st.plan.work) / 1.18
	if st.random.IntN(100) < 3 {
		mean *= 7
	}
	return time.Duration(mean * (0.5 + st.random.Float64()))
}

// siteRequest is one request of a caller.
type siteRequest struct {
	domain gypsumhoist.FailureDomain
	began  time.Duration
	work   time.Duration
	target time.Duration
	bytes  int
	// importance is that of the request.
	importance gypsumhoist.Importance
	kind       string
	tried      []gypsumhoist.Instance
}

const siteAttempts = 3

// linkBytes is how many bytes a second a node's link carries between domains: 200 Mbit/s.
const linkBytes = 25_000_000

func (st *site) try(gr *router.Group, rq *siteRequest) {
	count := func(num func(tl *tally)) {
		num(st.tally[rq.domain])
		if rq.kind != "" {
			num(st.kinds[rq.kind])
		}
	}
	if len(rq.tried) == 0 {
		count(func(tl *tally) { tl.requests++ })
	}
	ch := gr.PickForAt(st.now, router.Request{
		Idempotent: true, Importance: rq.importance, Bytes: rq.bytes, Remaining: rq.target - (st.now - rq.began),
	}, rq.tried...)
	up, ok := ch.Upstream()
	if !ok || len(rq.tried) >= siteAttempts {
		if ok {
			gr.DoneAt(st.now, ch, router.Outcome{Result: router.ResultNeutral})
		}
		count(func(tl *tally) { tl.refused++ })
		return
	}
	rq.tried = append(rq.tried, up.Instance)
	count(func(tl *tally) { tl.attempts++ })
	su := st.byName[up.Instance]
	delay := 100 * time.Microsecond
	if up.Domain != rq.domain {
		delay = st.plan.delay
	}
	sent := st.now
	st.after(delay, func() {
		su.arrive(&siteCall{work: rq.work, arrived: st.now, end: func(served bool) {
			load, rp := su.feedback()
			back := delay
			if up.Domain != rq.domain && served {
				back += time.Duration(rq.bytes) * time.Second / linkBytes
			}
			st.after(back, func() {
				if st.plan.reports {
					gr.ReportAt(st.now, up.Instance, rp)
				}
				oc := router.Outcome{Latency: st.now - sent, Load: &load}
				if !served {
					oc.Result = router.ResultOverloaded
				}
				gr.DoneAt(st.now, ch, oc)
				if !served {
					count(func(tl *tally) { tl.refusals++ })
					st.try(gr, rq)
					return
				}
				count(func(tl *tally) {
					if up.Domain != rq.domain {
						tl.away++
						tl.bytesAway += rq.bytes
					}
					took := st.now - rq.began
					tl.waited += took
					if took <= rq.target {
						tl.inTime++
					} else {
						tl.late++
					}
				})
			})
		}})
	})
}

// arrive admits a call to a slot or to the queue.
func (su *siteUpstream) arrive(cl *siteCall) {
	if su.running < su.view.Slots {
		su.start(cl)
		return
	}
	su.waiting = append(su.waiting, cl)
	su.site.after(su.site.plan.maxWait, func() {
		if at := slices.Index(su.waiting, cl); at >= 0 {
			su.waiting = slices.Delete(su.waiting, at, at+1)
			cl.end(false)
		}
	})
}

func (su *siteUpstream) start(cl *siteCall) {
	su.running++
	took := time.Duration(float64(cl.work) * su.speed * su.currentPace())
	su.site.after(took, func() {
		su.running--
		su.served++
		su.learn(took)
		if len(su.waiting) > 0 {
			next := su.waiting[0]
			su.waiting = su.waiting[1:]
			su.start(next)
		}
		cl.end(true)
	})
}

// learn estimates the median as admitter does: steps of 6% of the estimate.
func (su *siteUpstream) learn(took time.Duration) {
	const step = 0.03
	switch {
	case su.median == 0:
		su.median = took
	case took < su.median:
		su.median = max(took, su.median-time.Duration(step*float64(su.median)))
	default:
		su.median = min(took, su.median+time.Duration(step*float64(su.median)))
	}
}

// currentPace returns the factor on work at present.
func (su *siteUpstream) currentPace() float64 {
	st := su.site
	for st.plan.slowShare > 0 && st.now >= su.paceEnd {
		su.paceEnd += time.Duration((0.5 + su.random.Float64()) * float64(st.plan.slowInterval))
		su.pace = 1
		if su.random.Float64() < st.plan.slowShare {
			su.pace = st.plan.slowFactor
		}
	}
	return su.pace
}

// feedback returns what the upstream's node reports with an answer.
func (su *siteUpstream) feedback() (router.Load, router.Report) {
	held := su.running + len(su.waiting)
	lr := gypsumhoist.LoadReport{
		Running: su.running, Slots: su.view.Slots, PacePercent: int(math.Round(gypsumhoist.PaceUsual * su.currentPace())),
	}
	if su.report != nil {
		lr = su.report(lr)
	}
	rp := router.Report{Load: router.LoadReport{LoadReport: lr, InFlight: held, Age: su.reportAge, ServiceTime: su.median}}
	if !lr.Known() {
		rp = router.Report{}
	}
	return router.Load{InFlight: held, Limit: su.view.Slots}, rp
}

// add adds another tally.
func (tl *tally) add(other tally) {
	tl.requests += other.requests
	tl.inTime += other.inTime
	tl.late += other.late
	tl.refused += other.refused
	tl.away += other.away
	tl.bytesAway += other.bytesAway
	tl.attempts += other.attempts
	tl.refusals += other.refusals
	tl.waited += other.waited
}

// total returns the sum of the tallies of all domains.
func (st *site) total() tally {
	var sum tally
	for _, tl := range st.tally {
		sum.add(*tl)
	}
	return sum
}

// String returns shares of the requests.
func (tl tally) String() string {
	all := float64(max(tl.requests, 1))
	return fmt.Sprintf("%d requests: in time %.3f, late %.3f, refused %.3f, refusals %.3f, away %.3f, mean %v", tl.requests, float64(tl.inTime)/all,
		float64(tl.late)/all, float64(tl.refused)/all, float64(tl.refusals)/all, float64(tl.away)/all,
		(tl.waited / time.Duration(max(tl.inTime+tl.late, 1))).Round(100*time.Microsecond))
}
