package forwarder

import (
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// noteReports applies what an answer of this node's upstream says about the upstream itself.
// An answer of an upstream that has been replaced meanwhile says nothing about the present one.
func (fw *Forwarder) noteReports(from *upstreamSlot, hd http.Header, rc *explainer.Record) {
	if fw.upstream.Load() != from {
		return
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
