package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// contactTimeout is how long a keeper assumes that a silent node spends only granted tokens. The node starts to fill a
	// standby bucket leaseDuration after it sent its last answered report; the timeout is shorter, so that the keeper reduces
	// its own fill rate first.
	contactTimeout = leaseDuration - 100*time.Millisecond
	// heldTokensTimeout is how long a keeper counts the tokens held by a silent node.
	heldTokensTimeout = leaseDuration + 500*time.Millisecond
	// reserveWindow is the time for which a domain keeps tokens for its own demand when another domain requests some.
	reserveWindow = 100 * time.Millisecond
	// deficitWindow is the time for which a domain requests tokens in excess of its own rate from others.
	deficitWindow = 800 * time.Millisecond
)

// Key identifies a row.
type Key struct {
	Workspace gypsumhoist.Workspace
	Route     string
}

// Limit is the fleet-wide rate of a row, in tokens per second, and its burst, in tokens.
type Limit struct{ Rate, Burst float64 }

// RowReport is what one node reports on a row: tokens spent and returned since its last report, tokens held now,
// requests waiting for a token, and the requests of the last second (Demand).
type RowReport struct {
	Key                                    Key
	Spent, Returned, Held, Waiting, Demand int64
}

// Grant is an amount of tokens of a row. Empty means that no more were available in the domain, and for a grant to a node,
// not in other domains either.
type Grant struct {
	Key    Key
	Amount int64
	Empty  bool
}

// Keeper holds a failure domain's share of all rows in token buckets and grants tokens to its nodes. It does no I/O, reads no
// clock, and is not safe for concurrent use. The zero value is not usable; call NewKeeper.
type Keeper struct {
	self    gypsumhoist.FailureDomain
	members map[gypsumhoist.Instance]time.Time // last report of each node of the domain
	domains int                                // number of failure domains of the fleet
	limits  map[Key]Limit
	buckets map[Key]*domainBucket
	// homes are the home domains of centralized rows, loansOut what is lent to each home.
	homes    map[Key]gypsumhoist.FailureDomain
	loansOut map[gypsumhoist.FailureDomain]*loanOut
	// contactSince is when the current uninterrupted sequence of reports began, addedAt when each row was added.
	contactSince, lastReport time.Time
	addedAt                  map[Key]time.Time
	// othersEmptyUntil is until when other domains are assumed to have no tokens to transfer.
	othersEmptyUntil time.Time
}

// domainBucket is the domain's token bucket of one row. Its level and the tokens held by nodes together never exceed the domain's
// burst, except for tokens transferred from other domains.
type domainBucket struct {
	level       float64
	transferred float64 // tokens from other domains, granted first
	at          time.Time
	nodes       map[gypsumhoist.Instance]*nodeUsage
	unmet       int64 // tokens that requests lacked since the last call of Deficits
}

// nodeUsage is what a node last reported, with the tokens granted in reply.
type nodeUsage struct {
	held, demand int64
	at           time.Time
}

// NewKeeper returns a keeper of a domain without rows and members.
func NewKeeper(self gypsumhoist.FailureDomain) *Keeper {
	return &Keeper{
		self: self, members: map[gypsumhoist.Instance]time.Time{}, domains: 1,
		limits: map[Key]Limit{}, buckets: map[Key]*domainBucket{}, addedAt: map[Key]time.Time{},
		loansOut: map[gypsumhoist.FailureDomain]*loanOut{},
	}
}

// SetMembers sets the nodes of the domain, unreachable ones included, and the number of failure domains of the fleet.
// Shares are equal per domain, not per node, because a domain knows only some of the nodes of other domains.
func (kp *Keeper) SetMembers(members []gypsumhoist.Instance, domains int) {
	next := make(map[gypsumhoist.Instance]time.Time, len(members))
	for _, in := range members {
		next[in] = kp.members[in]
	}
	kp.members, kp.domains = next, max(domains, 1)
	kp.clampLevels()
}

// clampLevels reduces the level of each bucket to the domain's burst.
func (kp *Keeper) clampLevels() {
	for ky, db := range kp.buckets {
		db.level = min(db.level, kp.domainBurst(ky))
	}
}

// SetLimits replaces the limits of all rows. Rows that are missing are dropped, and so are tokens beyond a lowered limit.
func (kp *Keeper) SetLimits(now time.Time, limits map[Key]Limit) {
	fp := kp.fillParams(now)
	for _, db := range kp.sortedBuckets() {
		kp.fill(fp, db.key, db.domainBucket)
	}
	kp.limits = limits
	for ky := range limits {
		if kp.addedAt[ky].IsZero() {
			kp.addedAt[ky] = now
		}
	}
	maps.DeleteFunc(kp.addedAt, func(ky Key, _ time.Time) bool { _, known := limits[ky]; return !known })
	maps.DeleteFunc(kp.buckets, func(ky Key, _ *domainBucket) bool { _, known := limits[ky]; return !known })
	kp.clampLevels()
}

// Report applies the report of a node on all rows of which it holds or needs tokens, and returns what it is granted.
func (kp *Keeper) Report(now time.Time, node gypsumhoist.Instance, reports []RowReport) []Grant {
	kp.members[node] = now
	if now.Sub(kp.lastReport) > contactTimeout {
		kp.contactSince = now
	}
	kp.lastReport = now
	fp := kp.fillParams(now)
	var out []Grant
	for _, rr := range reports {
		if _, known := kp.limits[rr.Key]; known {
			out = append(out, kp.grant(fp, node, rr))
		}
	}
	return out
}

func (kp *Keeper) grant(fp fillParams, node gypsumhoist.Instance, rr RowReport) Grant {
	db := kp.bucket(fp.now, rr.Key)
	delete(db.nodes, node)
	kp.fill(fp, rr.Key, db)
	db.level = min(db.level+float64(rr.Returned), max(kp.domainBurst(rr.Key)-db.outstanding(fp.now), db.level))
	wanted := rr.Waiting + max(prefetch(rr.Demand)-rr.Held, 0)
	amount := min(wanted, int64(db.level+db.transferred))
	db.take(float64(amount))
	db.unmet += max(rr.Waiting-amount, 0)
	db.nodes[node] = &nodeUsage{held: rr.Held + amount, demand: rr.Demand, at: fp.now}
	return Grant{Key: rr.Key, Amount: amount, Empty: amount < wanted && (kp.domains == 1 || fp.now.Before(kp.othersEmptyUntil))}
}

// take removes tokens, which the bucket must hold.
func (db *domainBucket) take(amount float64) {
	transferred := min(db.transferred, amount)
	db.transferred -= transferred
	db.level -= amount - transferred
}

// bucket returns the bucket of a row. A new bucket counts as filling since the row was added and nodes began to report here,
// whichever is later: another keeper may have granted all earlier tokens.
func (kp *Keeper) bucket(now time.Time, ky Key) *domainBucket {
	db := kp.buckets[ky]
	if db == nil {
		at := kp.contactSince
		if kp.addedAt[ky].After(at) {
			at = kp.addedAt[ky]
		}
		if kp.contactSince.IsZero() {
			at = now
		}
		db = &domainBucket{at: at, nodes: map[gypsumhoist.Instance]*nodeUsage{}}
		kp.buckets[ky] = db
	}
	return db
}

// fill adds the tokens of the domain's rate since the last fill. It empties the bucket of a row whose share is lent.
func (kp *Keeper) fill(fp fillParams, ky Key, db *domainBucket) {
	passed := fp.now.Sub(db.at).Seconds()
	db.at = fp.now
	if kp.isLent(fp.now, ky) {
		db.level, db.transferred, db.unmet = 0, 0, 0
		return
	}
	if passed <= 0 {
		return
	}
	space := kp.domainBurst(ky) - db.outstanding(fp.now) - db.level
	db.level += max(min(kp.domainRate(fp, ky)*passed, space), 0)
}

// fillParams are the parameters of fill that are the same for all rows.
type fillParams struct {
	now time.Time
	// share is the fraction of every rate at which the domain's buckets fill: that of the nodes that the keeper hears from.
	share float64
}

func (kp *Keeper) fillParams(now time.Time) fillParams {
	heard := 0
	for _, at := range kp.members {
		if !at.IsZero() && now.Sub(at) < contactTimeout {
			heard++
		}
	}
	return fillParams{now: now, share: float64(heard) / float64(max(len(kp.members), 1)*kp.domains)}
}

// Share returns the fraction of every row that the domain may use now: that of the nodes that the keeper hears from.
func (kp *Keeper) Share(now time.Time) float64 { return kp.fillParams(now).share }

// domainRate returns the rate at which the domain's bucket of a row fills.
func (kp *Keeper) domainRate(fp fillParams, ky Key) float64 { return kp.limits[ky].Rate * fp.share }

// domainBurst returns the domain's share of a burst, at least one token.
func (kp *Keeper) domainBurst(ky Key) float64 { return max(kp.limits[ky].Burst/float64(kp.domains), 1) }

// outstanding returns the number of tokens held by nodes.
func (db *domainBucket) outstanding(now time.Time) float64 {
	var sum int64
	for in, nu := range db.nodes {
		if now.Sub(nu.at) > heldTokensTimeout {
			delete(db.nodes, in)
			continue
		}
		sum += nu.held
	}
	return float64(sum)
}

// demand returns the requests of the last second at all nodes.
func (db *domainBucket) demand() int64 {
	var sum int64
	for _, nu := range db.nodes {
		sum += nu.demand
	}
	return sum
}

// HasUnmetDemand reports whether requests lacked tokens since the last call of Deficits.
func (kp *Keeper) HasUnmetDemand() bool {
	for _, db := range kp.buckets {
		if db.unmet > 0 {
			return true
		}
	}
	return false
}

// Deficits returns, sorted by key, how many tokens the domain lacks: those that requests waited for since the last call, and the
// demand of deficitWindow in excess of the domain's rate and level.
func (kp *Keeper) Deficits(now time.Time) []Grant {
	fp := kp.fillParams(now)
	var out []Grant
	for _, kb := range kp.sortedBuckets() {
		kp.fill(fp, kb.key, kb.domainBucket)
		beyond := (float64(kb.demand()) - kp.domainRate(fp, kb.key)) * deficitWindow.Seconds()
		deficit := kb.unmet + int64(max(beyond-kb.level-kb.transferred, 0))
		kb.unmet = 0
		if deficit > 0 {
			out = append(out, Grant{Key: kb.key, Amount: deficit})
		}
	}
	return out
}

// keyedBucket is a bucket with the key of its row.
type keyedBucket struct {
	*domainBucket
	key Key
}

// sortedBuckets returns all buckets, sorted by key.
func (kp *Keeper) sortedBuckets() []keyedBucket {
	out := make([]keyedBucket, 0, len(kp.buckets))
	for ky, db := range kp.buckets {
		out = append(out, keyedBucket{db, ky})
	}
	slices.SortFunc(out, func(ka, kb keyedBucket) int { return compareKeys(ka.key, kb.key) })
	return out
}

// Transfer returns the tokens that this domain transfers to another one. They leave its buckets at once, even if the answer is lost.
func (kp *Keeper) Transfer(now time.Time, deficits []Grant) []Grant {
	fp := kp.fillParams(now)
	var out []Grant
	for _, gr := range deficits {
		if _, known := kp.limits[gr.Key]; !known {
			continue
		}
		db := kp.bucket(now, gr.Key)
		kp.fill(fp, gr.Key, db)
		spare := db.level + db.transferred - float64(db.demand())*reserveWindow.Seconds()
		amount := max(min(gr.Amount, int64(spare)), 0)
		db.take(float64(amount))
		out = append(out, Grant{Key: gr.Key, Amount: amount, Empty: amount < gr.Amount})
	}
	return out
}

// SetOthersEmpty records that other domains have no tokens to transfer until a time.
func (kp *Keeper) SetOthersEmpty(until time.Time) { kp.othersEmptyUntil = until }

// Receive adds tokens transferred from another domain.
func (kp *Keeper) Receive(now time.Time, grants []Grant) {
	fp := kp.fillParams(now)
	for _, gr := range grants {
		if _, known := kp.limits[gr.Key]; known {
			db := kp.bucket(now, gr.Key)
			kp.fill(fp, gr.Key, db)
			db.transferred = min(db.transferred+float64(gr.Amount), kp.limits[gr.Key].Burst)
		}
	}
}

func compareKeys(ka, kb Key) int {
	return cmp.Or(cmp.Compare(ka.Workspace, kb.Workspace), cmp.Compare(ka.Route, kb.Route))
}
