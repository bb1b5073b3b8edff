package forwarder

import (
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// draining is the value of gypsumhoist.HeaderDraining of an upstream that drains.
const draining = "1"

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
