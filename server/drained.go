package server

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

const (
	// drainedTopic is the topic of the rumors that name the process of each instance's upstream that drains for good.
	drainedTopic = "upstream_drained"
	// drainedTTL is longer than an upstream serves after the announcement of its end.
	drainedTTL = 5 * time.Minute
)

// drained holds which process of the local upstream drains for good. The other instances keep it as a rumor, by which a restarted node
// recognizes that process in an announcement that was sent before.
type drained struct {
	sv *Server

	mu    sync.Mutex
	rumor gossiper.Rumor // the last one of this process
}

// add records a process by its boot. One without a boot can't be recognized later.
func (dr *drained) add(boot string) {
	if boot == "" || dr.includes(boot) {
		return
	}
	dr.mu.Lock()
	defer dr.mu.Unlock()
	version := uint64(time.Now().UnixMilli())
	for _, rm := range dr.own() {
		version = max(version, rm.Version+1)
	}
	dr.rumor = gossiper.Rumor{
		Topic: drainedTopic, Key: string(dr.sv.settings.Instance), Version: version, Payload: []byte(boot), TTL: drainedTTL,
	}
	if err := dr.sv.gossiper.SpreadRumor(dr.rumor); err != nil {
		dr.sv.logger.Log(eventRumor, "topic", drainedTopic, "err", err)
	}
}

// own returns the rumors about the local upstream, at most one.
func (dr *drained) own() []gossiper.Rumor {
	for _, rm := range dr.sv.gossiper.Rumors(drainedTopic) {
		if rm.Key == string(dr.sv.settings.Instance) {
			return []gossiper.Rumor{rm}
		}
	}
	return nil
}

// includes reports whether the process of this boot drains for good.
func (dr *drained) includes(boot string) bool {
	dr.mu.Lock()
	last := string(dr.rumor.Payload)
	dr.mu.Unlock()
	if boot == "" || last == boot {
		return boot != ""
	}
	for _, rm := range dr.own() {
		if string(rm.Payload) == boot {
			return true
		}
	}
	return false
}

// share waits until other instances hold what add has recorded.
func (dr *drained) share(ctx context.Context) error {
	dr.mu.Lock()
	rm := dr.rumor
	dr.mu.Unlock()
	if len(rm.Payload) == 0 {
		return nil
	}
	return dr.sv.gossiper.ShareRumor(ctx, rm)
}

// loop applies that the announced process drains for good, once another instance has told so.
func (dr *drained) loop() error {
	for {
		changed := dr.sv.gossiper.Changed()
		dr.sv.node.reapplyDrained()
		select {
		case <-dr.sv.tmb.Dying():
			return nil
		case <-changed:
		}
	}
}

// reapplyDrained applies the announcement in force again if its process is known by now to drain for good.
func (nd *node) reapplyDrained() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	an := nd.announcement
	if an.Service != "" && an.State != announcer.StateDraining && nd.drained.includes(an.Boot) {
		nd.apply(an)
	}
}
