package server

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// slowDial is how long a connection to the upstream on the same machine takes at least if the upstream was down meanwhile: the first
// packet is sent again after a second, and an accepted connection takes milliseconds.
const slowDial = 300 * time.Millisecond

// coldLimit decides how many requests per second the node's upstream gets while it is cold. The load that it answers: a cold upstream
// that gets its full share at once, as after a crash or an evacuation of its failure domain, ends again. It is not safe for concurrent use.
type coldLimit struct {
	rates map[gypsumhoist.Service]gypsumhoist.RateLimit // by the table
	// warming is set while the upstream announces that it is cold, suspected while it may have become so since its last announcement.
	warming, suspected bool
}

// setTable takes the limits of cold upstreams from a table.
func (cl *coldLimit) setTable(tb *registrar.Table) {
	cl.rates = nil
	for _, rw := range tb.Rows() {
		if rw.ColdRate == 0 {
			continue
		}
		if cl.rates == nil {
			cl.rates = map[gypsumhoist.Service]gypsumhoist.RateLimit{}
		}
		perSecond := float64(rw.ColdRate) / float64(registrar.RateOne)
		for _, svc := range rw.Services() {
			if old, known := cl.rates[svc]; !known || perSecond < old.PerSecond() {
				cl.rates[svc] = gypsumhoist.RateLimitOf(perSecond)
			}
		}
	}
}

// announced records a new announcement, which also settles a suspicion.
func (cl *coldLimit) announced(an announcer.Announcement) {
	cl.warming, cl.suspected = an.State == announcer.StateWarming, false
}

// suspect records that the upstream may have become cold, and reports whether that changes its limit.
func (cl *coldLimit) suspect(svc gypsumhoist.Service) bool {
	before := cl.limit(svc)
	cl.suspected = true
	return cl.limit(svc) != before
}

// limit returns the limit that holds now for an upstream of a service; the zero value is none.
func (cl *coldLimit) limit(svc gypsumhoist.Service) gypsumhoist.RateLimit {
	if !cl.warming && !cl.suspected {
		return gypsumhoist.RateLimit{}
	}
	return cl.rates[svc]
}

// outageDetector is a network that reports connections to the upstream that failed or took long, as after a crash, before the upstream
// can announce that it has restarted.
type outageDetector struct {
	connector.Network
	suspect func()
}

// Dial implements connector.Network.
func (od *outageDetector) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	began := time.Now()
	cn, err := od.Network.Dial(ctx, addr)
	if err != nil || time.Since(began) >= slowDial {
		od.suspect()
	}
	return cn, err
}
