package admitter

import (
	"math"
	"time"
)

// Constants of joint refusal.
const (
	jointWindow  = 100 * time.Millisecond // between two moves of the level
	jointFade    = 0.9                    // of the counts of arrivals, with each window
	jointGain    = 1.0                    // arrivals refused for each one that waited in vain
	jointRiseMax = 0.25                   // share of the arrivals that one move refuses
	jointOpen    = 0.02                   // share that is let in again after a window in which none waited in vain
	jointOpenMid = 0.3                    // the same beside it, by the part of the arrivals that found a slot free
	jointOpenAll = 1.0                    // the same if all of them did
	jointIdle    = 20                     // windows without an arrival after which none is refused
)

// joint tells which calls that have siblings are refused on arrival while the upstream can't serve all: those whose standing is
// below a level. The level rises while others wait in vain and falls while none does. It is for one goroutine. The zero value
// refuses none.
type joint struct {
	level standing
	began time.Duration
	shed  int // calls of the window that waited in vain
	// arrived counts the calls of the window, busy those that found no slot free.
	arrived, busy int
	// asked and let count the arrivals of late by rank: all, and those above the level.
	asked, let [ranks]float64
	shares     shares
}

// arrive counts a call and reports whether it is below the level.
func (jt *joint) arrive(now time.Duration, rq Request, free bool) bool {
	jt.turn(now)
	rk := rankOf(rq.Importance, rq.Depth)
	jt.asked[rk]++
	jt.arrived++
	if !free {
		jt.busy++
	}
	excess := jt.shares.arrive(rq.Workspace, float64(clipWeight(rq.Weight)))
	if jt.level > 0 && standingIn(rk, rq.Precedence, excess) < jt.level {
		return true
	}
	jt.let[rk]++
	return false
}

// at returns the level at a time; nothing is refused after a while without an arrival.
func (jt *joint) at(now time.Duration) standing {
	if now-jt.began > jointIdle*jointWindow {
		return 0
	}
	return jt.level
}

// waitedInVain counts a call that was refused for lack of capacity after all.
func (jt *joint) waitedInVain() { jt.shed++ }

// turn ends the windows that are over.
func (jt *joint) turn(now time.Duration) {
	windows := int((now - jt.began) / jointWindow)
	if windows <= 0 {
		return
	}
	jt.began += time.Duration(windows) * jointWindow
	if windows > jointIdle {
		*jt = joint{began: jt.began}
		return
	}
	jt.move()
	for range windows {
		jt.fade()
	}
	jt.shed, jt.arrived, jt.busy = 0, 0, 0
}

// move shifts the level by what the window has shown.
func (jt *joint) move() {
	perWindow := 1 - jointFade
	passing := 0.0
	for _, let := range jt.let {
		passing += let * perWindow
	}
	switch {
	case jt.shed > 0:
		jt.raise(math.Min(jointGain*float64(jt.shed), jointRiseMax*passing) / perWindow)
	case jt.level == 0:
	case jt.busy > 0:
		free := 1 - float64(jt.busy)/float64(jt.arrived)
		jt.lower((jointOpen + jointOpenMid*free) * passing / perWindow)
	default:
		jt.lower(math.Max(jointOpenAll*passing, 1) / perWindow)
	}
}

// raise moves the level up past a number of arrivals of late.
func (jt *joint) raise(count float64) {
	for rk := int(jt.level); rk < ranks; rk++ {
		part := float64(jt.level) - float64(rk)
		if jt.let[rk] > count {
			jt.level = standing(float64(rk) + part + (1-part)*count/jt.let[rk])
			return
		}
		count -= jt.let[rk]
		if rk+1 < ranks {
			jt.level = standing(rk + 1)
		}
	}
}

// lower moves the level down past a number of arrivals of late; those below the level may no longer come, and are taken to be
// as dense as those above it in their rank.
func (jt *joint) lower(count float64) {
	rk := int(jt.level)
	if part := float64(jt.level) - float64(rk); part > 0 {
		const densest = 0.05
		dense := math.Max(jt.let[rk]/math.Max(1-part, densest), 1)
		if part*dense > count {
			jt.level -= standing(count / dense)
			return
		}
		count -= part * dense
	}
	for rk--; rk >= 0; rk-- {
		dense := jt.asked[rk]
		if dense > count {
			jt.level = standing(float64(rk) + 1 - count/dense)
			return
		}
		count -= dense
	}
	jt.level = 0
}

func (jt *joint) fade() {
	for rk := range jt.asked {
		jt.asked[rk] *= jointFade
		jt.let[rk] *= jointFade
	}
	jt.shares.fade()
}
