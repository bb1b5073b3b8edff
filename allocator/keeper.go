package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Lives of leases. Who gave one counts it for longer than who holds it may use it.
const (
	leaseLife = 2 * time.Second
	leaseHold = leaseLife + 500*time.Millisecond
	// touchHold is how long a keeper takes a silent node to keep to its leases; it falls back to its
	// equal part once its last question is leaseLife old.
	touchHold = leaseLife - 100*time.Millisecond
	// loanLife and loanHold are the same between domains.
	loanLife = 800 * time.Millisecond
	loanHold = loanLife + 200*time.Millisecond
)

// roomSpan is the time of whose demand a node is given room beyond what it has used.
const roomSpan = 300 * time.Millisecond

// A domain borrows for so many times its demand and some requests more.
const (
	lackMargin = 1.1
	lackMore   = 2
)

// Key names a row.
type Key struct {
	Workspace gypsumhoist.Workspace
	Route     string
}

// Line is what one node reports of a row, in requests: started and asked for in the last window, the allowance held,
// and how many wait for one.
type Line struct {
	Key                          Key
	Used, Demand, Holds, Waiting int64
}

// Allowance is how many requests of a row may be started in a window.
type Allowance struct {
	Key    Key
	Amount int64
	// Dry tells a node that the domain has nothing left beyond the amount.
	Dry bool
}

// Keeper shares a failure domain's part of all limits among its nodes. It is pure and not safe for concurrent use.
// The zero value is not usable; call NewKeeper.
type Keeper struct {
	self    gypsumhoist.FailureDomain
	span    time.Duration
	started time.Time
	members map[gypsumhoist.Instance]time.Time // of the domain, to when they were last heard
	fleet   int64                              // nodes of all domains
	limits  map[Key]int64
	rows    map[Key]*account
}

// account is what a keeper knows of one row.
type account struct {
	holders  map[gypsumhoist.Instance]*holder
	lent     map[gypsumhoist.FailureDomain]lease
	borrowed map[gypsumhoist.FailureDomain]lease
	short    bool // a request found no room since the domain last borrowed
}

// holder is what a node last reported and what it was given.
type holder struct {
	used, demand int64
	waiting      int64
	counted      int64 // the most that it may hold
	at           time.Time
}

// lease is an amount that counts until a time.
type lease struct {
	amount int64
	until  time.Time
}

// NewKeeper returns a keeper of a domain that has heard of nobody. In its first window it gives out only the part of each
// limit that the time since its start brings: if all processes began anew, nobody knows what was started before.
func NewKeeper(self gypsumhoist.FailureDomain, span time.Duration, started time.Time) *Keeper {
	return &Keeper{
		self: self, span: span, started: started, members: map[gypsumhoist.Instance]time.Time{},
		limits: map[Key]int64{}, rows: map[Key]*account{},
	}
}

// SetMembers takes the nodes of the domain, those out of reach too, and the number of all nodes of the fleet.
func (kp *Keeper) SetMembers(members []gypsumhoist.Instance, fleet int) {
	next := make(map[gypsumhoist.Instance]time.Time, len(members))
	for _, in := range members {
		next[in] = kp.members[in]
	}
	kp.members, kp.fleet = next, int64(max(fleet, len(members), 1))
}

// SetLimits takes how many requests of each row the fleet may start in a window. Rows that are missing are forgotten.
func (kp *Keeper) SetLimits(limits map[Key]int64) {
	kp.limits = limits
	maps.DeleteFunc(kp.rows, func(ky Key, _ *account) bool { _, known := limits[ky]; return !known })
}

// Report takes in what a node reports of all rows that it uses, and returns what it may hold of them from now on.
func (kp *Keeper) Report(now time.Time, node gypsumhoist.Instance, lines []Line) []Allowance {
	if _, known := kp.members[node]; !known {
		kp.fleet++
	}
	kp.members[node] = now
	kp.quiet(node)
	for _, ln := range lines {
		if _, known := kp.limits[ln.Key]; known {
			kp.account(ln.Key).holders[node] = &holder{used: ln.Used, demand: ln.Demand, waiting: ln.Waiting, counted: ln.Holds, at: now}
		}
	}
	var out []Allowance
	for _, ln := range lines {
		limit, known := kp.limits[ln.Key]
		if !known {
			continue
		}
		aw := kp.allow(now, ln.Key, limit, node)
		hd := kp.rows[ln.Key].holders[node]
		hd.counted = max(hd.counted, aw.Amount)
		out = append(out, aw)
	}
	return out
}

// quiet notes that a node uses none of the rows that its next report does not name; a lease that it may hold still counts.
func (kp *Keeper) quiet(node gypsumhoist.Instance) {
	for _, ac := range kp.rows {
		if hd := ac.holders[node]; hd != nil {
			hd.used, hd.demand, hd.waiting = 0, 0, 0
		}
	}
}

func (kp *Keeper) account(ky Key) *account {
	ac := kp.rows[ky]
	if ac == nil {
		ac = &account{
			holders: map[gypsumhoist.Instance]*holder{}, lent: map[gypsumhoist.FailureDomain]lease{},
			borrowed: map[gypsumhoist.FailureDomain]lease{},
		}
		kp.rows[ky] = ac
	}
	return ac
}

// allow returns the allowance of one node: what it has used in the window and room for its demand of a while,
// as far as the others leave room.
func (kp *Keeper) allow(now time.Time, ky Key, limit int64, node gypsumhoist.Instance) Allowance {
	ac := kp.rows[ky]
	kp.expire(now, ac)
	var counted int64
	for in := range kp.members {
		if in != node {
			counted += kp.counted(now, ac, limit, in)
		}
	}
	own := ac.holders[node]
	wanted := own.used + own.waiting + own.demand*int64(roomSpan)/int64(kp.span)
	left := max(kp.share(now, ac, limit)-counted, 0)
	ac.short = ac.short || left < own.used+own.waiting
	return Allowance{Key: ky, Amount: min(wanted, left), Dry: left <= own.used}
}

// share returns what the domain may use of a limit: its part by nodes, less what it lent, with what it borrowed.
func (kp *Keeper) share(now time.Time, ac *account, limit int64) int64 {
	share := limit * int64(len(kp.members)) / kp.fleet
	if age := now.Sub(kp.started); age < kp.span {
		share = share * int64(age) / int64(kp.span)
	}
	for _, ls := range ac.lent {
		if now.Before(ls.until) {
			share -= ls.amount
		}
	}
	for _, ls := range ac.borrowed {
		if now.Before(ls.until) {
			share += ls.amount
		}
	}
	return max(share, 0)
}

// counted returns what a node may use of a row at most.
func (kp *Keeper) counted(now time.Time, ac *account, limit int64, in gypsumhoist.Instance) int64 {
	least := idle(limit, kp.fleet)
	if !kp.heard(now, in) {
		least = standby(limit, kp.fleet)
	}
	hd := ac.holders[in]
	if hd == nil {
		return least
	}
	return max(hd.counted, hd.used, least)
}

func (kp *Keeper) heard(now time.Time, in gypsumhoist.Instance) bool {
	at := kp.members[in]
	return !at.IsZero() && now.Sub(at) < touchHold
}

// expire forgets holders whose leases and requests have passed.
func (kp *Keeper) expire(now time.Time, ac *account) {
	maps.DeleteFunc(ac.holders, func(_ gypsumhoist.Instance, hd *holder) bool {
		return now.Sub(hd.at) > kp.span+leaseHold
	})
	for _, hd := range ac.holders {
		if now.Sub(hd.at) > leaseHold {
			hd.counted = 0
		}
	}
}

// Lacking returns, in order of the rows' names, what the domain's own part lacks for its demand.
func (kp *Keeper) Lacking(now time.Time) []Allowance {
	var out []Allowance
	for ky, ac := range kp.rows {
		limit := kp.limits[ky]
		ac.short = false
		own := limit * int64(len(kp.members)) / kp.fleet
		if lacks := int64(float64(kp.demand(now, ac))*lackMargin) + lackMore - own; lacks > 0 {
			out = append(out, Allowance{Key: ky, Amount: min(lacks, limit-own)})
		}
	}
	slices.SortFunc(out, func(aa, ab Allowance) int { return compareKeys(aa.Key, ab.Key) })
	return out
}

func (kp *Keeper) demand(now time.Time, ac *account) int64 {
	kp.expire(now, ac)
	var sum int64
	for _, hd := range ac.holders {
		sum += hd.demand
	}
	return sum
}

// Short reports whether a request found no room since the domain last borrowed.
func (kp *Keeper) Short() bool {
	for _, ac := range kp.rows {
		if ac.short {
			return true
		}
	}
	return false
}

// lendPart of lendOf is what a domain lends at most of what nobody there may use.
const (
	lendPart = 3
	lendOf   = 4
)

// Lend returns what this domain lends another one of what nobody here may use now.
// A new question replaces what the domain had borrowed before.
func (kp *Keeper) Lend(now time.Time, to gypsumhoist.FailureDomain, lacking []Allowance) []Allowance {
	var out []Allowance
	for _, al := range lacking {
		limit, known := kp.limits[al.Key]
		if !known || to == kp.self {
			continue
		}
		ac := kp.account(al.Key)
		before := ac.lent[to]
		delete(ac.lent, to)
		spare := kp.spare(now, ac, limit)
		amount := max(min(al.Amount, (lendPart*spare+lendOf-1)/lendOf), 0)
		kept := amount
		if now.Before(before.until) {
			kept = max(kept, before.amount)
		}
		ac.lent[to] = lease{amount: kept, until: now.Add(loanHold)}
		out = append(out, Allowance{Key: al.Key, Amount: amount})
	}
	return out
}

// spare returns what of the domain's own part nobody here may use now.
func (kp *Keeper) spare(now time.Time, ac *account, limit int64) int64 {
	var held int64
	for in := range kp.members {
		held += kp.counted(now, ac, limit, in)
	}
	own := limit * int64(len(kp.members)) / kp.fleet
	for _, ls := range ac.lent {
		if now.Before(ls.until) {
			own -= ls.amount
		}
	}
	return own - held
}

// Borrowed takes in what another domain lends, counted from when it was asked.
func (kp *Keeper) Borrowed(asked time.Time, from gypsumhoist.FailureDomain, lent []Allowance) {
	for _, al := range lent {
		if _, known := kp.limits[al.Key]; known {
			kp.account(al.Key).borrowed[from] = lease{amount: al.Amount, until: asked.Add(loanLife)}
		}
	}
}
