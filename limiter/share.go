package limiter

import (
	"cmp"
	"hash/fnv"
	"math/bits"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// RowKey names a row of the table.
type RowKey struct {
	Workspace gypsumhoist.Workspace
	Route     string
}

// KeyOf returns the name of a row.
func KeyOf(rw *registrar.Row) RowKey { return RowKey{Workspace: rw.Workspace, Route: rw.Route} }

// ShardKey returns the string that determines the row's shard.
func (rk RowKey) ShardKey() string { return string(rk.Workspace) + "\x00" + rk.Route }

// Share is the part of a row's rate and burst that belongs to one failure domain.
type Share struct {
	// Rate is in amounts per second.
	Rate Amount
	// Burst is a number of whole tokens, as an Amount.
	Burst Amount
	// FleetRate is the row's rate over all domains, in amounts per second. It only affects
	// how long requests wait and when spare tokens are requested.
	FleetRate Amount
	// Pending means that the domain may use nothing of the row until its newest version is confirmed.
	Pending bool
}

// maxOutstanding bounds the tokens of a share that are outstanding at a time, with nodes and other domains:
// a quarter of its burst, or one token if a quarter is less.
func (sh Share) maxOutstanding() Amount {
	return min(max(sh.Burst/outstandingDivisor, One), sh.Burst)
}

const outstandingDivisor = 4

// Split returns the share of each domain; the sums are exactly the row's rate and burst.
// Bursts are whole tokens, so that a cut-off domain can spend all of its share. Rendezvous hashing on the row's name
// chooses the domains that get one token more than others, or the only ones if the burst is less than the number of domains.
// Rates are proportional to bursts, so that all shares are full at the same time.
// For a row without rate or burst the shares are empty.
func Split(rw *registrar.Row, domains []gypsumhoist.FailureDomain) map[gypsumhoist.FailureDomain]Share {
	shares := make(map[gypsumhoist.FailureDomain]Share, len(domains))
	ranked := rank(KeyOf(rw), domains)
	rate := max(Amount(rw.Rate)*amountPerRate, 0)
	for _, dm := range ranked {
		shares[dm] = Share{FleetRate: rate}
	}
	holders := min(int64(len(ranked)), rw.Burst)
	if holders <= 0 || rate == 0 {
		return shares
	}
	var bursts int64
	for ix, dm := range ranked[:holders] {
		burst := rw.Burst / int64(len(ranked))
		if int64(ix) < rw.Burst%int64(len(ranked)) {
			burst++
		}
		before := fraction(rate, bursts, rw.Burst)
		bursts += burst
		shares[dm] = Share{Rate: fraction(rate, bursts, rw.Burst) - before, Burst: Whole(burst), FleetRate: rate}
	}
	return shares
}

// fraction returns am * some / all, rounded down; some must not exceed all.
func fraction(am Amount, some, all int64) Amount {
	hi, lo := bits.Mul64(uint64(am), uint64(some))
	whole, _ := bits.Div64(hi, lo, uint64(all))
	return Amount(whole)
}

// rank orders the domains for a row; the order differs between rows.
func rank(rk RowKey, domains []gypsumhoist.FailureDomain) []gypsumhoist.FailureDomain {
	type scored struct {
		dm    gypsumhoist.FailureDomain
		score uint64
	}
	var all []scored
	for _, dm := range domains {
		all = append(all, scored{dm, score(rk, dm)})
	}
	slices.SortFunc(all, func(sa, sb scored) int {
		return cmp.Or(cmp.Compare(sa.score, sb.score), cmp.Compare(sa.dm, sb.dm))
	})
	var ranked []gypsumhoist.FailureDomain
	for _, sc := range all {
		if !slices.Contains(ranked, sc.dm) {
			ranked = append(ranked, sc.dm)
		}
	}
	return ranked
}

func score(rk RowKey, dm gypsumhoist.FailureDomain) uint64 {
	sum := fnv.New64a()
	for _, pt := range []string{string(dm), string(rk.Workspace), rk.Route} {
		_, _ = sum.Write([]byte(pt))
		_, _ = sum.Write([]byte{0})
	}
	hash := sum.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}
