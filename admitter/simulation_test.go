package admitter_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

// simulation is a discrete-event simulation of one core, of clients that retry without backoff, and of an upstream
// with slots, a queue of its own, and a knee: a number of running jobs beyond which more slow each other down.
type simulation struct {
	seed     uint64
	slots    int
	knee     func(now time.Duration) int
	service  time.Duration // mean of an exponential service time
	deadline time.Duration // of one attempt
	mode     mode
	speed    func(now time.Duration) float64
	demand   func(now time.Duration) float64 // factor on all rates
	clients  []client

	random         *rand.Rand
	now            time.Duration
	core           *admitter.Core
	entry          *admitter.Forecast
	refusedAtEntry int
	refusedAtCore  int
	events         events
	running        []*job
	backlog        []*job
	waiting        map[admitter.ID]*job
	completions    []int // complete answers in time, by completionInterval
}

// mode is what controls admission to the upstream.
type mode uint8

const (
	passThrough         mode = iota // none; the upstream also works on requests that their callers have given up
	passCancels                     // none; the upstream drops at once the requests that their callers have given up
	limited                         // the core
	limitedWithForecast             // the core, with a forecast at the entry node
)

// client is one workspace.
type client struct {
	workspace   gypsumhoist.Workspace
	importance  gypsumhoist.Importance
	requestRate float64 // requests per second
	requests    int
	succeeded   int
}

type job struct {
	client   *client
	attempts int
	deadline time.Duration
	began    time.Duration
	workLeft float64 // work in seconds
	answered bool
}

// target is the service of the only core of a simulation.
var target = admitter.Target{Service: "orders"}

const (
	retryDelay         = 200 * time.Millisecond
	attemptsMax        = 10
	completionInterval = 100 * time.Millisecond
)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(i, j int) bool { return ev[i].at < ev[j].at }
func (ev events) Swap(i, j int)      { ev[i], ev[j] = ev[j], ev[i] }
func (ev *events) Push(x any)        { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

func (si *simulation) schedule(at time.Duration, do func()) {
	heap.Push(&si.events, event{at, do})
}

// run simulates a time span from the start.
func (si *simulation) run(span time.Duration) {
	si.random = rand.New(rand.NewPCG(si.seed, 2))
	si.core = admitter.NewCore(si.slots, si.random)
	si.entry = admitter.NewForecast()
	si.waiting = map[admitter.ID]*job{}
	si.completions = make([]int, span/completionInterval+1)
	for at := range si.clients {
		si.scheduleArrival(&si.clients[at])
	}
	for si.now < span {
		step := si.nextEnd()
		if len(si.events) > 0 {
			step = min(step, si.events[0].at-si.now)
		}
		si.advanceJobs(step)
		si.now += step
		si.endJobs()
		for len(si.events) > 0 && si.events[0].at <= si.now {
			heap.Pop(&si.events).(event).do()
		}
	}
}

func (si *simulation) scheduleArrival(cl *client) {
	gap := si.random.ExpFloat64() / (cl.requestRate * si.demand(si.now))
	si.schedule(si.now+time.Duration(gap*float64(time.Second)), func() {
		cl.requests++
		si.attempt(&job{client: cl})
		si.scheduleArrival(cl)
	})
}

func (si *simulation) attempt(jb *job) {
	jb.attempts++
	jb.deadline = si.now + si.deadline
	if si.mode < limited {
		si.send(jb)
		si.retryAtDeadline(jb)
		return
	}
	cl := jb.client
	if si.mode == limitedWithForecast && si.entry.Refuse(si.now, target, cl.importance, 1) != nil {
		si.refusedAtEntry++
		si.retry(jb)
		return
	}
	id, dc := si.core.Arrive(si.now, admitter.CoreRequest{
		Workspace: jb.client.workspace, Weight: 1, Importance: jb.client.importance, Deadline: jb.deadline,
	})
	si.apply(id, jb, dc)
	si.applyNotices()
}

func (si *simulation) apply(id admitter.ID, jb *job, dc admitter.Decision) {
	switch dc := dc.(type) {
	case admitter.Started:
		delete(si.waiting, id)
		si.send(jb)
	case admitter.Refused:
		delete(si.waiting, id)
		si.refusedAtCore++
		si.reportCutOff()
		si.retry(jb)
	case admitter.Waiting:
		si.waiting[id] = jb
		si.schedule(max(dc.Until, si.now), func() {
			if next := si.core.Expire(si.now, id); next != nil {
				si.apply(id, jb, next)
				si.applyNotices()
			}
		})
	}
}

func (si *simulation) applyNotices() {
	for _, nt := range append([]admitter.Notice(nil), si.core.Notices()...) {
		si.apply(nt.ID, si.waiting[nt.ID], nt.Decision)
	}
}

// reportCutOff passes the core's cut-off to the entry node.
func (si *simulation) reportCutOff() {
	si.entry.Observe(si.now, target, "n1", si.core.Load(si.now).CutOff)
}

// retry sends a request again after retryDelay, whatever RetryAfter says.
func (si *simulation) retry(jb *job) {
	if jb.attempts < attemptsMax {
		next := &job{client: jb.client, attempts: jb.attempts}
		si.schedule(si.now+retryDelay, func() { si.attempt(next) })
	}
}

// retryAtDeadline lets the client of a pass-through retry at the deadline.
func (si *simulation) retryAtDeadline(jb *job) {
	si.schedule(jb.deadline, func() {
		if !jb.answered {
			si.retry(jb)
		}
	})
}

func (si *simulation) send(jb *job) {
	jb.began = si.now
	jb.workLeft = si.random.ExpFloat64() * si.service.Seconds()
	if len(si.running) < si.slots {
		si.running = append(si.running, jb)
		return
	}
	si.backlog = append(si.backlog, jb)
}

// jobSpeed returns the speed of one running job.
func (si *simulation) jobSpeed() float64 {
	return si.speed(si.now) * min(1, float64(si.knee(si.now))/float64(max(len(si.running), 1)))
}

func (si *simulation) nextEnd() time.Duration {
	least := 10 * time.Millisecond // the speed may change
	for _, jb := range si.running {
		least = min(least, time.Duration(jb.workLeft/si.jobSpeed()*float64(time.Second))+1)
	}
	return least
}

func (si *simulation) advanceJobs(step time.Duration) {
	done := step.Seconds() * si.jobSpeed()
	for _, jb := range si.running {
		jb.workLeft -= done
	}
}

func (si *simulation) endJobs() {
	kept := si.running[:0]
	var ended []*job
	for _, jb := range si.running {
		canceled := si.mode != passThrough && si.now >= jb.deadline
		if jb.workLeft > 0 && !canceled {
			kept = append(kept, jb)
		} else {
			ended = append(ended, jb)
		}
	}
	si.running = kept
	for si.mode == passCancels && len(si.backlog) > 0 && si.now >= si.backlog[0].deadline {
		ended = append(ended, si.backlog[0])
		si.backlog = si.backlog[1:]
	}
	for len(si.running) < si.slots && len(si.backlog) > 0 {
		si.running = append(si.running, si.backlog[0])
		si.backlog = si.backlog[1:]
	}
	for _, jb := range ended {
		si.endJob(jb)
	}
}

func (si *simulation) endJob(jb *job) {
	outcome := admitter.OutcomeAnswered
	if jb.workLeft > 0 {
		outcome = admitter.OutcomeAbandoned
		if si.mode >= limited {
			si.retry(jb)
		}
	} else if si.now <= jb.deadline {
		si.completions[si.now/completionInterval]++
		jb.client.succeeded++
		jb.answered = true
	}
	if si.mode >= limited {
		si.reportCutOff()
		si.core.Done(si.now, si.now-jb.began, "", outcome)
		si.applyNotices()
	}
}

// rate returns the complete answers per second between two times.
func (si *simulation) rate(from, to time.Duration) float64 {
	sum := 0
	for at := from / completionInterval; at < to/completionInterval; at++ {
		sum += si.completions[at]
	}
	return float64(sum) / (to - from).Seconds()
}

// recovery returns how long after a time the answers of one second reach a rate.
func (si *simulation) recovery(after time.Duration, want float64) time.Duration {
	for at := after; at+time.Second < time.Duration(len(si.completions))*completionInterval; at += completionInterval {
		if si.rate(at, at+time.Second) >= want {
			return at - after
		}
	}
	return time.Hour
}
