package reporter

import "time"

// Counts are numbers of requests by outcome. The zero value means no requests.
type Counts struct {
	Good uint64 `json:"good"`
	Bad  uint64 `json:"bad"`
	// LeftOut is the number of refusals that say nothing about the fleet's health; see OutcomeLeftOut.
	LeftOut uint64 `json:"left_out"`
}

// Plus returns the sum of two counts.
func (ct Counts) Plus(other Counts) Counts {
	return Counts{Good: ct.Good + other.Good, Bad: ct.Bad + other.Bad, LeftOut: ct.LeftOut + other.LeftOut}
}

// Valid returns the number of requests that count towards the objective.
func (ct Counts) Valid() uint64 { return ct.Good + ct.Bad }

// bucket holds the counts of one step of time, in half the memory of Counts.
type bucket struct{ good, bad, leftOut uint32 }

func (bk *bucket) add(oc Outcome) {
	switch oc {
	case OutcomeGood:
		bk.good++
	case OutcomeBad:
		bk.bad++
	case OutcomeLeftOut:
		bk.leftOut++
	}
}

func (bk bucket) counts() Counts {
	return Counts{Good: uint64(bk.good), Bad: uint64(bk.bad), LeftOut: uint64(bk.leftOut)}
}

// ring is a ring buffer of the buckets of the newest steps. A step is an interval of a fixed width. Steps are numbered from the
// Unix epoch, so that they are the same at all instances.
type ring struct {
	buckets []bucket
	newest  int64 // the newest step that has a bucket
}

// stepOf returns the number of the step that contains a time.
func stepOf(at time.Time, width time.Duration) int64 { return at.UnixNano() / int64(width) }

// add counts one outcome. A step older than all steps of the ring means that the clock was set back, and resets the ring.
func (rg *ring) add(step int64, oc Outcome) {
	size := int64(len(rg.buckets))
	switch {
	case step >= rg.newest+size || step <= rg.newest-size:
		clear(rg.buckets)
		rg.newest = step
	case step > rg.newest:
		for next := rg.newest + 1; next <= step; next++ {
			rg.buckets[next%size] = bucket{}
		}
		rg.newest = step
	}
	rg.buckets[step%size].add(oc)
}

// at returns the counts of one step. They are zero for a step outside the ring.
func (rg *ring) at(step int64) Counts {
	size := int64(len(rg.buckets))
	if step < 0 || step > rg.newest || step <= rg.newest-size {
		return Counts{}
	}
	return rg.buckets[step%size].counts()
}

// sum returns the total counts of the steps from first to last, both included.
func (rg *ring) sum(first, last int64) Counts {
	var ct Counts
	for step := first; step <= last; step++ {
		ct = ct.Plus(rg.at(step))
	}
	return ct
}
