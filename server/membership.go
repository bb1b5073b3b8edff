package server

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// promoteAfter is how long a newcomer has a seat without a vote while another member of its failure domain votes: that one may be what it
// replaces, and gossip needs some 3 s to find that a member is lost.
const promoteAfter = 4 * time.Second

// seatStep is what a leader does for a member that introduces itself.
type seatStep uint8

const (
	seatNone    seatStep = iota
	seatAdd              // a seat without a vote
	seatPromote          // a vote
	seatReplace          // the seat of another member
)

// seating is what a leader knows when a member without a vote introduces itself.
type seating struct {
	seats  replicator.Seats
	member replicator.Member
	// find returns what gossip knows of an instance; one that it does not show, but that the table lists, has left.
	find func(gypsumhoist.Instance) (gossiper.Member, bool)
	// waited is how long ago the member introduced itself first.
	waited time.Duration
}

// next returns what to do, and for seatReplace whose seat it is. A member takes the seat of its own earlier identity, as its disk
// was lost, or that of a lost one of its failure domain; else it gets one more.
func (sg seating) next() (seatStep, replicator.Member) {
	se, seated := sg.seats.Find(sg.member.ID())
	if old, ok := oldSeat(sg.seats, sg.member); ok {
		return seatReplace, old
	}
	if seated && se.Voter {
		return seatNone, replicator.Member{}
	}
	if old, ok := sg.neighbour(func(_ replicator.Seat, mb gossiper.Member) bool { return sg.gone(mb.Status) }); ok {
		return seatReplace, old
	}
	_, neighbour := sg.neighbour(func(se replicator.Seat, _ gossiper.Member) bool { return se.Voter })
	switch {
	case !seated && sg.seats.Voters() < controlMost:
		return seatAdd, replicator.Member{}
	case seated && (!neighbour || sg.waited >= promoteAfter):
		return seatPromote, replicator.Member{}
	default:
		return seatNone, replicator.Member{}
	}
}

// gone reports whether a member of that status is not to come back. One that said farewell may be restarted, and a leader that has just
// started has not heard of all: both show within the time that a newcomer waits.
func (sg seating) gone(st gossiper.Status) bool {
	return st == gossiper.StatusUnreachable || st == gossiper.StatusLeft && sg.waited >= promoteAfter
}

// neighbour returns another member of the failure domain that fits.
func (sg seating) neighbour(fits func(replicator.Seat, gossiper.Member) bool) (replicator.Member, bool) {
	own, known := sg.find(sg.member.Instance)
	if !known {
		return replicator.Member{}, false
	}
	for _, se := range sg.seats {
		mb, seen := sg.find(se.Member.Instance)
		if seen && se.Member.ID() != sg.member.ID() && mb.Domain == own.Domain && fits(se, mb) {
			return se.Member, true
		}
	}
	return replicator.Member{}, false
}

// oldSeat returns the seat of an earlier identity of a member's instance.
func oldSeat(sts replicator.Seats, mb replicator.Member) (replicator.Member, bool) {
	for _, se := range sts {
		if se.Member.Instance == mb.Instance && se.Member.Boot != mb.Boot {
			return se.Member, true
		}
	}
	return replicator.Member{}, false
}

// introductions remembers when members without a vote introduced themselves first.
type introductions map[replicator.MemberID]time.Time

// introductionsMost bounds them; beyond it all begin anew.
const introductionsMost = 64

// waited notes an introduction and returns how long ago the first one was.
func (in introductions) waited(mb replicator.Member, now time.Time) time.Duration {
	first, known := in[mb.ID()]
	if !known {
		if len(in) >= introductionsMost {
			clear(in)
		}
		in[mb.ID()], first = now, now
	}
	return now.Sub(first)
}

// farewellFor is how long a control instance must have been gone after its farewell until its seat is taken away: a restart takes less.
const farewellFor = 6 * time.Second

// farewells remembers since when members with a seat have been gone after a farewell.
type farewells map[replicator.MemberID]time.Time

// over returns a member whose seat is to be taken away: one that has been gone for long enough, and for which another one of its failure
// domain votes, as after a planned replacement.
func (fw farewells) over(
	sts replicator.Seats, find func(gypsumhoist.Instance) (gossiper.Member, bool), now time.Time,
) (replicator.Member, bool) {
	for _, se := range sts {
		mb, known := find(se.Member.Instance)
		if !known || mb.Status != gossiper.StatusLeft {
			delete(fw, se.Member.ID())
			continue
		}
		if _, noted := fw[se.Member.ID()]; !noted {
			fw[se.Member.ID()] = now
		}
		_, follows := seating{seats: sts, member: se.Member, find: find}.neighbour(func(other replicator.Seat, on gossiper.Member) bool {
			return other.Voter && on.Status == gossiper.StatusAlive
		})
		if follows && now.Sub(fw[se.Member.ID()]) >= farewellFor {
			return se.Member, true
		}
	}
	return replicator.Member{}, false
}
