package forwarder

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// draining is the value of gypsumhoist.HeaderDraining of an upstream that drains.
const draining = "1"

// receivedLoad is the last load report of this node's upstream.
type receivedLoad struct {
	report gypsumhoist.LoadReport
	at     time.Time
}

// loadReportLifetime is the age from which a load report is not passed on. Routers use none that is older either.
const loadReportLifetime = router.PaceLifetime

// noteReports applies what an answer of this node's upstream says about the upstream itself.
// An answer of an upstream that has been replaced meanwhile says nothing about the present one.
func (fw *Forwarder) noteReports(from *upstreamSlot, hd http.Header, rc *explainer.Record) {
	if fw.upstream.Load() != from {
		return
	}
	if hd.Get(gypsumhoist.HeaderDraining) == draining {
		rc.Note("upstream", "says that it drains", "")
		if from.draining.CompareAndSwap(false, true) {
			fw.onDraining(from.transport)
		}
	}
	from.noteLoad(hd.Get(gypsumhoist.HeaderLoad), rc)
	limit, err := gypsumhoist.ParseRateLimit(hd.Get(gypsumhoist.HeaderRateLimit))
	switch {
	case err != nil:
		// The last valid limit stays: the upstream may still need it.
		rc.Note("upstream", "named an invalid rate limit", err.Error())
		return
	case limit.Limited():
		rc.Note("upstream", "named a rate limit", limit.String())
	}
	fw.admitter.SetRateLimit(limit, admitter.RateLimitFromAnswer)
}

// noteLoad keeps a load report. The last one stays if an answer has none or an invalid one, and tells its age.
func (us *upstreamSlot) noteLoad(txt string, rc *explainer.Record) {
	lr, err := gypsumhoist.ParseLoadReport(txt)
	if err != nil {
		rc.Note("upstream", "reported an invalid load", err.Error())
		return
	}
	if lr.Known() {
		us.load.Store(&receivedLoad{report: lr, at: time.Now()})
	}
}

// loadMessage returns the last load report of the upstream for another node, and nil if there is none that is recent.
func (fw *Forwarder) loadMessage(serviceTime time.Duration) *forwarderpb.Load {
	up := fw.upstream.Load()
	if up == nil {
		return nil
	}
	last := up.load.Load()
	if last == nil {
		return nil
	}
	age := time.Since(last.at)
	if age > loadReportLifetime {
		return nil
	}
	lr := last.report
	return &forwarderpb.Load{
		Running: int32(lr.Running), Waiting: int32(lr.Waiting), Slots: int32(lr.Slots), PacePercent: int32(lr.PacePercent),
		AgeUs: age.Microseconds(), ServiceTimeUs: serviceTime.Microseconds(),
	}
}

// noteHeld adds to a load report the time that the call has been at this node.
func noteHeld(fb *forwarderpb.Feedback, arrived time.Time) {
	if fb.GetLoad() != nil {
		fb.Load.HeldUs = max(1, time.Since(arrived).Microseconds())
	}
}

// roundTripOf returns the time of the way to another node and back, zero if that is not known.
func roundTripOf(fb *forwarderpb.Feedback, headLatency time.Duration) time.Duration {
	held := time.Duration(fb.GetLoad().GetHeldUs()) * time.Microsecond
	if held <= 0 {
		return 0
	}
	return max(0, headLatency-held)
}

// loadReportOf returns the load report in a feedback. One that is absent or invalid says nothing.
func loadReportOf(fb *forwarderpb.Feedback) router.LoadReport {
	msg := fb.GetLoad()
	lr := gypsumhoist.LoadReport{
		Running: int(msg.GetRunning()), Waiting: int(msg.GetWaiting()), Slots: int(msg.GetSlots()), PacePercent: int(msg.GetPacePercent()),
	}
	if !lr.Valid() || msg.GetAgeUs() < 0 || msg.GetServiceTimeUs() < 0 {
		return router.LoadReport{}
	}
	return router.LoadReport{
		LoadReport: lr, InFlight: int(fb.GetInFlight()),
		Age: time.Duration(msg.GetAgeUs()) * time.Microsecond, ServiceTime: time.Duration(msg.GetServiceTimeUs()) * time.Microsecond,
	}
}

// routingRequest returns what the router needs to know about a call.
func (fw *Forwarder) routingRequest(cl *call) router.Request {
	rq := router.Request{Idempotent: cl.idempotent}
	if !fw.router.ReportsPace(cl.service) {
		return rq
	}
	rq.Nested, rq.Importance = cl.nested, cl.importance
	rq.Bytes = fw.routeBytes.expected(cl.row.Route) + int(max(cl.body.length, 0))
	rq.Remaining = time.Until(cl.deadline)
	if target := cl.row.TargetLatency; target > 0 {
		rq.Remaining = max(time.Millisecond, min(rq.Remaining, target-elapsed(cl)))
	}
	return rq
}

// routeBytes estimates the size of the responses of each route. It is safe for concurrent use; the zero value has no estimates.
type routeBytes struct {
	mu    sync.Mutex
	means map[string]float64
}

// learn adds the size of a complete response of a route.
func (rb *routeBytes) learn(route string, size int64) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	mean, known := rb.means[route]
	switch {
	case known:
		rb.means[route] = mean + ewmaWeight*(float64(size)-mean)
	case len(rb.means) < statsRoutesMax:
		if rb.means == nil {
			rb.means = map[string]float64{}
		}
		rb.means[route] = float64(size)
	}
}

// expected returns the expected size of a response of a route, zero if it is not known.
func (rb *routeBytes) expected(route string) int {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	return int(rb.means[route])
}

// countBody makes the body of an answer count its bytes if the answer does not give its length and the count is needed.
func (at *attempt) countBody(rs *http.Response) {
	if rs.ContentLength < 0 && rs.Body != nil && at.fw.router.ReportsPace(at.cl.service) {
		at.counted = &countedBody{ReadCloser: rs.Body}
		rs.Body = at.counted
	}
}

// learnBytes adds the size of a complete answer to the estimate of its route.
func (at *attempt) learnBytes(rs *http.Response) {
	size := rs.ContentLength
	if at.counted != nil {
		size = at.counted.bytes.Load()
	}
	if size >= 0 && rs.StatusCode < http.StatusMultipleChoices && at.fw.router.ReportsPace(at.cl.service) {
		at.fw.routeBytes.learn(at.cl.row.Route, size)
	}
}

// countedBody is an answer's body that counts the bytes read.
type countedBody struct {
	io.ReadCloser
	bytes atomic.Int64
}

// Read implements io.Reader.
func (cb *countedBody) Read(buf []byte) (int, error) {
	num, err := cb.ReadCloser.Read(buf)
	cb.bytes.Add(int64(num))
	return num, err
}

// drainingProcess returns the id of the upstream's process if it has said that it drains, and nil otherwise: when it started, in Unix
// milliseconds, 0 if that is not known.
func (fw *Forwarder) drainingProcess() *int64 {
	up := fw.upstream.Load()
	if up == nil || !up.draining.Load() {
		return nil
	}
	started := int64(0)
	if !up.started.IsZero() {
		started = up.started.UnixMilli()
	}
	return &started
}
