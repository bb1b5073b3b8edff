package server_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/server"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// claimHomes returns the failure domains that keep the claim of a key for a node that knows the given placements.
func claimHomes(key claimer.Key, pls []sharder.Placement, now, asOf time.Time, retention time.Duration) map[gypsumhoist.FailureDomain]bool {
	domains, before, ready := server.HomesOf(pls, now, asOf, retention)
	if !ready {
		return nil
	}
	out := map[gypsumhoist.FailureDomain]bool{claimer.Home(key, domains): true}
	if len(before) > 0 {
		out[claimer.Home(key, before)] = true
	}
	return out
}

// TestClaimsShareADomainWhileDomainsJoin checks that a claim is found by every later claim on the same key within the retention,
// whichever failure domains have joined in between and however old the later node's table is.
func TestClaimsShareADomainWhileDomainsJoin(t *testing.T) {
	const retention = time.Hour
	start := time.Unix(1_000_000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		var pls []sharder.Placement
		at := start
		for num := range rapid.IntRange(1, 6).Draw(rt, "domains") {
			pls = append(pls, sharder.Placement{
				Domain: gypsumhoist.FailureDomain(fmt.Sprint("d", num)), Generation: 1, FormedAt: at,
			})
			at = at.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second, time.Minute, 50 * time.Minute, 2 * time.Hour}).Draw(rt, "gap"))
		}
		known := func(now time.Time, lag time.Duration) []sharder.Placement {
			var out []sharder.Placement
			for _, pl := range pls {
				if !pl.FormedAt.After(now.Add(-lag)) {
					out = append(out, pl)
				}
			}
			return out
		}
		first := start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "first")) * time.Second)
		second := first.Add(time.Duration(rapid.IntRange(0, int(retention/time.Second)-10).Draw(rt, "later")) * time.Second)
		lag := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 4000).Draw(rt, name)) * time.Second
		}
		key := claimer.Key{Workspace: "w", Text: rapid.StringMatching(`[a-z0-9]{8}`).Draw(rt, "key")}
		lagOne, lagTwo := lag("lag one"), lag("lag two")
		one := claimHomes(key, known(first, lagOne), first, first.Add(-lagOne), retention)
		two := claimHomes(key, known(second, lagTwo), second, second.Add(-lagTwo), retention)
		if one == nil || two == nil {
			return
		}
		for fd := range one {
			if two[fd] {
				return
			}
		}
		rt.Fatalf("claims at %s in %v and at %s in %v share no failure domain", first.Sub(start), one, second.Sub(start), two)
	})
}
