//go:build standin3

package main

import (
	"net/http"
	"syscall"
	"time"
)

// Times of the cases about the first start, from the start of the first machine.
const (
	startGap    = 100 * time.Millisecond // between the starts of the core machines; all start within 0.3 s
	backAfter   = 700 * time.Millisecond // from the kill to the restart
	replaceWait = time.Second            // from the loss of a core machine to the start of its successor
	trafficFrom = 8 * time.Second
	trafficGap  = 250 * time.Millisecond
	caseEnd     = 60 * time.Second
)

// firstKill kills all core processes at the same moment during the first start, and starts them again within a second, with their disks.
func firstKill(cl *cluster, trouble bool) verdict {
	return firstStart(cl, func(sm *small) error {
		if !trouble {
			return nil
		}
		for _, mc := range sm.cores {
			mc.signal(syscall.SIGKILL)
		}
		time.Sleep(backAfter)
		for _, mc := range sm.cores {
			if err := mc.start(seeds(sm.cores...), false); err != nil {
				return err
			}
		}
		return nil
	})
}

// firstLoss removes one core machine for good during the first start. Another one with an empty disk follows at a new address.
func firstLoss(cl *cluster, trouble bool) verdict {
	return firstStart(cl, func(sm *small) error {
		if !trouble {
			return nil
		}
		lost := sm.cores[2]
		lost.signal(syscall.SIGKILL)
		time.Sleep(replaceWait)
		next := cl.add("core", "core-zone-c-2", lost.zone, "")
		if err := next.start(seeds(sm.cores...), false); err != nil {
			return err
		}
		time.AfterFunc(3*time.Second, func() { sm.list(sm.cores[0], sm.cores[1], next) })
		return nil
	})
}

// firstStart starts a small deployment for the first time, strikes once the last core machine has started, sends the first
// configuration until it is acknowledged, and requests from trafficFrom on.
func firstStart(cl *cluster, strike func(sm *small) error) verdict {
	sm := newSmall(cl)
	defer sm.close()
	begin := time.Now()
	for ix, mc := range sm.cores {
		if ix > 0 {
			time.Sleep(startGap)
		}
		if err := mc.start(seeds(sm.cores...), true); err != nil {
			return notRun("%s: %v", mc.name, err)
		}
	}
	if err := strike(sm); err != nil {
		return notRun("%v", err)
	}
	if err := sm.startNodes(20 * time.Millisecond); err != nil {
		return notRun("%v", err)
	}
	status := make(chan int, 1)
	go func() {
		status <- put(cl.rec, sm.operatorList, document(7, 0, route("safe", 2, 1)), begin.Add(caseEnd))
	}()
	time.Sleep(time.Until(begin.Add(trafficFrom)))
	sent, served := sm.traffic(begin.Add(caseEnd), trafficGap)
	last := <-status
	cl.rec.note("the operator's last answer was %d; %d of %d requests were served", last, served, sent)
	switch {
	case served == 0:
		return broken("no request of %d was served, and the first configuration was not acknowledged in %v (last answer %d)", sent, caseEnd, last)
	case last != http.StatusOK:
		return notRun("the configuration was answered %d though requests were served", last)
	default:
		return held("%d of %d requests were served", served, sent)
	}
}
