package main

import (
	"time"
)

// forgottenDeparture shows whether a node that is restarted forgets that its back end has deregistered.
//
// The back end deregisters, which is acknowledged, and goes on serving. Its last heartbeat arrives late. With trouble, the node is killed
// between the two and started again.
func forgottenDeparture(rc *record, trouble bool) (bool, error) {
	dp, err := newDeployment(rc, []string{"a", "b", "c"},
		nodeSpec{"a", "noticeboard"}, nodeSpec{"b", "noticeboard"}, nodeSpec{"c", "consent"})
	if err != nil {
		return false, err
	}
	defer dp.stop()
	if err := dp.startAll(); err != nil {
		return false, err
	}
	var backends []*backend
	for ix, mc := range dp.nodes {
		bk, err := newBackend(mc, []string{"i-7f3a91c2", "i-51b0aa7e", "i-0c99d3f4"}[ix])
		if err != nil {
			return false, err
		}
		defer bk.end()
		backends = append(backends, bk)
	}
	if _, err := dp.put(configuration(1, 0, "noticeboard", "consent"), 20*time.Second); err != nil {
		return false, err
	}
	for ix, mc := range dp.nodes {
		if err := mc.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
		backends[ix].beat()
	}
	time.Sleep(4 * time.Second)
	leaving, beside, entry := backends[0], dp.nodes[0], dp.nodes[2]
	stop := make(chan struct{})
	load := make(chan struct{})
	go func() {
		defer close(load)
		for {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
				go entry.send("GET", "/safe-noticeboard/2f", nil)
			}
		}
	}()
	defer func() { close(stop); <-load }()
	time.Sleep(2 * time.Second)
	late := leaving.heartbeatBody()
	leaving.stopBeats()
	if status := leaving.deregister(); status != 200 {
		rc.note("the deregistration was not acknowledged: %d", status)
		return false, nil
	}
	acknowledged := time.Now()
	inTouchSince := acknowledged
	if trouble {
		beside.kill()
		time.Sleep(300 * time.Millisecond)
		if err := beside.restart(); err != nil {
			return false, err
		}
		inTouchSince = time.Now()
	}
	time.Sleep(1500 * time.Millisecond)
	leaving.say("heartbeat", late)
	const (
		drain        = 2 * time.Second
		stableWindow = 3 * time.Second
		margin       = 200 * time.Millisecond
	)
	time.Sleep(time.Until(acknowledged.Add(9 * time.Second)))
	// Later than drainS, and later than stableWindowS after the start of the node, when it is in touch again.
	from := inTouchSince.Add(max(drain, stableWindow) + margin)
	ran := leaving.ranSince(from)
	rc.note("%d requests began at the back end that had deregistered, more than %v after the acknowledgement", len(ran), from.Sub(acknowledged))
	return len(ran) > 0, nil
}
