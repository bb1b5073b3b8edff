package registrar

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

const (
	// reportInterval is how often a report is sent when nothing changes.
	reportInterval = 2 * time.Second
	// reportBatchDelay is how long changes are collected for one report.
	reportBatchDelay = 20 * time.Millisecond
	// reportTimeout bounds the sending of one report, reportRetryDelay is the delay after a failed one.
	reportTimeout    = time.Second
	reportRetryDelay = 500 * time.Millisecond
)

// reporter reports to one other instance which revisions are in force here and at the instances that report here.
type reporter struct {
	ds *Distributor
	to Source
	tm *tomb.Tomb
}

// loop ends the reporter with its distributor.
func (rp *reporter) loop() error {
	select {
	case <-rp.ds.tm.Dying():
		rp.tm.Kill(nil)
	case <-rp.tm.Dying():
	}
	// The error is always nil: only Kill(nil) ends the reporter.
	_ = rp.tm.Wait()
	return nil
}

// run sends a report at each change, and every reportInterval without one.
func (rp *reporter) run() error {
	ss := rp.newSession()
	for rp.tm.Alive() {
		rq, wake := rp.nextReport(ss)
		if !rp.send(rq) {
			ss = rp.newSession()
			rp.pause(reportRetryDelay, nil)
			continue
		}
		rp.pause(reportInterval, wake)
		rp.pause(reportBatchDelay, nil)
	}
	return nil
}

// newSession starts a session; its number differs from all earlier ones of the instance, also across restarts.
func (rp *reporter) newSession() *outboundSession {
	return &outboundSession{number: uint64(time.Now().UnixNano())}
}

func (rp *reporter) nextReport(ss *outboundSession) (*registrarpb.ReportRequest, <-chan struct{}) {
	rp.ds.mu.Lock()
	defer rp.ds.mu.Unlock()
	return rp.ds.tracker.nextReport(ss), rp.ds.wake
}

// send sends a report and returns whether the receiver accepted it.
func (rp *reporter) send(rq *registrarpb.ReportRequest) bool {
	ctx, cancel := context.WithTimeout(rp.tm.Context(context.Background()), reportTimeout)
	defer cancel()
	rp.ds.metrics.reports.Inc()
	rs, err := registrarpb.NewSpreadClient(rp.ds.peers, rp.ds.peers.URL(rp.to.Peer)).
		Report(ctx, connect.NewRequest(rq))
	return err == nil && !rs.Msg.GetUnknown()
}

// pause waits for the given time, or until wake is closed.
func (rp *reporter) pause(longest time.Duration, wake <-chan struct{}) {
	tm := time.NewTimer(longest)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-wake:
	case <-rp.tm.Dying():
	}
}
