//go:build standin3

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Times of the case about long work.
const (
	longTimeout  = 45 // seconds: the route's timeoutS and the client's deadline
	longWork     = 32 * time.Second
	termAfter    = 27500 * time.Millisecond // from the request to the SIGTERM: the work would end 4.5 s after it
	graceTime    = 6 * time.Second
	termLastPart = graceTime / 6
	readyWithin  = 30 * time.Second
)

// silentWork stops the node that took a request gracefully while a back end is silently at work on it for less than its deadline, its route's
// timeout and five sixths of graceS.
func silentWork(cl *cluster, trouble bool) verdict {
	sm := newSmall(cl)
	defer sm.close()
	if err := sm.startAll(document(7, 0, route("non_idempotent", longTimeout, 2))); err != nil {
		return notRun("%v", err)
	}
	time.Sleep(5 * time.Second)
	entry := sm.nodes[0]
	done := make(chan *answer, 1)
	path := fmt.Sprintf("%s2f?work=%d", routePrefix, longWork.Milliseconds())
	go func() {
		done <- send(cl.rec, entry, http.MethodPost, routeHost, path, "one", longTimeout*time.Second)
	}()
	term := time.Time{}
	if trouble {
		time.Sleep(termAfter)
		term = time.Now()
		entry.signal(syscall.SIGTERM)
	}
	an := <-done
	switch {
	case an.success():
		return held("the request was answered after %v", an.ended.Sub(an.began).Round(time.Millisecond))
	case term.IsZero():
		return held("no planned work, to which the rule is limited; the client got: %s", an)
	case an.ended.Before(term) || an.ended.Sub(term) >= graceTime-termLastPart:
		return held("not counted: it ended %v after the SIGTERM: %s", an.ended.Sub(term).Round(time.Millisecond), an)
	default:
		return broken("%v after the SIGTERM, %v before the deadline, the client got: %s",
			an.ended.Sub(term).Round(time.Millisecond), (longTimeout*time.Second - an.ended.Sub(an.began)).Round(time.Millisecond), an)
	}
}

// startAll starts the whole deployment, sends the first configuration and waits until requests are served at each node.
func (sm *small) startAll(config []byte) error {
	for ix, mc := range sm.cores {
		if ix > 0 {
			time.Sleep(startGap)
		}
		if err := mc.start(seeds(sm.cores...), true); err != nil {
			return err
		}
	}
	if err := sm.startNodes(20 * time.Millisecond); err != nil {
		return err
	}
	until := time.Now().Add(readyWithin)
	if status := put(sm.cl.rec, sm.operatorList, config, until); status != http.StatusOK {
		return fmt.Errorf("the first configuration was answered %d", status)
	}
	for _, mc := range sm.nodes {
		for !ready(mc) || !send(sm.cl.rec, mc, http.MethodPost, routeHost, routePrefix+"2f", "", 2*time.Second).success() {
			if time.Now().After(until) {
				return fmt.Errorf("%s does not serve requests", mc.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}
