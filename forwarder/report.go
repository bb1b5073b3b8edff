package forwarder

import (
	"net/http"
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
