package forwarder

import (
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// checkThrottle refuses a caller's request while too few of its class succeed.
func (fw *Forwarder) checkThrottle(cl *call) *gypsumhoist.Refusal {
	if fw.throttler == nil || cl.nested {
		return nil
	}
	rf := fw.throttler.Admit(cl.throttleKey(), cl.workspace)
	cl.throttlerAdmitted = rf == nil
	return rf
}

// reportToThrottler reports the outcome of a request that the throttler let in.
func (fw *Forwarder) reportToThrottler(cl *call) {
	if cl.throttlerAdmitted {
		fw.throttler.Done(cl.throttleKey(), !fw.failedByOverload(cl))
	}
}

func (cl *call) throttleKey() throttler.Key {
	return throttler.Key{Route: cl.row.Route, Importance: cl.importance}
}

// failedByOverload reports whether a request failed because something on its path was overloaded. Upstreams that refuse requests
// though they have room, by their own reports, are not: fewer requests would leave as large a share of them refused.
func (fw *Forwarder) failedByOverload(cl *call) bool {
	switch cl.record.Reason {
	case gypsumhoist.ReasonUpstreamRefused:
		return !fw.reportsLoad(cl.service)
	case gypsumhoist.ReasonOverload, gypsumhoist.ReasonDeadline, gypsumhoist.ReasonNoUpstream:
		return true
	case "":
		return cl.childOverloaded && cl.record.Status >= http.StatusInternalServerError
	default:
		return false
	}
}
