package forwarder

import (
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// throttle refuses a fresh request while too few of its kind end well.
func (fw *Forwarder) throttle(cl *call) *gypsumhoist.Refusal {
	if fw.throttler == nil || cl.nested {
		return nil
	}
	rf := fw.throttler.Admit(cl.kind(), cl.workspace)
	cl.admitted = rf == nil
	return rf
}

// throttled tells the throttler how a request ended that it let in.
func (fw *Forwarder) throttled(cl *call) {
	if cl.admitted {
		fw.throttler.Done(cl.kind(), !cl.overloaded())
	}
}

func (cl *call) kind() throttler.Key {
	return throttler.Key{Route: cl.row.Route, Importance: cl.importance}
}

// overloaded reports whether a request failed as something on its way had too much to do.
func (cl *call) overloaded() bool {
	switch cl.record.Reason {
	case gypsumhoist.ReasonOverload, gypsumhoist.ReasonUpstreamRefused, gypsumhoist.ReasonDeadline, gypsumhoist.ReasonNoUpstream:
		return true
	case "":
		return cl.childRefused && cl.record.Status >= http.StatusInternalServerError
	default:
		return false
	}
}
