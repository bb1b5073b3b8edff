package admitter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// networkDelay is the time that a message between two nodes takes.
const networkDelay = time.Millisecond

// kind is a kind of request: those of one route.
type kind struct {
	name    string
	service *service
	perS    float64 // from callers
	work    time.Duration
	// target and deadline are from the first attempt of a caller on, or from the beginning of a nested call.
	target, deadline time.Duration
	// worthInTime and worthLate are what a caller gains by an answer within the target and by a later one.
	worthInTime, worthLate float64
	importance             gypsumhoist.Importance
	repeatable             bool
	// nested are the calls that the upstream makes one after the other once its own work is done.
	nested []*kind
}

// service is a group of equal upstreams, apart from their speeds.
type service struct {
	name      gypsumhoist.Service
	upstreams []*node
	// pausing upstreams take slowFactor times as long in a share of the intervals of pauseInterval.
	pausing bool
	// busyFactor is by how much longer work takes while nearly all slots are in use; zero for no change.
	busyFactor float64
	// slowness is by how much longer work takes at a time; nil for no change.
	slowness func(now time.Duration) float64
	// calls counts the calls that arrived, refusals those that were refused,.
	calls, refusals int
}

const (
	pauseInterval = 600 * time.Millisecond
	pauseShare    = 0.15
	pauseFactor   = 2.5
	busyShare     = 0.95 // share of the slots in use from which on busyFactor applies
	tailShare     = 0.03 // share of the requests whose work takes tailFactor times as long
	tailFactor    = 7.0
)

// tally counts the requests of callers of one kind.
type tally struct {
	offered, inTime, late int
	// refusedOnce counts requests whose first attempt was refused, refusedAgain those whose second one was, too.
	refusedOnce, refusedAgain int
	// wasted counts attempts, and failed requests, that failed after work had been done for them.
	wasted, failed int
}

func (ta *tally) add(other tally) {
	ta.offered, ta.inTime, ta.late = ta.offered+other.offered, ta.inTime+other.inTime, ta.late+other.late
	ta.refusedOnce, ta.refusedAgain = ta.refusedOnce+other.refusedOnce, ta.refusedAgain+other.refusedAgain
	ta.wasted, ta.failed = ta.wasted+other.wasted, ta.failed+other.failed
}

// fleet is a discrete-event simulation of the nodes of a deployment. All decisions are those of the product's cores; the order
// in which a node asks them follows package forwarder. Times count from the start.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	events   chainEvents
	sequence uint64
	lastID   uint64
	services []*service
	nodes    []*node
	kinds    []*kind
	domains  int
	wave     float64 // share by which demand rises and falls
	period   time.Duration
	tail     bool
	// counted is the time from which on requests are counted, end when the last one is sent.
	counted, end time.Duration
	workspaces   int
	tallies      map[*kind]*tally
	byWorkspace  map[gypsumhoist.Workspace]*tally
	// refusals counts refused attempts by the place of the refusal.
	refusals map[string]int
	// commits is set if calls say that an earlier call of their request was answered.
	commits bool
	// paced is set if calls say that upstreams report their load.
	paced bool
	// targets is set if impatient requests carry their targets, durations are what requests of each kind took.
	targets   bool
	durations map[*kind]time.Duration
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 7)), domains: 1, workspaces: 40,
		tallies: map[*kind]*tally{}, byWorkspace: map[gypsumhoist.Workspace]*tally{},
		refusals: map[string]int{}, durations: map[*kind]time.Duration{},
	}
}

// node is a node with its upstream; callers' requests enter at any node.
type node struct {
	fleet     *fleet
	name      gypsumhoist.Instance
	service   *service
	domain    int
	slots     int
	factor    float64 // on the time that work takes
	pausedTo  time.Duration
	core      *admitter.Core
	forecast  *admitter.Forecast
	throttler *throttler.Throttler
	waiting   map[admitter.ID]func(admitter.Decision)
	// loads are what this node has last heard of the load of other nodes' upstreams, and its own calls in flight there.
	loads map[*node]*load
}

type load struct{ reported, limit, own int }

func (fl *fleet) addService(name gypsumhoist.Service, slots int, factors ...float64) *service {
	sv := &service{name: name}
	for index, factor := range factors {
		nd := &node{
			fleet: fl, name: gypsumhoist.Instance(fmt.Sprint(name, "-", index)), service: sv, domain: index % fl.domains,
			slots: slots, factor: factor, core: admitter.NewCore(slots, fl.forkRandom()), forecast: admitter.NewForecast(),
			throttler: throttler.New(fl.forkRandom()), waiting: map[admitter.ID]func(admitter.Decision){}, loads: map[*node]*load{},
		}
		sv.upstreams = append(sv.upstreams, nd)
		fl.nodes = append(fl.nodes, nd)
	}
	fl.services = append(fl.services, sv)
	return sv
}

func (fl *fleet) addKind(kd kind) *kind {
	fl.kinds = append(fl.kinds, &kd)
	fl.tallies[&kd] = &tally{}
	return &kd
}

func (fl *fleet) forkRandom() *rand.Rand { return rand.New(rand.NewPCG(fl.random.Uint64(), 1)) }

// chainEvent is something that happens at a time; events of one time happen in the order in which they were added.
type chainEvent struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type chainEvents []chainEvent

func (ev chainEvents) Len() int { return len(ev) }

func (ev chainEvents) Less(first, second int) bool {
	if ev[first].at != ev[second].at {
		return ev[first].at < ev[second].at
	}
	return ev[first].sequence < ev[second].sequence
}

func (ev chainEvents) Swap(first, second int) { ev[first], ev[second] = ev[second], ev[first] }

// Push is for package heap.
func (ev *chainEvents) Push(item any) { *ev = append(*ev, item.(chainEvent)) }

// Pop is for package heap.
func (ev *chainEvents) Pop() any {
	last := len(*ev) - 1
	item := (*ev)[last]
	*ev = (*ev)[:last]
	return item
}

func (fl *fleet) at(when time.Duration, do func()) {
	fl.sequence++
	heap.Push(&fl.events, chainEvent{at: max(when, fl.now), sequence: fl.sequence, do: do})
}

// run simulates the load. It must run in a bubble of synctest, whose clock it moves along with its own.
func (fl *fleet) run() {
	start := time.Now()
	for _, kd := range fl.kinds {
		if kd.perS > 0 {
			fl.arrive(kd)
		}
	}
	for _, nd := range fl.nodes {
		if nd.service.pausing {
			nd.pause()
		}
	}
	for len(fl.events) > 0 {
		next := heap.Pop(&fl.events).(chainEvent)
		fl.now = next.at
		// The throttler reads the bubble's clock, with slices of 250 ms.
		if behind := fl.now - time.Since(start); behind >= 10*time.Millisecond {
			time.Sleep(behind)
		}
		next.do()
	}
}

// pause decides whether the upstream is slow in the next interval.
func (nd *node) pause() {
	fl := nd.fleet
	if fl.now >= fl.end {
		return
	}
	length := time.Duration((0.5 + fl.random.Float64()) * float64(pauseInterval))
	if fl.random.Float64() < pauseShare {
		nd.pausedTo = fl.now + length
	}
	fl.at(fl.now+length, nd.pause)
}

// arrive schedules the next request of a kind, and so on until the end.
func (fl *fleet) arrive(kd *kind) {
	peak := kd.perS * (1 + fl.wave)
	gap := time.Duration(-math.Log(1-fl.random.Float64()) / peak * float64(time.Second))
	fl.at(fl.now+gap, func() {
		if fl.now >= fl.end {
			return
		}
		entry := fl.nodes[fl.random.IntN(len(fl.nodes))]
		if fl.random.Float64()*(1+fl.wave) < fl.demand(entry.domain) {
			rq := &request{fleet: fl, kind: kd, began: fl.now}
			rq.workspace = gypsumhoist.Workspace(fmt.Sprint("w", fl.random.IntN(fl.workspaces)))
			rq.count(func(ta *tally) { ta.offered++ })
			rq.attempt(entry)
		}
		fl.arrive(kd)
	})
}

// phaseStep is by which part of a period the wave of one domain is ahead of the next: they overlap, so that the sum has a peak.
const phaseStep = 0.1

// demand returns the factor on the requests that enter in a domain.
func (fl *fleet) demand(domain int) float64 {
	if fl.wave == 0 {
		return 1
	}
	phase := phaseStep * float64(domain)
	return 1 + fl.wave*math.Sin(2*math.Pi*(fl.now.Seconds()/fl.period.Seconds()+phase))
}

// request is a request of a caller, which sends it once more if the first attempt fails and it may.
type request struct {
	fleet     *fleet
	kind      *kind
	workspace gypsumhoist.Workspace
	began     time.Duration
	attempts  int
}

// result is how a call ended.
type result struct {
	answered bool
	// notRun is set if no upstream has worked on it, retryAfter is then when to come back.
	notRun     bool
	retryAfter time.Duration
	reason     gypsumhoist.Reason // of a refusal
	// reroutable is set if the call may go on to another upstream, childRefused if one of its nested calls was refused.
	reroutable, childRefused bool
}

func refusedBy(rf *gypsumhoist.Refusal) result {
	return result{notRun: true, retryAfter: rf.RetryAfter, reason: rf.Reason, reroutable: rf.Reason == gypsumhoist.ReasonOverload}
}

func (rq *request) count(add func(*tally)) {
	if rq.began < rq.fleet.counted {
		return
	}
	add(rq.fleet.tallies[rq.kind])
	ta := rq.fleet.byWorkspace[rq.workspace]
	if ta == nil {
		ta = &tally{}
		rq.fleet.byWorkspace[rq.workspace] = ta
	}
	add(ta)
}

// impatientSlack is the slack below which a request is impatient, as in forwarder.
const impatientSlack = 500 * time.Millisecond

// repeatPause is how long a caller waits before it repeats a request after an answer without Retry-After.
const repeatPause = 100 * time.Millisecond

func (rq *request) attempt(entry *node) {
	fl := rq.fleet
	rq.attempts++
	fl.lastID++
	cl := &call{
		id: gypsumhoist.RequestID(fmt.Sprint("attempt-", fl.lastID)), kind: rq.kind, workspace: rq.workspace,
		importance: rq.kind.importance, deadline: rq.began + rq.kind.deadline,
	}
	target := rq.began + rq.kind.target
	if fl.targets && rq.kind.target-fl.durations[rq.kind] < impatientSlack {
		cl.target = target
	}
	began := fl.now
	entry.enter(cl, func(rs result) {
		if rs.answered {
			fl.learnDuration(rq.kind, fl.now-began)
		}
		rq.ended(rs)
	})
}

// learnDuration follows a low quantile of how long requests of a kind take, as forwarder does.
func (fl *fleet) learnDuration(kd *kind, took time.Duration) {
	switch short := fl.durations[kd]; {
	case short == 0:
		fl.durations[kd] = took
	case took < short:
		fl.durations[kd] -= short * 42 / 1000
	default:
		fl.durations[kd] += short * 18 / 1000
	}
}

func (rq *request) ended(rs result) {
	fl := rq.fleet
	left := rq.began + rq.kind.deadline - fl.now
	again := rq.attempts == 1 && (rs.notRun || rq.kind.repeatable) && left > 0
	switch {
	case rs.answered && fl.now <= rq.began+rq.kind.target:
		rq.count(func(ta *tally) { ta.inTime++ })
		return
	case rs.answered:
		rq.count(func(ta *tally) { ta.late++ })
		return
	case rs.notRun && rq.attempts == 1:
		rq.count(func(ta *tally) { ta.refusedOnce++ })
	case rs.notRun:
		rq.count(func(ta *tally) { ta.refusedAgain++ })
	default:
		rq.count(func(ta *tally) { ta.wasted++ })
	}
	if !again {
		if !rs.notRun {
			rq.count(func(ta *tally) { ta.failed++ })
		}
		return
	}
	wait := repeatPause
	if rs.notRun {
		wait = min(rs.retryAfter, left/3)
	}
	// A caller comes back over a new connection, to any node of its domain or another.
	fl.at(fl.now+wait, func() { rq.attempt(fl.nodes[fl.random.IntN(len(fl.nodes))]) })
}

// call is a request on its way to an upstream.
type call struct {
	id         gypsumhoist.RequestID
	kind       *kind
	workspace  gypsumhoist.Workspace
	importance gypsumhoist.Importance
	depth      int
	deadline   time.Duration
	siblings   bool
	// committed is set if an earlier call of its request, here or further up the chain, was answered.
	committed bool
	target    time.Duration // of an impatient request
	answered  int           // nested calls
}

func (kd *kind) serviceTarget() admitter.Target { return admitter.Target{Service: kd.service.name} }

func (kd *kind) routeTarget() admitter.Target {
	return admitter.Target{Service: kd.service.name, Route: kd.name}
}

// enter admits a request of a caller at its entry node, as forwarder does, and sends it on.
func (nd *node) enter(cl *call, done func(result)) {
	fl := nd.fleet
	upstreams := len(cl.kind.service.upstreams)
	key := throttler.Key{Route: cl.kind.name, Importance: cl.importance}
	for _, tg := range []admitter.Target{cl.kind.serviceTarget(), cl.kind.routeTarget()} {
		if rf := nd.forecast.Refuse(fl.now, tg, cl.importance, upstreams); rf != nil {
			fl.refusals["forecast"]++
			done(refusedBy(rf))
			return
		}
	}
	if rf := nd.throttler.Admit(key, cl.workspace); rf != nil {
		fl.refusals["throttler"]++
		done(refusedBy(rf))
		return
	}
	nd.send(cl, 0, func(rs result) {
		overload := rs.reason == gypsumhoist.ReasonOverload || rs.reason == gypsumhoist.ReasonDeadline || !rs.answered && rs.childRefused
		nd.throttler.Done(key, !overload)
		if rs.notRun {
			fl.refusals["upstream"]++
		}
		done(rs)
	})
}

// reroutesMax is how often a refused call goes on to another upstream.
const reroutesMax = 2

// send sends a call from its node to an upstream.
func (nd *node) send(cl *call, rerouted int, done func(result)) {
	fl := nd.fleet
	to := nd.pick(cl.kind.service)
	ld := nd.load(to)
	ld.own++
	fl.at(fl.now+nd.delay(to), func() {
		to.admit(cl, func(rs result) {
			fb := to.feedback(cl)
			fl.at(fl.now+nd.delay(to), func() {
				ld.own--
				nd.note(cl, to, fb)
				if rs.reroutable && rerouted < reroutesMax && !nd.overloaded(cl) && fl.now < cl.deadline {
					nd.send(cl, rerouted+1, done)
					return
				}
				rs.reroutable = false
				done(rs)
			})
		})
	})
}

func (nd *node) delay(to *node) time.Duration {
	if nd == to {
		return 0
	}
	return networkDelay
}

func (nd *node) overloaded(cl *call) bool {
	upstreams := len(cl.kind.service.upstreams)
	return nd.forecast.Overloaded(nd.fleet.now, cl.kind.serviceTarget(), cl.importance, cl.depth, upstreams) ||
		nd.forecast.Overloaded(nd.fleet.now, cl.kind.routeTarget(), cl.importance, 0, upstreams)
}

func (nd *node) load(of *node) *load {
	ld := nd.loads[of]
	if ld == nil {
		ld = &load{limit: of.slots}
		nd.loads[of] = ld
	}
	return ld
}

// pick returns the less loaded of two random upstreams, as far as this node knows.
func (nd *node) pick(sv *service) *node {
	score := func(of *node) float64 {
		ld := nd.load(of)
		return float64(max(ld.reported, ld.own)) / float64(max(ld.limit, 1))
	}
	first, second := sv.upstreams[nd.fleet.random.IntN(len(sv.upstreams))], sv.upstreams[nd.fleet.random.IntN(len(sv.upstreams))]
	if score(second) < score(first) {
		return second
	}
	return first
}

// feedback is what an upstream's node says with each answer or refusal.
type feedback struct {
	load             admitter.Load
	routeCutOff      gypsumhoist.Importance
	routeCutOffSince time.Duration
}

func (nd *node) feedback(cl *call) feedback {
	fb := feedback{load: nd.core.Load(nd.fleet.now)}
	for _, child := range cl.kind.nested {
		for _, tg := range []admitter.Target{child.serviceTarget(), child.routeTarget()} {
			cut, age := nd.forecast.CutOffAge(nd.fleet.now, tg, len(child.service.upstreams))
			if tg.Route == "" {
				cut = admitter.NestedCutOff(cut, 1)
			}
			if cut > fb.routeCutOff {
				fb.routeCutOff, fb.routeCutOffSince = cut, nd.fleet.now-age
			}
		}
	}
	return fb
}

func (nd *node) note(cl *call, from *node, fb feedback) {
	now := nd.fleet.now
	ld := nd.load(from)
	ld.reported, ld.limit = fb.load.InFlight+fb.load.Waiting, fb.load.Limit
	nd.forecast.Observe(now, cl.kind.serviceTarget(), from.name, fb.load.CutOff)
	nd.forecast.ObserveAged(now, cl.kind.routeTarget(), from.name, fb.routeCutOff, now-fb.routeCutOffSince)
}

// queueTimeout is how long a call may wait in an upstream's queue, as forwarder sets it.
func queueTimeout(kd *kind) time.Duration { return max(kd.target/4, 40*time.Millisecond) }

// admit asks the core of the upstream for a slot, and runs the call once it has one.
func (nd *node) admit(cl *call, done func(result)) {
	id, dc := nd.core.Arrive(nd.fleet.now, admitter.CoreRequest{
		Workspace: cl.workspace, Route: cl.kind.name, Weight: 1, Importance: cl.importance, Depth: cl.depth, Deadline: cl.deadline,
		Precedence: admitter.PrecedenceOf(cl.id), Siblings: cl.siblings, MaxWait: queueTimeout(cl.kind), Committed: cl.committed,
		Target: cl.target, LoadReported: nd.fleet.paced,
	})
	nd.service.calls++
	nd.follow(id, dc, cl, done)
	nd.deliver()
}

func (nd *node) follow(id admitter.ID, dc admitter.Decision, cl *call, done func(result)) {
	switch dc := dc.(type) {
	case admitter.Started:
		nd.start(cl, done)
	case admitter.Refused:
		nd.service.refusals++
		done(refusedBy(dc.Refusal))
	case admitter.Waiting:
		nd.waiting[id] = func(dc admitter.Decision) {
			delete(nd.waiting, id)
			nd.follow(id, dc, cl, done)
		}
		nd.fleet.at(dc.Until, func() { nd.expire(id) })
	}
}

func (nd *node) expire(id admitter.ID) {
	decided := nd.waiting[id]
	if decided == nil {
		return
	}
	if dc := nd.core.Expire(nd.fleet.now, id); dc != nil {
		decided(dc)
	}
	nd.deliver()
}

// deliver passes on the decisions about waiting requests.
func (nd *node) deliver() {
	for _, nt := range append([]admitter.Notice(nil), nd.core.Notices()...) {
		if decided := nd.waiting[nt.ID]; decided != nil {
			decided(nt.Decision)
		}
	}
}

// workTime returns how long the upstream itself works on a call that starts now.
func (nd *node) workTime(kd *kind) time.Duration {
	fl := nd.fleet
	factor := nd.factor * (0.5 + fl.random.Float64())
	if fl.tail && fl.random.Float64() < tailShare {
		factor *= tailFactor
	}
	if fl.now < nd.pausedTo {
		factor *= pauseFactor
	}
	if nd.service.slowness != nil {
		factor *= nd.service.slowness(fl.now)
	}
	if nd.service.busyFactor > 0 && float64(nd.core.Load(fl.now).InFlight) >= busyShare*float64(nd.slots) {
		factor *= nd.service.busyFactor
	}
	return time.Duration(factor * float64(kd.work))
}

// start runs an admitted call: first its work, then its nested calls one after the other.
func (nd *node) start(cl *call, done func(result)) {
	fl := nd.fleet
	began := fl.now
	end := func(oc admitter.Outcome, rs result) {
		nd.core.Done(fl.now, fl.now-began, cl.kind.name, oc)
		nd.deliver()
		done(rs)
	}
	worked := fl.now + nd.workTime(cl.kind)
	if worked > cl.deadline {
		fl.at(cl.deadline, func() { end(admitter.OutcomeAbandoned, result{reason: gypsumhoist.ReasonDeadline}) })
		return
	}
	fl.at(worked, func() { nd.callNested(cl, end) })
}

func (nd *node) callNested(cl *call, end func(admitter.Outcome, result)) {
	fl := nd.fleet
	if cl.answered == len(cl.kind.nested) {
		end(admitter.OutcomeAnswered, result{answered: true})
		return
	}
	if fl.now >= cl.deadline {
		end(admitter.OutcomeAbandoned, result{reason: gypsumhoist.ReasonDeadline})
		return
	}
	kd := cl.kind.nested[cl.answered]
	child := &call{
		id: cl.id, kind: kd, workspace: cl.workspace, importance: cl.importance, depth: cl.depth + 1,
		deadline: min(cl.deadline, fl.now+kd.deadline), siblings: cl.siblings || len(cl.kind.nested) > 1, target: cl.target, committed: fl.commits && (cl.committed || cl.answered > 0),
	}
	nd.send(child, 0, func(rs result) {
		if !rs.answered {
			end(admitter.OutcomeAnswered, result{childRefused: rs.notRun || rs.childRefused})
			return
		}
		cl.answered++
		nd.callNested(cl, end)
	})
}

// worth returns the share of what the callers of all kinds could have gained that they did gain.
func (fl *fleet) worth() float64 {
	gained, possible := 0.0, 0.0
	for _, kd := range fl.kinds {
		ta := fl.tallies[kd]
		gained += kd.worthInTime*float64(ta.inTime) + kd.worthLate*float64(ta.late)
		possible += kd.worthInTime * float64(ta.offered)
	}
	return gained / possible
}

// total sums the counts of all kinds.
func (fl *fleet) total() tally {
	var sum tally
	for _, ta := range fl.tallies {
		sum.add(*ta)
	}
	return sum
}

// report prints the counts by kind in shares of the requests.
func (fl *fleet) report(title string) string {
	var sb strings.Builder
	fmt.Fprintf(&sb, "%s: worth %.3f\n%22s %10s %8s %8s %8s %8s %8s %8s %8s\n", title, fl.worth(),
		"kind", "importance", "offered", "in time", "late", "refused", "again", "failed", "wasted")
	line := func(name string, im gypsumhoist.Importance, ta tally) {
		share := func(count int) float64 { return float64(count) / float64(max(ta.offered, 1)) }
		fmt.Fprintf(&sb, "%22s %10d %8d %8.3f %8.3f %8.3f %8.3f %8.3f %8.3f\n", name, im, ta.offered, share(ta.inTime), share(ta.late),
			share(ta.refusedOnce), share(ta.refusedAgain), share(ta.failed), share(ta.wasted))
	}
	for _, kd := range fl.kinds {
		if kd.perS > 0 {
			line(kd.name, kd.importance, *fl.tallies[kd])
		}
	}
	line("all", 0, fl.total())
	for _, sv := range fl.services {
		fmt.Fprintf(&sb, "%22s refuses %.3f of %d calls\n", sv.name, float64(sv.refusals)/float64(max(sv.calls, 1)), sv.calls)
	}
	fmt.Fprintf(&sb, "%22s %v\n", "refused attempts", fl.refusals)
	return sb.String()
}
