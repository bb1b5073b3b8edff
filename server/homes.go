package server

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// claimHomes are the sets of failure domains that home domains of claims are chosen from.
// ready is false while claims must be refused.
type claimHomes struct {
	current  []gypsumhoist.FailureDomain
	previous []gypsumhoist.FailureDomain
	ready    bool
}

// formationPeriod is how long the failure domains of a new fleet have to form their groups before claims are accepted.
// Domains formed within it count as founding ones and no set without them is kept, so that claims made earlier
// could not be found after their homes have moved.
const formationPeriod = 5 * time.Second

// maxClockSkew is the tolerated clock difference between a control instance and a node.
const maxClockSkew = 2 * time.Second

// homesOf returns the failure domains that claims are kept in. The current set holds all domains of the table.
// After domains have joined, the previous set holds those that were there before, and claims are kept in the homes
// by both sets, so that a claim is found whichever set a node knows.
// The previous set is kept for twice the retention, as a node may learn of a new domain up to one retention late;
// with a table older than that it accepts no claims.
// asOf is a time at which the placements were known to be complete; claims are accepted only once it proves
// that they hold all founding domains.
func homesOf(pls []sharder.Placement, now, asOf time.Time, retention time.Duration) claimHomes {
	formedAt := map[gypsumhoist.FailureDomain]time.Time{}
	for _, pl := range pls {
		at, ok := formedAt[pl.Domain]
		if pl.Generation > 1 {
			// A later generation doesn't tell when the domain joined, only that it was there before.
			formedAt[pl.Domain] = time.Time{}
		} else if !ok || pl.FormedAt.Before(at) {
			formedAt[pl.Domain] = pl.FormedAt
		}
	}
	if len(formedAt) == 0 {
		return claimHomes{}
	}
	oldest := now
	for _, at := range formedAt {
		if at.Before(oldest) {
			oldest = at
		}
	}
	var ch claimHomes
	settled := oldest.Add(formationPeriod)
	for fd, at := range formedAt {
		ch.current = append(ch.current, fd)
		if !at.After(settled) || now.Sub(at) > 2*retention {
			ch.previous = append(ch.previous, fd)
		}
	}
	slices.Sort(ch.current)
	slices.Sort(ch.previous)
	ch.ready = asOf.After(settled.Add(maxClockSkew)) && now.Sub(asOf) <= retention
	if slices.Equal(ch.current, ch.previous) {
		ch.previous = nil
	}
	return ch
}
