package limiter

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Table is the part of the table that the limiter needs, at one revision.
type Table struct {
	// Revision is the table's revision. A table with a lower one than the last is ignored.
	Revision uint64
	// Confirmed is the highest revision that is in force at every node of every domain
	// that the table names at that revision or names now. It must not decrease.
	Confirmed uint64
	// AsOf is a time, on this process's clock, at which the table held every accepted change;
	// zero if no such time is known.
	AsOf time.Time
	// Domains are all failure domains that the table knows, reachable or not, in any order.
	Domains []gypsumhoist.FailureDomain
	// DomainsRevision is the revision at which Domains last changed; 0 if unknown. With 0, domains that equal the last
	// ones count as unchanged, although they may have changed and changed back in between.
	DomainsRevision uint64
	Rows            []Entry
}

// Entry is a row and the revision at which it last changed; 0 means the table's revision.
type Entry struct {
	Row      *registrar.Row
	Revision uint64
}

// version holds the shares of a row from one revision on.
type version struct {
	revision uint64
	shares   map[gypsumhoist.FailureDomain]Share
	// unseen stands for versions that this process may have missed.
	unseen bool
	// number is the row's Number.
	number uint64
}

// Plan decides which share of each row a domain may use while the table changes.
//
// Until the newest version of a row is confirmed everywhere, several versions may be in use in the fleet.
// If, of every two of them, one is at least as large as the other in every domain, any mixture of them
// stays within the largest, and the newest applies at once. Otherwise a domain uses the lowest of its
// shares until the newest is confirmed, and only then raises it. So at any time the sum over all domains
// stays within one of the versions in use. Tables may arrive several revisions apart. A version that was missed
// that way can't be compared; the domain uses nothing of the row until the newest version is confirmed.
//
// A Plan is not safe for concurrent use. Call NewPlan.
type Plan struct {
	self      gypsumhoist.FailureDomain
	revision  uint64
	confirmed uint64
	domains   []gypsumhoist.FailureDomain
	// firstRevision is the first revision that was seen; older versions of rows are unknown.
	firstRevision uint64
	started       bool
	rows          map[RowKey][]version
}

// NewPlan returns a plan for one domain. Its shares are empty until SetTable.
func NewPlan(self gypsumhoist.FailureDomain) *Plan {
	return &Plan{self: self, rows: map[RowKey][]version{}}
}

// SetTable sets a new table, or the same one with a new Confirmed or AsOf.
// For a table that is older than the last it returns false and changes nothing.
func (pl *Plan) SetTable(tb Table) bool {
	if tb.Revision < pl.revision {
		return false
	}
	tb.Domains = slices.Sorted(slices.Values(tb.Domains))
	if !pl.started {
		pl.firstRevision = tb.Revision
	}
	pl.confirmed = max(pl.confirmed, tb.Confirmed)
	if !pl.started || tb.Revision > pl.revision {
		pl.addRows(tb)
	}
	for rk := range pl.rows {
		pl.prune(rk)
	}
	pl.started, pl.revision, pl.domains = true, tb.Revision, tb.Domains
	return true
}

func (pl *Plan) addRows(tb Table) {
	seen := make(map[RowKey]bool, len(tb.Rows))
	skipped := pl.skipsRevisions(tb)
	for _, en := range tb.Rows {
		rk := KeyOf(en.Row)
		seen[rk] = true
		if pl.unchanged(rk, en, tb) {
			continue
		}
		vs := version{revision: pl.revisionOf(en, tb), shares: Split(en.Row, tb.Domains), number: en.Row.Number}
		recreated := pl.started && len(pl.rows[rk]) == 0 && vs.number != 1
		pl.add(rk, vs, recreated || (skipped && !pl.consecutive(rk, en, tb)))
	}
	for rk := range pl.rows {
		if !seen[rk] {
			pl.add(rk, version{revision: tb.Revision}, skipped)
		}
	}
}

// unchanged reports whether neither the row nor the domains have changed since the last table.
func (pl *Plan) unchanged(rk RowKey, en Entry, tb Table) bool {
	return len(pl.rows[rk]) > 0 && en.Revision > 0 && en.Revision <= pl.revision && pl.domainsUnchanged(tb)
}

// domainsUnchanged reports whether the domains have not changed since the last table.
func (pl *Plan) domainsUnchanged(tb Table) bool {
	return pl.started && slices.Equal(tb.Domains, pl.domains) && tb.DomainsRevision <= pl.revision
}

// skipsRevisions reports whether there are revisions between the last table and this one.
func (pl *Plan) skipsRevisions(tb Table) bool { return pl.started && tb.Revision > pl.revision+1 }

// consecutive reports whether the row had no version between the last known one and this.
// It returns false if that isn't certain.
func (pl *Plan) consecutive(rk RowKey, en Entry, tb Table) bool {
	var last uint64
	if known := pl.rows[rk]; len(known) > 0 {
		last = known[len(known)-1].number
	}
	unchanged := last > 0 && en.Row.Number == last
	return pl.domainsUnchanged(tb) && en.Row.Number > 0 && (unchanged || en.Row.Number == last+1)
}

// revisionOf returns the revision since which the row has had its present shares.
func (pl *Plan) revisionOf(en Entry, tb Table) uint64 {
	switch {
	case en.Revision == 0:
		return tb.Revision
	case tb.DomainsRevision > 0:
		return max(en.Revision, tb.DomainsRevision)
	case pl.domainsUnchanged(tb):
		return en.Revision
	default:
		return tb.Revision
	}
}

// add appends a version of a row unless its shares equal those of the last one.
// gap means that there may be another version between it and the last known one.
func (pl *Plan) add(rk RowKey, vs version, gap bool) {
	known := pl.rows[rk]
	if len(known) == 0 && vs.revision > pl.confirmed && (!pl.started || pl.confirmed < pl.firstRevision) {
		gap = true
	}
	if gap && vs.revision > pl.confirmed {
		known = append(known, version{unseen: true})
	}
	if len(known) > 0 && known[len(known)-1].equals(vs) {
		known[len(known)-1].number = vs.number
		return
	}
	pl.rows[rk] = append(known, vs)
}

// prune drops the versions that no node uses any more.
func (pl *Plan) prune(rk RowKey) {
	known := pl.rows[rk]
	keep := 0
	for ix, vs := range known {
		if !vs.unseen && vs.revision <= pl.confirmed {
			keep = ix
		}
	}
	known = slices.Delete(known, 0, keep)
	if len(known) == 1 && len(known[0].shares) == 0 && known[0].revision <= pl.confirmed {
		delete(pl.rows, rk)
		return
	}
	pl.rows[rk] = known
}

// Revision returns the revision of the last table.
func (pl *Plan) Revision() uint64 { return pl.revision }

// Share returns what the plan's domain may use of a row now.
// For an unknown or deleted row it is the zero Share.
func (pl *Plan) Share(rk RowKey) Share {
	known := pl.rows[rk]
	if len(known) == 0 {
		return Share{}
	}
	newest := known[len(known)-1].shares[pl.self]
	if slices.ContainsFunc(known, func(vs version) bool { return vs.unseen }) {
		return Share{FleetRate: newest.FleetRate, Pending: true}
	}
	return Share{
		FleetRate: newest.FleetRate,
		Rate:      pl.safeValue(known, newest.Rate, Share.rate),
		Burst:     pl.safeValue(known, newest.Burst, Share.burst),
	}
}

func (sh Share) rate() Amount  { return sh.Rate }
func (sh Share) burst() Amount { return sh.Burst }

// safeValue returns the newest value if all versions are in order, and the lowest otherwise.
func (pl *Plan) safeValue(known []version, newest Amount, get func(Share) Amount) Amount {
	lowest, ordered := newest, true
	for ix, vs := range known {
		lowest = min(lowest, get(vs.shares[pl.self]))
		for _, other := range known[:ix] {
			ordered = ordered && inOrder(vs.shares, other.shares, get)
		}
	}
	if ordered {
		return newest
	}
	return lowest
}

// Has reports whether the plan knows a row.
func (pl *Plan) Has(rk RowKey) bool { return len(pl.rows[rk]) > 0 }

// IsNew reports whether the row has never been edited and no row of its name existed before it.
func (pl *Plan) IsNew(rk RowKey) bool {
	known := pl.rows[rk]
	return len(known) > 0 && known[len(known)-1].number == 1
}

// Keys returns the names of all rows that the plan knows, in no particular order.
func (pl *Plan) Keys() []RowKey {
	keys := make([]RowKey, 0, len(pl.rows))
	for rk := range pl.rows {
		keys = append(keys, rk)
	}
	return keys
}

// equals reports whether the next version has the same shares.
func (vs version) equals(next version) bool {
	return !vs.unseen && sameShares(vs.shares, next.shares)
}

func sameShares(sa, sb map[gypsumhoist.FailureDomain]Share) bool {
	return includesShares(sa, sb) && includesShares(sb, sa)
}

// includesShares reports whether sa has every share of sb; a missing share counts as zero.
func includesShares(sa, sb map[gypsumhoist.FailureDomain]Share) bool {
	for dm, sh := range sb {
		if sa[dm] != sh {
			return false
		}
	}
	return true
}

// inOrder reports whether one of the two versions is at least as large as the other in every domain.
func inOrder(sa, sb map[gypsumhoist.FailureDomain]Share, get func(Share) Amount) bool {
	above, below := false, false
	compare := func(va, vb Amount) {
		above = above || va > vb
		below = below || va < vb
	}
	for dm, sh := range sa {
		compare(get(sh), get(sb[dm]))
	}
	for dm, sh := range sb {
		compare(get(sa[dm]), get(sh))
	}
	return !above || !below
}
