package main

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// diskLossAfterReplacement shows whether the core survives that one machine loses its disk shortly after another was replaced as planned.
//
// The successor has run for much longer than it may take to catch up before its predecessor is stopped for good, so that one machine is
// lost in all: the one whose disk goes.
func diskLossAfterReplacement(rc *record, trouble bool) (bool, error) {
	dp, err := newDeployment(rc, []string{"a", "b", "c"}, nodeSpec{"a", "noticeboard"}, nodeSpec{"b", "noticeboard"})
	if err != nil {
		return false, err
	}
	defer dp.stop()
	if err := dp.startAll(); err != nil {
		return false, err
	}
	for ix, mc := range dp.nodes {
		bk, err := newBackend(mc, []string{"i-7f3a91c2", "i-51b0aa7e"}[ix])
		if err != nil {
			return false, err
		}
		defer bk.end()
		bk.beat()
	}
	acknowledged := configuration(1, 0, "noticeboard")
	if _, err := dp.put(acknowledged, 20*time.Second); err != nil {
		return false, err
	}
	for _, mc := range dp.nodes {
		if err := mc.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	const (
		catchUp     = 4 * time.Second
		beforeLoss  = 2 * time.Second
		recoverTime = 15 * time.Second
	)
	time.Sleep(3 * time.Second)
	if an := dp.nodes[0].send("GET", "/safe-noticeboard/2f", nil); an.status != http.StatusOK {
		rc.note("before the disruption a request got %d", an.status)
	}
	if err := dp.replaceCore(2, 2*catchUp+beforeLoss); err != nil {
		return false, err
	}
	time.Sleep(beforeLoss)
	if trouble {
		if err := dp.cores[0].loseDisk(); err != nil {
			return false, err
		}
	}
	time.Sleep(catchUp)
	return !dp.readsBack(acknowledged, 2*recoverTime), nil
}

// replaceCore starts an empty core machine at another address of the zone and, after a time, stops the one that it replaces for good.
func (dp *deployment) replaceCore(at int, after time.Duration) error {
	old := dp.cores[at]
	successor := &machine{dp: dp, name: "core-" + old.zone + "-2", class: "core", zone: old.zone, ip: dp.ip(at, 2), seeds: old.seeds}
	if err := successor.start(); err != nil {
		return err
	}
	dp.removed = append(dp.removed, old)
	dp.cores[at] = successor
	time.Sleep(after)
	if status, _ := successor.readConfig(); status != http.StatusOK {
		dp.rc.note("%s answers a read with %d", successor.name, status)
	}
	old.signal(syscall.SIGTERM)
	<-old.done
	dp.rc.note("%s has ended for good", old.name)
	return nil
}

// loseDisk kills the process of a core machine and starts it again a second later with an empty disk.
func (mc *machine) loseDisk() error {
	mc.kill()
	if err := os.RemoveAll(filepath.Join(mc.dp.folder, "data-"+mc.name)); err != nil {
		return err
	}
	mc.dp.rc.note("%s has lost its disk", mc.name)
	time.Sleep(time.Second)
	return mc.restart()
}

// readConfig reads the configuration at a core machine.
func (mc *machine) readConfig() (int, string) {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Get("http://" + mc.addr(portControl) + "/api/config/get")
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rs.Body.Close() }()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return 0, ""
	}
	return rs.StatusCode, string(text)
}

// readsBack reports whether a core machine answers a read with the document within a time. All of them are asked all the while.
func (dp *deployment) readsBack(document string, longest time.Duration) bool {
	counts := map[int]int{}
	defer func() { dp.rc.note("answers to reads by status: %v", counts) }()
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, mc := range dp.cores {
			status, text := mc.readConfig()
			counts[status]++
			if status == http.StatusOK {
				dp.rc.note("%s answers a read: %d, as acknowledged: %v", mc.name, status, text == document)
				return text == document
			}
		}
		dp.nodes[0].send("GET", "/safe-noticeboard/2f", nil)
	}
	return false
}
