package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// shareHold is how long a keeper counts the share of a node, from when it issued the stamp that came with it. It covers a loan of the
	// share (loanHold) and two reports of an idle node.
	shareHold = 1800 * time.Millisecond
	// legacyShareHold is how long a keeper counts the share of a node of an older build, from the arrival of its last report. Such a node fills
	// a standby bucket leaseDuration after it sent its last answered report.
	legacyShareHold = leaseDuration - 100*time.Millisecond
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
	members map[gypsumhoist.Instance]time.Time // until when the share of each node of the domain counts here
	domains int                                // number of failure domains of the fleet
	limits  map[Key]Limit
	buckets map[Key]*domainBucket
	// homes are the home domains of centralized rows, loansOut the loans of the own share to each home.
	homes    map[Key]gypsumhoist.FailureDomain
	loansOut map[gypsumhoist.FailureDomain]*assignment
	stamps   stampClock
	// filled is the integral over time of the share that the keeper counts, in seconds, up to advancedAt. Buckets fill by what it has grown, so
	// that no time counts with a share that the keeper did not have then.
	filled     float64
	advancedAt time.Time
	// addedAt is the value of filled when each row was added or got another home.
	addedAt map[Key]float64
	// othersEmptyUntil is until when other domains are assumed to have no tokens to transfer.
	othersEmptyUntil time.Time
}

// domainBucket is the domain's token bucket of one row. Its level and the tokens held by nodes together never exceed the part of the
// burst that the keeper has, except for tokens transferred from other domains.
type domainBucket struct {
	level       float64
	transferred float64   // tokens from other domains, granted first
	at          time.Time // of the last fill
	filled      float64   // the keeper's value at the last fill
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
		limits: map[Key]Limit{}, buckets: map[Key]*domainBucket{}, addedAt: map[Key]float64{},
		loansOut: map[gypsumhoist.FailureDomain]*assignment{},
	}
}

// SetMembers sets the nodes of the domain, unreachable ones included, and the number of failure domains of the fleet.
// Shares are equal per domain, not per node, because a domain knows only some of the nodes of other domains.
func (kp *Keeper) SetMembers(now time.Time, members []gypsumhoist.Instance, domains int) {
	kp.advance(now)
	next := make(map[gypsumhoist.Instance]time.Time, len(members))
	for _, in := range members {
		next[in] = kp.members[in]
	}
	kp.members, kp.domains = next, max(domains, 1)
	kp.clampLevels(now)
}

// advance adds the time since the last call to filled. It is called before anything that the share depends on changes.
func (kp *Keeper) advance(now time.Time) {
	passed := 0.0
	for _, until := range kp.members {
		if until.After(now) {
			until = now
		}
		passed += max(until.Sub(kp.advancedAt).Seconds(), 0)
	}
	if kp.advancedAt.IsZero() {
		passed = 0
	}
	kp.filled += passed / kp.parts()
	kp.advancedAt = now
}

// parts returns into how many equal shares every row is divided: one for each node, if all domains are as large as this one.
func (kp *Keeper) parts() float64 { return float64(max(len(kp.members), 1) * kp.domains) }

// clampLevels reduces the level of each bucket to the keeper's part of the burst.
func (kp *Keeper) clampLevels(now time.Time) {
	share := kp.Share(now)
	for ky, db := range kp.buckets {
		db.level = min(db.level, kp.burst(share, ky))
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
		if _, known := kp.addedAt[ky]; !known {
			kp.addedAt[ky] = kp.filled
		}
	}
	maps.DeleteFunc(kp.addedAt, func(ky Key, _ float64) bool { _, known := limits[ky]; return !known })
	maps.DeleteFunc(kp.buckets, func(ky Key, _ *domainBucket) bool { _, known := limits[ky]; return !known })
	kp.clampLevels(now)
}

// Report applies the report of a node on all rows of which it holds or needs tokens. It returns what the node is granted, and the stamp of the answer.
func (kp *Keeper) Report(now time.Time, node gypsumhoist.Instance, sh sentShare, reports []RowReport) ([]Grant, Stamp) {
	kp.advance(now)
	until := sh.until(now, &kp.stamps, shareHold, legacyShareHold)
	if before := kp.members[node]; sh.stamp != 0 && before.After(until) {
		until = before
	}
	kp.members[node] = until
	fp := kp.fillParams(now)
	var out []Grant
	for _, rr := range reports {
		if _, known := kp.limits[rr.Key]; known {
			out = append(out, kp.grant(fp, node, rr))
		}
	}
	return out, kp.stamps.issue(now)
}

func (kp *Keeper) grant(fp fillParams, node gypsumhoist.Instance, rr RowReport) Grant {
	db := kp.bucket(fp.now, rr.Key)
	delete(db.nodes, node)
	kp.fill(fp, rr.Key, db)
	db.level = min(db.level+float64(rr.Returned), max(kp.burst(fp.share, rr.Key)-db.outstanding(fp.now), db.level))
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

// bucket returns the bucket of a row. A new one counts as filling since the row was added, for the shares that the keeper has had since.
func (kp *Keeper) bucket(now time.Time, ky Key) *domainBucket {
	db := kp.buckets[ky]
	if db == nil {
		db = &domainBucket{at: now, filled: kp.addedAt[ky], nodes: map[gypsumhoist.Instance]*nodeUsage{}}
		if _, centralized := kp.homes[ky]; centralized {
			db.filled = kp.filled
		}
		kp.buckets[ky] = db
	}
	return db
}

// empty drops all tokens. The bucket fills from now on.
func (db *domainBucket) empty(now time.Time, filled float64) {
	db.level, db.transferred, db.unmet, db.at, db.filled = 0, 0, 0, now, filled
}

// fill adds the tokens of the keeper's share since the last fill. It empties the bucket of a row whose share has been lent since then.
func (kp *Keeper) fill(fp fillParams, ky Key, db *domainBucket) {
	if kp.isLent(db.at, ky) {
		db.empty(fp.now, kp.filled)
		return
	}
	grown := kp.limits[ky].Rate * (kp.filled - db.filled)
	db.at, db.filled = fp.now, kp.filled
	burst := kp.burst(fp.share, ky)
	db.level = min(db.level, burst)
	db.level += max(min(grown, burst-db.outstanding(fp.now)-db.level), 0)
}

// fillParams are the parameters of fill that are the same for all rows.
type fillParams struct {
	now time.Time
	// share is the fraction of every row that the keeper has now.
	share float64
}

// fillParams advances to a time and returns the parameters of fill.
func (kp *Keeper) fillParams(now time.Time) fillParams {
	kp.advance(now)
	return fillParams{now: now, share: kp.Share(now)}
}

// shareUntil returns the fraction of every row that the keeper has from now until a later time.
func (kp *Keeper) shareUntil(now, end time.Time) float64 {
	counted := 0
	for _, until := range kp.members {
		if until.After(now) && !until.Before(end) {
			counted++
		}
	}
	return float64(counted) / kp.parts()
}

// Share returns the fraction of every row that the keeper has now: that of the nodes whose share it counts.
func (kp *Keeper) Share(now time.Time) float64 { return kp.shareUntil(now, now) }

// domainRate returns the rate at which the domain's bucket of a row fills.
func (kp *Keeper) domainRate(fp fillParams, ky Key) float64 { return kp.limits[ky].Rate * fp.share }

// burst returns the part of a row's burst that belongs to a share, at least one token.
func (kp *Keeper) burst(share float64, ky Key) float64 {
	if share == 0 {
		return 0
	}
	return max(kp.limits[ky].Burst*share, 1)
}

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
