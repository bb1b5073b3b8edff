package forwarder

import (
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// noteReports records what an answer of this node's upstream says about the upstream itself.
// An answer of an upstream that has been replaced meanwhile says nothing about the present one.
func (fw *Forwarder) noteReports(from *upstreamSlot, hd http.Header, rc *explainer.Record) {
	if fw.upstream.Load() != from {
		return
	}
	limit, err := gypsumhoist.ParseRateLimit(hd.Get(gypsumhoist.HeaderRateLimit))
	switch {
	case err != nil:
		rc.Note("upstream", "named an invalid rate limit", err.Error())
	case limit.Limited():
		rc.Note("upstream", "named a rate limit", limit.String())
	}
}
