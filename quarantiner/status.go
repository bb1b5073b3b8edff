package quarantiner

import (
	"slices"
	"time"
)

// NeedsBody returns how many of the first bytes of the body Check needs for a head.
// It is zero unless a suspect has the same head.
func (co *Core) NeedsBody(now time.Duration, head Head) int {
	need := 0
	for _, rec := range co.records.live(now, head) {
		need = max(need, rec.prefix)
	}
	return need
}

// Check returns the status of a request whose body begins with prefix, and until when the suspicion or quarantine lasts.
func (co *Core) Check(now time.Duration, head Head, prefix []byte) (Status, time.Duration) {
	matched := co.matching(now, head, prefix)
	if len(matched) == 0 {
		return StatusClear, 0
	}
	var deaths []Process
	until := time.Duration(0)
	for _, rec := range matched {
		until = max(until, rec.until)
		for _, pc := range rec.deaths {
			if !slices.Contains(deaths, pc) {
				deaths = append(deaths, pc)
			}
		}
	}
	if len(deaths) >= deathsToQuarantine {
		return StatusQuarantined, until
	}
	return StatusSuspect, until
}

func (co *Core) matching(now time.Duration, head Head, prefix []byte) []*record {
	var out []*record
	for _, rec := range co.records.live(now, head) {
		if rec.matches(prefix) {
			out = append(out, rec)
		}
	}
	return out
}

// Suspects returns the suspects that a request matches, for a permit request.
func (co *Core) Suspects(now time.Duration, head Head, prefix []byte) []Suspect {
	var out []Suspect
	for _, rec := range co.matching(now, head, prefix) {
		out = append(out, rec.suspect())
	}
	return out
}
