package claimer

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

// Home returns the failure domain that keeps a key's claim.
// A prefix "<failure domain>/" that names one of the domains decides;
// any other key goes by rendezvous hashing over all of them, reachable or not.
// Without domains it returns the empty name.
func Home(ky Key, domains []gypsumhoist.FailureDomain) gypsumhoist.FailureDomain {
	prefix, _, found := strings.Cut(ky.Text, "/")
	if found && slices.Contains(domains, gypsumhoist.FailureDomain(prefix)) {
		return gypsumhoist.FailureDomain(prefix)
	}
	var best gypsumhoist.FailureDomain
	var bestScore uint64
	for _, dm := range domains {
		score := rendezvousScore(ky, dm)
		if best == "" || score > bestScore || (score == bestScore && dm < best) {
			best, bestScore = dm, score
		}
	}
	return best
}

func rendezvousScore(ky Key, dm gypsumhoist.FailureDomain) uint64 {
	sum := fnv.New64a()
	for _, pt := range []string{string(dm), string(ky.Workspace), ky.Text} {
		_, _ = sum.Write([]byte(pt))
		_, _ = sum.Write([]byte{0})
	}
	return hasher.Mix(sum.Sum64())
}

// placement is the set of domains that homes are taken from.
// While before is set, a key is claimed at its home in before and then at the one in now.
type placement struct {
	now    []gypsumhoist.FailureDomain
	before []gypsumhoist.FailureDomain
}

// homes returns the domains where a key has to be claimed, in order.
func (pl placement) homes(ky Key) []gypsumhoist.FailureDomain {
	home := Home(ky, pl.now)
	old := Home(ky, pl.before)
	switch {
	case home == "":
		return nil
	case old == "" || old == home:
		return []gypsumhoist.FailureDomain{home}
	default:
		return []gypsumhoist.FailureDomain{old, home}
	}
}
