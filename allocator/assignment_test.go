package allocator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Guards against a share that two holders count at the same time, however late or often messages arrive, whichever answers are lost.
func TestShareHasOneHolder(t *testing.T) {
	const seeds = 60
	releases := 0
	for seed := range uint64(seeds) {
		releases += checkOneHolder(t, seed)
	}
	if releases < seeds {
		t.Fatalf("%d releases were confirmed in %d schedules", releases, seeds)
	}
}

// delivery is a message on its way to a holder, or back.
type delivery struct {
	at     time.Time
	holder int
	answer bool
	stamp  Stamp
	// release is set for one, and for its answer.
	release *release
	sent    time.Time
}

// checkOneHolder lets a sender move its share between three holders at random. It returns how many releases were confirmed.
func checkOneHolder(t *testing.T, seed uint64) int {
	rnd := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(0, 0)
	as := &assignment{hold: shareHold, legacyHold: legacyShareHold, maxAge: shareHold}
	var clocks [3]stampClock
	var until [3]time.Time
	var way []delivery
	var waiting time.Time // when the message was sent whose answer is due
	counted, to, releases := 0, 0, 0
	delay := func() time.Duration {
		if rnd.IntN(4) == 0 {
			return time.Duration(rnd.IntN(4000)) * time.Millisecond
		}
		return time.Duration(rnd.IntN(100)) * time.Millisecond
	}
	for now := start; now.Before(start.Add(2 * time.Minute)); now = now.Add(10 * time.Millisecond) {
		kept := way[:0:0]
		for _, dl := range way {
			switch {
			case now.Before(dl.at):
				kept = append(kept, dl)
			case dl.answer && now.Sub(dl.sent) > reportTimeout:
			case dl.answer && dl.release != nil:
				releases++
				as.released(now, *dl.release)
			case dl.answer:
				waiting = time.Time{}
				as.answered(now, name(dl.holder), dl.stamp)
			case dl.release != nil:
				until[dl.holder] = time.Time{}
				kept = append(kept, delivery{now.Add(delay()), dl.holder, true, 0, dl.release, dl.sent})
			default:
				end := sentShare{known: true, stamp: dl.stamp}.until(now, &clocks[dl.holder], shareHold, legacyShareHold)
				if dl.stamp == 0 || end.After(until[dl.holder]) {
					until[dl.holder] = end
				}
				if rnd.IntN(5) > 0 {
					kept = append(kept, delivery{now.Add(delay()), dl.holder, true, clocks[dl.holder].issue(now), nil, dl.sent})
				}
			}
		}
		way = kept
		if !waiting.IsZero() && now.Sub(waiting) > reportTimeout {
			as.failed(name(to))
			waiting = time.Time{}
		}
		if waiting.IsZero() && rnd.IntN(100) == 0 {
			to = rnd.IntN(3)
		}
		if waiting.IsZero() && rnd.IntN(15) == 0 {
			stamp, _ := as.assign(now, name(to))
			way = append(way, delivery{now.Add(delay()), to, false, stamp, nil, now})
			waiting = now
		}
		if rl, ok := as.beginRelease(now, name(to)); ok && waiting.IsZero() && rnd.IntN(5) == 0 {
			way = append(way, delivery{now.Add(delay()), holderOf(rl), false, 0, &rl, now})
		}
		holders := 0
		for _, end := range until {
			if now.Before(end) {
				holders++
			}
		}
		if counted += holders; holders > 1 {
			t.Fatalf("seed %d: %d holders after %v", seed, holders, now.Sub(start))
		}
	}
	if counted == 0 {
		t.Fatalf("seed %d: nobody ever counted the share", seed)
	}
	return releases
}

func holderOf(rl release) int { return int(rl.holder[1] - '0') }

func name(holder int) gypsumhoist.Instance { return gypsumhoist.Instance(fmt.Sprint("k", holder)) }

func TestStampOfAnotherProcessIsNotRecognised(t *testing.T) {
	now := time.Unix(0, 0)
	var before, after stampClock
	st := before.issue(now)
	after.issue(now.Add(time.Second))
	if at, ok := after.issuedAt(now.Add(time.Hour), st); ok {
		t.Fatalf("a stamp of another process counts as one of %v", at)
	}
	if at, ok := before.issuedAt(now.Add(time.Hour), st); !ok || !at.Equal(now) {
		t.Fatalf("the own stamp counts as one of %v, %v", at, ok)
	}
}

// Guards against a late confirmation of a release that ends the count of a share which the holder has been sent again.
func TestReleaseEndsNoLaterMessage(t *testing.T) {
	now := time.Unix(0, 0)
	as := &assignment{hold: shareHold, legacyHold: legacyShareHold, maxAge: shareHold}
	as.answered(now, "k0", 1)
	as.assign(now, "k0")
	rl, ok := as.beginRelease(now, "k1")
	if !ok {
		t.Fatal("a holder that counts the share can't be asked to release it")
	}
	as.assign(now.Add(time.Millisecond), "k0")
	as.released(now.Add(2*time.Millisecond), rl)
	if !as.assigned(now.Add(3 * time.Millisecond)) {
		t.Fatal("the share is free although its holder has been sent it again")
	}
}
