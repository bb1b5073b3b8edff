package quarantiner

import (
	"slices"
	"time"
)

// UpstreamDied records the death of this node's upstream: all requests in flight there become suspects.
func (co *Core) UpstreamDied(now time.Duration, pc Process) {
	co.expireBroken(now)
	dt := Death{Process: pc}
	for _, id := range sortedKeys(co.flights) {
		fl := co.flights[id]
		dt.Suspects = append(dt.Suspects, fl.asSuspects(co)...)
	}
	dt.Suspects = uniqueSuspects(dt.Suspects)
	if len(dt.Suspects) > 0 {
		co.mergeDeath(now, dt, quarantineTTL)
		co.effects = append(co.effects, Publish{dt})
	}
	for _, id := range sortedKeys(co.flights) {
		co.removeFlight(id)
	}
	co.broken = nil
}

// UpstreamAlive records that the upstream is alive, so the connections that broke were not a death.
func (co *Core) UpstreamAlive() {
	for _, id := range co.broken {
		co.removeFlight(id)
	}
	co.broken = nil
}

// asSuspects returns the suspects to report for a flight when the upstream dies: those it matched when it
// began, or else its own fingerprint over the body sent so far.
func (fl *flight) asSuspects(co *Core) []Suspect {
	var out []Suspect
	for _, rec := range fl.matched {
		if len(rec.deaths) > 0 {
			out = append(out, rec.suspect())
		}
	}
	if len(out) > 0 {
		return out
	}
	seen, sum := fl.fingerprint.sent()
	su := Suspect{Head: fl.fingerprint.head, Prefix: seen, Sum: sum, Request: fl.fingerprint.request}
	if rec, ok := co.records.byID[su.ID()]; ok {
		su.Epoch = rec.epoch
	}
	return []Suspect{su}
}

func (rec *record) suspect() Suspect {
	return Suspect{Head: rec.head, Prefix: rec.prefix, Sum: rec.sum, Epoch: rec.epoch, Request: rec.request}
}

func uniqueSuspects(list []Suspect) []Suspect {
	seen := map[SuspectID]bool{}
	var out []Suspect
	for _, su := range list {
		if !seen[su.ID()] && len(out) < suspectsMax {
			seen[su.ID()] = true
			out = append(out, su)
		}
	}
	return out
}

func sortedKeys(flights map[FlightID]*flight) []FlightID {
	ids := make([]FlightID, 0, len(flights))
	for id := range flights {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// expireBroken removes requests whose connections broke more than brokenTTL ago without a death.
func (co *Core) expireBroken(now time.Duration) {
	for len(co.broken) > 0 {
		fl, ok := co.flights[co.broken[0]]
		if ok && now-fl.brokenAt < brokenTTL {
			return
		}
		co.removeFlight(co.broken[0])
		co.broken = co.broken[1:]
	}
}
