package claimer

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

// Home returns the home of a key: the failure domain that stores its claim.
// If the key has a prefix "<failure domain>/" that names one of the domains, that is its home.
// The home of any other key is chosen by rendezvous hashing over all domains, reachable or not.
// Without domains Home returns the empty name.
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

// placement holds the domains among which homes are chosen.
// While previous is set, a key is claimed at its home in previous and then at its home in current.
type placement struct {
	current  []gypsumhoist.FailureDomain
	previous []gypsumhoist.FailureDomain
}

// homes returns the domains where a key must be claimed, in that order.
func (pl placement) homes(ky Key) []gypsumhoist.FailureDomain {
	home := Home(ky, pl.current)
	old := Home(ky, pl.previous)
	switch {
	case home == "":
		return nil
	case old == "" || old == home:
		return []gypsumhoist.FailureDomain{home}
	default:
		return []gypsumhoist.FailureDomain{old, home}
	}
}
