package server

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
)

var (
	eventRumor = logger.Define(1031, logger.LevelWarn, "rumor_refused",
		"News of another instance could not be read; it may run another version.")
	eventDied = logger.Define(1032, logger.LevelError, "upstream_died",
		"The upstream beside this node refuses connections after it broke some: it has crashed. explain and quarantine list tell which requests ran on it.")
)

// probeTime bounds a try to connect to an upstream that broke a connection.
const probeTime = 100 * time.Millisecond

// poison joins the quarantiner of a node to the fleet and to the upstream beside it.
type poison struct {
	sv          *Server
	nd          *node
	quarantiner *quarantiner.Quarantiner
	heard       map[string]uint64

	mu     sync.Mutex
	failed map[gypsumhoist.Instance]gossiper.Boot
}

func newPoison(sv *Server, nd *node) *poison {
	ps := &poison{sv: sv, nd: nd, heard: map[string]uint64{}, failed: map[gypsumhoist.Instance]gossiper.Boot{}}
	ps.quarantiner = quarantiner.New(
		quarantiner.Life{Instance: sv.settings.Instance, Boot: uint64(sv.boot)},
		quarantiner.WithPeers(sv.peers), quarantiner.WithPublish(ps.publish),
		quarantiner.WithLogger(sv.logger), quarantiner.WithMetrics(sv.metrics),
	)
	return ps
}

func (ps *poison) start() {
	ps.quarantiner.Start()
	ps.sv.tmb.Go(ps.loop)
}

// publish spreads news about a suspect.
func (ps *poison) publish(rm quarantiner.Rumor) {
	err := ps.sv.gossiper.Tell(gossiper.Rumor{Topic: rm.Topic, Key: rm.Key, Version: rm.Version, Payload: rm.Payload, Life: rm.Life})
	if err != nil {
		ps.sv.logger.Log(eventRumor, "topic", rm.Topic, "err", err)
	}
}

// loop hands news of other instances to the quarantiner.
func (ps *poison) loop() error {
	for {
		changed := ps.sv.gossiper.Changed()
		ps.hear()
		select {
		case <-ps.sv.tmb.Dying():
			return nil
		case <-changed:
		}
	}
}

func (ps *poison) hear() {
	rms := ps.sv.gossiper.Rumors(quarantiner.Topic)
	heard := make(map[string]uint64, len(rms))
	for _, rm := range rms {
		heard[rm.Key] = rm.Version
		if version, ok := ps.heard[rm.Key]; ok && version == rm.Version {
			continue
		}
		if err := ps.quarantiner.Hear(rm.Payload, rm.Life); err != nil {
			ps.sv.logger.Log(eventRumor, "topic", rm.Topic, "err", err)
		}
	}
	ps.heard = heard
}

// look takes the present instances of the node's own service.
func (ps *poison) look(kin []gossiper.Member) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	var out []quarantiner.Member
	for _, mb := range kin {
		if mb.Status == gossiper.StatusUnreachable {
			ps.gone(mb)
			continue
		}
		out = append(out, quarantiner.Member{
			Life: quarantiner.Life{Instance: mb.Instance, Boot: uint64(mb.Boot)}, Peer: mb.Peer,
		})
	}
	ps.quarantiner.SetKin(out)
}

// gone tells once that an instance failed.
func (ps *poison) gone(mb gossiper.Member) {
	if ps.failed[mb.Instance] == mb.Boot {
		return
	}
	ps.failed[mb.Instance] = mb.Boot
	ps.quarantiner.InstanceGone(mb.Instance)
}

// announced compares two announcements: another process, or silence, means that the former one is dead.
func (ps *poison) announced(before, now announcer.Announcement, cause announcer.Cause) {
	switch {
	case cause == announcer.CauseLapsed, cause == announcer.CauseAnnounced && before.Service != "" && !before.SameUpstream(now):
		ps.died(context.Background(), before)
	case cause == announcer.CauseAnnounced && before.Service != "":
		ps.quarantiner.UpstreamAlive()
	}
}

// broken finds out whether the upstream that broke a connection is still there.
func (ps *poison) broken(ctx context.Context) {
	an := ps.nd.announcer.Current()
	if an.Service == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTime)
	defer cancel()
	conn, err := ps.sv.network.Dial(ctx, an.Address)
	if err == nil {
		// The probe has said all it can; nothing was sent on it.
		_ = conn.Close()
		ps.quarantiner.UpstreamAlive()
		return
	}
	if ctx.Err() != nil {
		return
	}
	ps.died(ctx, an)
	ps.nd.announcer.End()
}

func (ps *poison) died(ctx context.Context, an announcer.Announcement) {
	ps.sv.logger.Log(eventDied, "service", an.Service, "address", an.Address)
	ps.quarantiner.UpstreamDied(ctx, lifeOf(an))
}

// lifeOf tells the processes of an upstream apart.
func lifeOf(an announcer.Announcement) uint64 {
	return xxhash.Sum64String(an.Address.String() + " " + an.Boot)
}
