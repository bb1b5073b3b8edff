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
		fw.throttler.Done(cl.throttleKey(), !cl.failedByOverload())
	}
}

func (cl *call) throttleKey() throttler.Key {
	return throttler.Key{Route: cl.row.Route, Importance: cl.importance}
}

// failedByOverload reports whether a request failed because something on its path was overloaded.
func (cl *call) failedByOverload() bool {
	switch cl.record.Reason {
	case gypsumhoist.ReasonOverload, gypsumhoist.ReasonUpstreamRefused, gypsumhoist.ReasonDeadline, gypsumhoist.ReasonNoUpstream:
		return true
	case "":
		return cl.childRefused && cl.record.Status >= http.StatusInternalServerError
	default:
		return false
	}
}
