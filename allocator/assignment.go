package allocator

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// assignment tracks which instance, the holder, counts a share: that of a node at a keeper, or that of a domain at a home. There is
// one holder at a time. It counts the share for a fixed time after it issued the stamp that came back with the message, and so stops in
// time however late the message arrives. The next holder gets the share once the last one has stopped or has confirmed a release.
// It reads no clock and is not safe for concurrent use.
type assignment struct {
	// hold is how long a holder counts the share, legacyHold how long one of an older build does, from the arrival of the message.
	hold, legacyHold time.Duration
	// maxAge is how old the stamp of a message may be.
	maxAge time.Duration

	holder gypsumhoist.Instance
	// until is when the holder has stopped to count the share at the latest.
	until time.Time
	// pendingUntil is when messages that got no answer, and may still arrive, don't count any more.
	pendingUntil time.Time
	// messages counts those that carried the share.
	messages uint64

	// stamp is from the last answer, which issuer sent and which arrived at receivedAt. It is zero if issuer is an older build.
	issuer     gypsumhoist.Instance
	stamp      Stamp
	receivedAt time.Time
}

// assign reports whether a message to an instance that is sent now may carry the share, and returns the stamp that it has to carry.
func (as *assignment) assign(now time.Time, to gypsumhoist.Instance) (Stamp, bool) {
	if as.issuer != to || now.Sub(as.receivedAt) > as.maxAge || as.holder != to && now.Before(as.until) {
		return 0, false
	}
	as.holder = to
	as.messages++
	end := as.receivedAt.Add(as.hold)
	if as.stamp == 0 {
		end = now.Add(as.legacyHold)
	}
	if end.After(as.until) {
		as.until = end
	}
	return as.stamp, true
}

// answered records an answer with a stamp, or with none from an older build.
func (as *assignment) answered(now time.Time, from gypsumhoist.Instance, stamp Stamp) {
	as.issuer, as.stamp, as.receivedAt = from, stamp, now
}

// failed records that a message got no answer.
func (as *assignment) failed(to gypsumhoist.Instance) {
	if as.holder == to {
		as.pendingUntil = as.until
	}
}

// release is a request to a holder to count the share no more.
type release struct {
	holder gypsumhoist.Instance
	// messages is the value of the assignment's when the request was sent.
	messages uint64
}

// beginRelease returns a release for the holder, if that is not the given instance, still counts the share, and has no message on its way that
// the release could overtake.
func (as *assignment) beginRelease(now time.Time, next gypsumhoist.Instance) (release, bool) {
	ok := as.holder != next && now.Before(as.until) && !now.Before(as.pendingUntil)
	return release{holder: as.holder, messages: as.messages}, ok
}

// released records that the holder has confirmed a release. That means nothing if it has been sent the share again meanwhile.
func (as *assignment) released(now time.Time, rl release) {
	if as.messages == rl.messages && now.Before(as.until) {
		as.until = now
	}
}

// assigned reports whether an instance may count the share at a time.
func (as *assignment) assigned(now time.Time) bool { return now.Before(as.until) }

// sentShare is the part of a message that says whether the sender's share comes with it.
type sentShare struct {
	// known is false for a sender of an older build, whose share counts from the arrival.
	known bool
	stamp Stamp // zero if the share does not come with the message
}

// until returns until when a share counts that arrives now.
func (sh sentShare) until(now time.Time, sc *stampClock, hold, legacyHold time.Duration) time.Time {
	if !sh.known {
		return now.Add(legacyHold)
	}
	at, ok := sc.issuedAt(now, sh.stamp)
	if sh.stamp == 0 || !ok {
		return time.Time{}
	}
	return at.Add(hold)
}
