package quarantiner

import (
	"slices"
	"time"
)

// Bounds of suspicion and of requests in flight.
const (
	quarantineTTL = 10 * time.Minute // how long a death counts
	brokenTTL     = 10 * time.Second // how long after its connection broke a request is still counted in a death
	brokenMax     = 1024             // requests whose connections broke
	clearAfter    = 5 * time.Second  // a request that has run for this long is taken to be harmless
	suspectsMax   = 256              // suspects of one death
)

// FlightID identifies a request in flight.
type FlightID uint64

// End says how a request in flight ended.
type End uint8

// Values of End.
const (
	// EndNeutral proves nothing: the caller or the deadline ended the request, or it was never sent.
	EndNeutral End = iota
	// EndCompleted means that the upstream sent a complete response.
	EndCompleted
	// EndConnectionBroken means that the connection to the upstream broke. Whether the upstream died is not known yet.
	EndConnectionBroken
)

// Status is what a node knows about a request before it runs.
type Status uint8

// Values of Status.
const (
	StatusClear       Status = iota // not known as a suspect
	StatusSuspect                   // it was in flight at one death
	StatusQuarantined               // it was in flight at two deaths
)

// flight is one request at the upstream.
type flight struct {
	fingerprint *Fingerprint
	startedAt   time.Duration
	matched     []*record // records that it matched when it began
	permit      Permit
	brokenAt    time.Duration // when its connection broke; zero if it has not
}

// Permit allows a node to run one suspect. The zero value is no permit.
type Permit struct {
	Head    Head
	Number  uint64
	Arbiter Member
}

// Effect is an action that a Core requests from its owner: Publish, Release or Report.
type Effect interface{ effect() }

// Publish sends a notice to the whole fleet.
type Publish struct{ Notice Notice }

// Release returns a permit to its arbiter.
type Release struct{ Permit Permit }

// Report tells operators that a suspect is quarantined or no longer suspected.
type Report struct {
	ID      SuspectID
	Request RequestInfo
	Status  Status
}

func (Publish) effect() {}
func (Report) effect()  {}
func (Release) effect() {}

// Core is the state of one node's quarantine, without clock, goroutines or network.
// It is not safe for concurrent use. The zero value is not usable; call NewCore.
type Core struct {
	self        Process
	records     records
	completions completions
	members     members
	permits     permits
	flights     map[FlightID]*flight
	broken      []FlightID // in the order in which their connections broke
	lastID      FlightID
	suspectSlot suspectSlot
	effects     []Effect
}

// suspectSlot limits the node to one suspect in flight.
type suspectSlot struct {
	taken  bool
	flight FlightID // zero while the permit is requested
}

// NewCore returns the state of a node that knows no suspects and starts at the given time.
func NewCore(self Process, now time.Duration) *Core {
	ms := newMembers()
	ms.arbiterFrom = now + settlingTime
	return &Core{
		self:        self,
		records:     newRecords(),
		completions: newCompletions(),
		members:     ms,
		permits:     permits{byHead: map[Head]permit{}},
		flights:     map[FlightID]*flight{},
	}
}

// Effects returns the effects that have accumulated since the last call.
func (co *Core) Effects() []Effect {
	out := co.effects
	co.effects = nil
	return out
}

// Begin adds a request to those in flight. A suspect must hold the node's suspect slot and a permit.
func (co *Core) Begin(now time.Duration, fp *Fingerprint, prefix []byte, pm Permit) FlightID {
	co.lastID++
	fl := &flight{fingerprint: fp, startedAt: now, permit: pm}
	if pm.Number != 0 {
		fl.matched = co.matching(now, fp.head, prefix)
		co.suspectSlot.flight = co.lastID
	}
	co.flights[co.lastID] = fl
	return co.lastID
}

// End removes a request from those in flight. One whose connection broke is kept for brokenTTL,
// as the upstream may turn out to have died.
func (co *Core) End(now time.Duration, id FlightID, end End) {
	co.expireBroken(now)
	fl, ok := co.flights[id]
	if !ok || fl.brokenAt != 0 {
		return
	}
	switch end {
	case EndConnectionBroken:
		fl.brokenAt = now
		co.broken = append(co.broken, id)
		if len(co.broken) > brokenMax {
			co.removeFlight(co.broken[0])
			co.broken = co.broken[1:]
		}
		return
	case EndCompleted:
		co.liftCompleted(now, fl)
	case EndNeutral:
	}
	co.removeFlight(id)
}

// removeFlight removes a request from those in flight and releases its permit and its suspect slot, if any.
func (co *Core) removeFlight(id FlightID) {
	fl, ok := co.flights[id]
	if !ok {
		return
	}
	delete(co.flights, id)
	if fl.permit.Number != 0 {
		co.effects = append(co.effects, Release{Permit: fl.permit})
	}
	if co.suspectSlot.flight == id {
		co.FreeSuspectSlot()
	}
}

// liftCompleted clears the suspects that a completed request matches. Quarantined ones stay.
func (co *Core) liftCompleted(now time.Duration, fl *flight) {
	key := fl.key()
	co.completions.add(now, key)
	cleared := fl.matched
	for _, rec := range co.records.byHead[fl.fingerprint.head] {
		if rec.key() == key && !slices.Contains(cleared, rec) {
			cleared = append(cleared, rec)
		}
	}
	for _, rec := range cleared {
		if len(rec.deaths) > 0 && !rec.quarantined() {
			co.lift(now, rec, CauseCompleted)
		}
	}
}

// Tick drops expired broken flights, and clears the suspect in flight here once it has run for clearAfter.
func (co *Core) Tick(now time.Duration) {
	co.expireBroken(now)
	fl, ok := co.flights[co.suspectSlot.flight]
	if !ok || fl.brokenAt != 0 || now-fl.startedAt < clearAfter {
		return
	}
	co.liftCompleted(now, fl)
	co.effects = append(co.effects, Release{Permit: fl.permit})
	fl.permit = Permit{}
	co.FreeSuspectSlot()
}

// hasLongRunningMatch reports whether a request that matches a suspect has been in flight here for clearAfter.
func (co *Core) hasLongRunningMatch(now time.Duration, rec *record) bool {
	for _, fl := range co.flights {
		if fl.fingerprint.head == rec.head && fl.brokenAt == 0 && now-fl.startedAt >= clearAfter && fl.key() == rec.key() {
			return true
		}
	}
	return false
}

func (co *Core) lift(now time.Duration, rec *record, cause Cause) {
	rec.lift(rec.epoch + 1)
	rec.until = now + quarantineTTL
	co.report(rec, StatusClear)
	co.effects = append(co.effects, Publish{Lift{
		Head: rec.head, Prefix: rec.prefix, Sum: rec.sum, Epoch: rec.epoch, Cause: cause,
	}})
}

func (co *Core) report(rec *record, st Status) {
	co.effects = append(co.effects, Report{ID: rec.id, Request: rec.request, Status: st})
}

// Merge merges a notice of another node. The result doesn't depend on the order of notices.
// ttl is how long the notice still counts.
func (co *Core) Merge(now time.Duration, nt Notice, ttl time.Duration) {
	switch nt := nt.(type) {
	case Death:
		co.mergeDeath(now, nt, ttl)
	case Lift:
		rec := co.records.get(now, record{head: nt.Head, prefix: nt.Prefix, sum: nt.Sum})
		suspected := len(rec.deaths) > 0
		if !rec.lift(nt.Epoch) {
			return
		}
		rec.until = now + ttl
		if suspected {
			co.report(rec, StatusClear)
		}
	}
}

func (co *Core) mergeDeath(now time.Duration, dt Death, ttl time.Duration) {
	ttl = min(ttl, quarantineTTL)
	if ttl <= 0 {
		return
	}
	for _, su := range dt.Suspects {
		rec := co.records.get(now, record{head: su.Head, prefix: su.Prefix, sum: su.Sum, request: su.Request})
		if rec.request == (RequestInfo{}) {
			rec.request = su.Request
		}
		wasQuarantined := rec.quarantined()
		if !rec.addDeath(su.Epoch, dt.Process) {
			continue
		}
		rec.until = max(rec.until, now+ttl)
		if rec.quarantined() && !wasQuarantined {
			co.report(rec, StatusQuarantined)
		}
		if !rec.quarantined() && (co.completions.has(now, rec.key()) || co.hasLongRunningMatch(now, rec)) {
			co.lift(now, rec, CauseCompleted)
		}
	}
}

// Lift ends the suspicion or quarantine of a suspect on behalf of an operator.
// It returns false if the suspect is not known or has no deaths.
func (co *Core) Lift(now time.Duration, id SuspectID) bool {
	rec, ok := co.records.byID[id]
	if !ok || len(rec.deaths) == 0 {
		return false
	}
	co.lift(now, rec, CauseOperator)
	return true
}
