package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of what is kept about suspects.
const (
	deathsToQuarantine = 2
	deathsMax          = 4 // per suspect; the lowest in sort order are kept, so that merges in any order agree
	recordsMax         = 4096
	recordsPerHead     = 16
)

// Process identifies one process of an instance, that of its node or of its upstream. A restart has another boot id.
type Process struct {
	Instance gypsumhoist.Instance
	Boot     uint64
}

func compareProcesses(pa, pb Process) int {
	return cmp.Or(cmp.Compare(pa.Instance, pb.Instance), cmp.Compare(pa.Boot, pb.Boot))
}

// record is what a node knows about one suspect. Records merge in any order: the higher epoch wins,
// and within one epoch the deaths are merged as a set.
type record struct {
	id      SuspectID
	head    Head
	prefix  int
	sum     Sum
	request RequestInfo
	epoch   uint32
	deaths  []Process // sorted
	until   time.Duration
}

func (rec *record) quarantined() bool { return len(rec.deaths) >= deathsToQuarantine }

// addDeath merges a death of an epoch and reports whether the record changed.
func (rec *record) addDeath(epoch uint32, pc Process) bool {
	if epoch < rec.epoch {
		return false
	}
	if epoch > rec.epoch {
		rec.epoch = epoch
		rec.deaths = nil
	}
	at, known := slices.BinarySearchFunc(rec.deaths, pc, compareProcesses)
	if known || at >= deathsMax {
		return false
	}
	rec.deaths = slices.Insert(rec.deaths, at, pc)
	rec.deaths = rec.deaths[:min(len(rec.deaths), deathsMax)]
	return true
}

// lift merges a lift to an epoch and reports whether the record changed.
func (rec *record) lift(epoch uint32) bool {
	if epoch <= rec.epoch {
		return false
	}
	rec.epoch = epoch
	rec.deaths = nil
	return true
}

// matches reports whether a body that begins with prefix is that of the suspect.
func (rec *record) matches(prefix []byte) bool {
	return len(prefix) >= rec.prefix && sumOf(prefix[:rec.prefix]) == rec.sum
}

// records holds the suspects that a node knows, in bounded number.
type records struct {
	byID   map[SuspectID]*record
	byHead map[Head][]*record
}

func newRecords() records {
	return records{byID: map[SuspectID]*record{}, byHead: map[Head][]*record{}}
}

// get returns the record of the suspect that fresh describes. If there is none, it adds fresh, and removes
// another record if there is no room.
func (rc *records) get(now time.Duration, fresh record) *record {
	fresh.id = suspectID(fresh.head, fresh.prefix, fresh.sum)
	if rec, ok := rc.byID[fresh.id]; ok {
		return rec
	}
	if sameHead := rc.byHead[fresh.head]; len(sameHead) >= recordsPerHead {
		rc.remove(firstToEvict(sameHead))
	}
	if len(rc.byID) >= recordsMax {
		rc.sweep(now)
	}
	if len(rc.byID) >= recordsMax {
		rc.evict()
	}
	rec := &fresh
	rc.byID[rec.id] = rec
	rc.byHead[rec.head] = append(rc.byHead[rec.head], rec)
	return rec
}

// sweep removes expired records.
func (rc *records) sweep(now time.Duration) {
	for _, rec := range rc.byID {
		if now >= rec.until {
			rc.remove(rec)
		}
	}
}

// evict removes the record with the fewest deaths; among equals, the one that expires first.
func (rc *records) evict() {
	var least *record
	for _, rec := range rc.byID {
		if least == nil || compareForEviction(rec, least) < 0 {
			least = rec
		}
	}
	rc.remove(least)
}

func firstToEvict(list []*record) *record { return slices.MinFunc(list, compareForEviction) }

// compareForEviction orders records by number of deaths, then by expiry; the first is evicted first.
func compareForEviction(ra, rb *record) int {
	return cmp.Or(
		cmp.Compare(len(ra.deaths), len(rb.deaths)),
		cmp.Compare(ra.until, rb.until),
		cmp.Compare(ra.id.String(), rb.id.String()),
	)
}

func (rc *records) remove(rec *record) {
	delete(rc.byID, rec.id)
	sameHead := slices.DeleteFunc(rc.byHead[rec.head], func(other *record) bool { return other == rec })
	if len(sameHead) == 0 {
		delete(rc.byHead, rec.head)
		return
	}
	rc.byHead[rec.head] = sameHead
}

// live returns the suspects with a head that have deaths and have not expired.
func (rc *records) live(now time.Duration, head Head) []*record {
	sameHead, ok := rc.byHead[head]
	if !ok {
		return nil
	}
	var out []*record
	for _, rec := range sameHead {
		if len(rec.deaths) > 0 && now < rec.until {
			out = append(out, rec)
		}
	}
	return out
}
