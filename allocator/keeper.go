package allocator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// touchHold is how long a keeper takes a silent node to live on its tokens only: it begins to fill a bucket of its own
	// once its last answered question is leaseLife old.
	touchHold = leaseLife - 100*time.Millisecond
	// holdsLife is how long a keeper counts the tokens of a node that is silent.
	holdsLife = leaseLife + 500*time.Millisecond
	// ownSpan is the time for whose demand a domain keeps tokens that another one asks for.
	ownSpan = 100 * time.Millisecond
	// lackSpan is the time for whose lack a domain asks others for tokens.
	lackSpan = 800 * time.Millisecond
)

// Key names a row.
type Key struct {
	Workspace gypsumhoist.Workspace
	Route     string
}

// Limit is the rate of a row over the fleet, in tokens a second, and its burst.
type Limit struct{ Rate, Burst float64 }

// Line is what one node reports of a row, in tokens: spent and given back since its last report, held now, wanted by
// requests that wait, and the requests of the last second.
type Line struct {
	Key                                     Key
	Spent, Returned, Holds, Waiting, Demand int64
}

// Grant is tokens of a row. Dry tells that there were no more, in other domains neither.
type Grant struct {
	Key    Key
	Amount int64
	Dry    bool
}

// Keeper holds a failure domain's part of all rows and hands it out. It is pure and not safe for concurrent use.
// The zero value is not usable; call NewKeeper.
type Keeper struct {
	self    gypsumhoist.FailureDomain
	members map[gypsumhoist.Instance]time.Time // of the domain, to when they were last heard
	domains int                                // failure domains of the fleet
	limits  map[Key]Limit
	rows    map[Key]*account
	// homes are the failure domains that keep rows whole, lenders what is lent to each.
	homes   map[Key]gypsumhoist.FailureDomain
	lenders map[gypsumhoist.FailureDomain]*lender
	// since is when nodes began to report here without a break, known the time at which each row came.
	since, heardAt time.Time
	known          map[Key]time.Time
	// vainUntil is until when other domains are taken to have nothing to give.
	vainUntil time.Time
}

// account is the domain's bucket of one row. Level and what the holders have never exceed the domain's burst together,
// but for tokens that came from other domains.
type account struct {
	level   float64
	guests  float64 // tokens of other domains, which are given out first
	at      time.Time
	holders map[gypsumhoist.Instance]*holder
	short   int64 // tokens that requests lacked since the domain last asked others
}

// holder is what a node last reported and what it was given.
type holder struct {
	holds, demand int64
	at            time.Time
}

// NewKeeper returns a keeper of a domain that has heard of nobody.
func NewKeeper(self gypsumhoist.FailureDomain) *Keeper {
	return &Keeper{
		self: self, members: map[gypsumhoist.Instance]time.Time{}, domains: 1,
		limits: map[Key]Limit{}, rows: map[Key]*account{}, known: map[Key]time.Time{},
		lenders: map[gypsumhoist.FailureDomain]*lender{},
	}
}

// SetMembers takes the nodes of the domain, those out of reach too, and the number of failure domains of the fleet.
// Each domain owns an equal part of every row: it knows its own nodes, but only some of those of other domains.
func (kp *Keeper) SetMembers(members []gypsumhoist.Instance, domains int) {
	next := make(map[gypsumhoist.Instance]time.Time, len(members))
	for _, in := range members {
		next[in] = kp.members[in]
	}
	kp.members, kp.domains = next, max(domains, 1)
	kp.clip()
}

// clip drops what buckets hold beyond the domain's part.
func (kp *Keeper) clip() {
	for ky, ac := range kp.rows {
		ac.level = min(ac.level, kp.most(ky))
	}
}

// SetLimits takes the limits of all rows. Rows that are missing are forgotten; what a lower limit does not allow is dropped.
func (kp *Keeper) SetLimits(now time.Time, limits map[Key]Limit) {
	mt := kp.at(now)
	for _, ac := range kp.accounts() {
		kp.fill(mt, ac.key, ac.account)
	}
	kp.limits = limits
	for ky := range limits {
		if kp.known[ky].IsZero() {
			kp.known[ky] = now
		}
	}
	maps.DeleteFunc(kp.known, func(ky Key, _ time.Time) bool { _, known := limits[ky]; return !known })
	maps.DeleteFunc(kp.rows, func(ky Key, _ *account) bool { _, known := limits[ky]; return !known })
	kp.clip()
}

// Report takes in what a node reports of all rows of which it holds or wants anything, and returns what it is given.
func (kp *Keeper) Report(now time.Time, node gypsumhoist.Instance, lines []Line) []Grant {
	kp.members[node] = now
	if now.Sub(kp.heardAt) > touchHold {
		kp.since = now
	}
	kp.heardAt = now
	mt := kp.at(now)
	var out []Grant
	for _, ln := range lines {
		if _, known := kp.limits[ln.Key]; known {
			out = append(out, kp.grant(mt, node, ln))
		}
	}
	return out
}

func (kp *Keeper) grant(mt moment, node gypsumhoist.Instance, ln Line) Grant {
	ac := kp.account(mt.now, ln.Key)
	delete(ac.holders, node)
	kp.fill(mt, ln.Key, ac)
	ac.level = min(ac.level+float64(ln.Returned), max(kp.most(ln.Key)-ac.out(mt.now), ac.level))
	wanted := ln.Waiting + max(room(ln.Demand)-ln.Holds, 0)
	amount := min(wanted, int64(ac.level+ac.guests))
	ac.take(float64(amount))
	ac.short += max(ln.Waiting-amount, 0)
	ac.holders[node] = &holder{holds: ln.Holds + amount, demand: ln.Demand, at: mt.now}
	return Grant{Key: ln.Key, Amount: amount, Dry: amount < wanted && (kp.domains == 1 || mt.now.Before(kp.vainUntil))}
}

// take moves tokens out of a bucket that holds them.
func (ac *account) take(amount float64) {
	guests := min(ac.guests, amount)
	ac.guests -= guests
	ac.level -= amount - guests
}

// account returns the bucket of a row. A new one has filled since the row came and nodes began to report here;
// before that another keeper may have spent all.
func (kp *Keeper) account(now time.Time, ky Key) *account {
	ac := kp.rows[ky]
	if ac == nil {
		at := kp.since
		if kp.known[ky].After(at) {
			at = kp.known[ky]
		}
		if kp.since.IsZero() {
			at = now
		}
		ac = &account{at: at, holders: map[gypsumhoist.Instance]*holder{}}
		kp.rows[ky] = ac
	}
	return ac
}

// fill lets a bucket grow by what the domain's part of the rate has brought.
func (kp *Keeper) fill(mt moment, ky Key, ac *account) {
	passed := mt.now.Sub(ac.at).Seconds()
	ac.at = mt.now
	if kp.lent(mt.now, ky) {
		ac.level, ac.guests, ac.short = 0, 0, 0
		return
	}
	if passed <= 0 {
		return
	}
	room := kp.most(ky) - ac.out(mt.now) - ac.level
	ac.level += max(min(kp.rate(mt, ky)*passed, room), 0)
}

// moment is a time with what holds for all rows then.
type moment struct {
	now time.Time
	// part is the part of every rate at which the domain's buckets fill: that of the nodes that it hears.
	part float64
}

func (kp *Keeper) at(now time.Time) moment {
	heard := 0
	for _, at := range kp.members {
		if !at.IsZero() && now.Sub(at) < touchHold {
			heard++
		}
	}
	return moment{now: now, part: float64(heard) / float64(max(len(kp.members), 1)*kp.domains)}
}

// Part returns the part of every row that the domain may use now: that of the nodes that it hears.
func (kp *Keeper) Part(now time.Time) float64 { return kp.at(now).part }

// rate returns the rate at which the domain's bucket fills.
func (kp *Keeper) rate(mt moment, ky Key) float64 { return kp.limits[ky].Rate * mt.part }

// most returns the domain's part of a burst, one token at least.
func (kp *Keeper) most(ky Key) float64 { return max(kp.limits[ky].Burst/float64(kp.domains), 1) }

// out returns how many tokens are with nodes.
func (ac *account) out(now time.Time) float64 {
	var sum int64
	for in, hd := range ac.holders {
		if now.Sub(hd.at) > holdsLife {
			delete(ac.holders, in)
			continue
		}
		sum += hd.holds
	}
	return float64(sum)
}

// demand returns the requests of the last second, of all nodes.
func (ac *account) demand() int64 {
	var sum int64
	for _, hd := range ac.holders {
		sum += hd.demand
	}
	return sum
}

// Short reports whether requests lacked tokens since the domain last asked others for some.
func (kp *Keeper) Short() bool {
	for _, ac := range kp.rows {
		if ac.short > 0 {
			return true
		}
	}
	return false
}

// Lacking returns, in order of the rows' names, how many tokens the domain lacks: those that requests wait for, and what its
// demand of a while exceeds its part of the rate.
func (kp *Keeper) Lacking(now time.Time) []Grant {
	mt := kp.at(now)
	var out []Grant
	for _, na := range kp.accounts() {
		kp.fill(mt, na.key, na.account)
		beyond := (float64(na.demand()) - kp.rate(mt, na.key)) * lackSpan.Seconds()
		lacks := na.short + int64(max(beyond-na.level-na.guests, 0))
		na.short = 0
		if lacks > 0 {
			out = append(out, Grant{Key: na.key, Amount: lacks})
		}
	}
	return out
}

// namedAccount is a bucket with the name of its row.
type namedAccount struct {
	*account
	key Key
}

// accounts returns all buckets in order of the rows' names.
func (kp *Keeper) accounts() []namedAccount {
	out := make([]namedAccount, 0, len(kp.rows))
	for ky, ac := range kp.rows {
		out = append(out, namedAccount{ac, ky})
	}
	slices.SortFunc(out, func(na, nb namedAccount) int { return compareKeys(na.key, nb.key) })
	return out
}

// Give returns the tokens that this domain gives another one; they are gone here at once.
func (kp *Keeper) Give(now time.Time, lacking []Grant) []Grant {
	mt := kp.at(now)
	var out []Grant
	for _, la := range lacking {
		if _, known := kp.limits[la.Key]; !known {
			continue
		}
		ac := kp.account(now, la.Key)
		kp.fill(mt, la.Key, ac)
		spare := ac.level + ac.guests - float64(ac.demand())*ownSpan.Seconds()
		amount := max(min(la.Amount, int64(spare)), 0)
		ac.take(float64(amount))
		out = append(out, Grant{Key: la.Key, Amount: amount, Dry: amount < la.Amount})
	}
	return out
}

// Vain notes that other domains had nothing to give.
func (kp *Keeper) Vain(until time.Time) { kp.vainUntil = until }

// Receive takes in tokens of another domain.
func (kp *Keeper) Receive(now time.Time, given []Grant) {
	mt := kp.at(now)
	for _, gr := range given {
		if _, known := kp.limits[gr.Key]; known {
			ac := kp.account(now, gr.Key)
			kp.fill(mt, gr.Key, ac)
			ac.guests = min(ac.guests+float64(gr.Amount), kp.limits[gr.Key].Burst)
		}
	}
}

func compareKeys(ka, kb Key) int {
	return cmp.Or(cmp.Compare(ka.Workspace, kb.Workspace), cmp.Compare(ka.Route, kb.Route))
}
