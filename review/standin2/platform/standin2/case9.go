package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// withdrawnKey shows whether a request whose key has been withdrawn for longer than revokeS runs on a public route at a node that wakes up.
func withdrawnKey(rc *record, trouble bool) (bool, error) {
	dp, err := newDeployment(rc, []string{"a", "b", "c"}, nodeSpec{"a", "noticeboard"}, nodeSpec{"b", "noticeboard"}, nodeSpec{"c", "noticeboard"})
	if err != nil {
		return false, err
	}
	defer dp.stop()
	if err := dp.startAll(); err != nil {
		return false, err
	}
	var backends []*backend
	for ix, mc := range dp.nodes {
		bk, err := newBackend(mc, fmt.Sprintf("i-%08x", 0x7f3a91c2+ix))
		if err != nil {
			return false, err
		}
		defer bk.end()
		bk.beat()
		backends = append(backends, bk)
	}
	const otherKey = "8pjbvk9m68k7b2ex5wa5"
	granted := publicConfiguration(1, 0, false)
	if _, err := dp.put(granted, 20*time.Second); err != nil {
		return false, err
	}
	for _, mc := range dp.nodes {
		if err := mc.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	frozen := dp.nodes[0]
	if an := frozen.send("GET", "/notices/6", nil); an.status != http.StatusOK {
		return false, fmt.Errorf("before the withdrawal a request got %d %v", an.status, an.err)
	}
	// The back end beside the node has just been heard from.
	backends[0].say("heartbeat", backends[0].heartbeatBody())
	if trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	withdrawn := strings.Replace(publicConfiguration(2, 1, false), apiKey, otherKey, 1)
	if status, err := dp.put(withdrawn, 3*time.Second); err != nil || status != http.StatusOK {
		frozen.signal(syscall.SIGCONT)
		return false, fmt.Errorf("the withdrawal was answered with %d: %w", status, err)
	}
	acknowledged := time.Now()
	const (
		revoke = 5 * time.Second
		late   = 100 * time.Millisecond
	)
	time.Sleep(time.Until(acknowledged.Add(revoke + late)))
	sent := time.Now()
	answers := make(chan answer, 1)
	go func() { answers <- frozen.send("GET", "/notices/7", nil) }()
	time.Sleep(late)
	if trouble {
		frozen.signal(syscall.SIGCONT)
	}
	an := <-answers
	time.Sleep(time.Second)
	wrong := 0
	for _, bk := range backends {
		for _, ar := range bk.ranSince(sent) {
			if ar.attempt == an.attempt {
				wrong++
				rc.note("%s ran at %s for tenant %q, %v after the acknowledgement of the withdrawal", an.attempt, bk.id, ar.header.Get("X-Gypsumhoist-Tenant"), sent.Sub(acknowledged))
			}
		}
	}
	return wrong > 0, nil
}
