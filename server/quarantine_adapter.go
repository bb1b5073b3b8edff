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
		"A rumor could not be sent, or one of another instance could not be decoded; that instance may run another version.")
	eventDied = logger.Define(1032, logger.LevelError, "upstream_died",
		"This node's upstream has crashed, as it restarted, fell silent or refuses connections. explain and quarantine list show its requests.")
)

// upstreamProbeTimeout bounds an attempt to connect to an upstream that broke a connection.
const upstreamProbeTimeout = 100 * time.Millisecond

// quarantineAdapter connects the node's quarantiner to gossip, and reports crashes of the local upstream to it.
type quarantineAdapter struct {
	sv          *Server
	nd          *node
	quarantiner *quarantiner.Quarantiner
	versions    map[string]uint64

	mu     sync.Mutex
	failed map[gypsumhoist.Instance]gossiper.Boot
}

func newQuarantineAdapter(sv *Server, nd *node) *quarantineAdapter {
	qa := &quarantineAdapter{sv: sv, nd: nd, versions: map[string]uint64{}, failed: map[gypsumhoist.Instance]gossiper.Boot{}}
	qa.quarantiner = quarantiner.New(
		quarantiner.Process{Instance: sv.settings.Instance, Boot: uint64(sv.boot)},
		quarantiner.WithPeers(sv.peers), quarantiner.WithPublish(qa.publish),
		quarantiner.WithLogger(sv.logger), quarantiner.WithMetrics(sv.metrics),
	)
	return qa
}

func (qa *quarantineAdapter) start() {
	qa.quarantiner.Start()
	qa.sv.tmb.Go(qa.loop)
}

// publish spreads a rumor about a suspect.
func (qa *quarantineAdapter) publish(rm quarantiner.Rumor) {
	err := qa.sv.gossiper.SpreadRumor(gossiper.Rumor{Topic: rm.Topic, Key: rm.Key, Version: rm.Version, Payload: rm.Payload, TTL: rm.TTL})
	if err != nil {
		qa.sv.logger.Log(eventRumor, "topic", rm.Topic, "err", err)
	}
}

// loop passes rumors of other instances to the quarantiner.
func (qa *quarantineAdapter) loop() error {
	for {
		changed := qa.sv.gossiper.Changed()
		qa.mergeRumors()
		select {
		case <-qa.sv.tmb.Dying():
			return nil
		case <-changed:
		}
	}
}

func (qa *quarantineAdapter) mergeRumors() {
	rms := qa.sv.gossiper.Rumors(quarantiner.Topic)
	versions := make(map[string]uint64, len(rms))
	for _, rm := range rms {
		versions[rm.Key] = rm.Version
		if version, ok := qa.versions[rm.Key]; ok && version == rm.Version {
			continue
		}
		if err := qa.quarantiner.MergeRumor(rm.Payload, rm.TTL); err != nil {
			qa.sv.logger.Log(eventRumor, "topic", rm.Topic, "err", err)
		}
	}
	qa.versions = versions
}

// setView applies the current members that serve the node's own service.
func (qa *quarantineAdapter) setView(mbs []gossiper.Member) {
	qa.mu.Lock()
	defer qa.mu.Unlock()
	var out []quarantiner.Member
	for _, mb := range mbs {
		if mb.Status == gossiper.StatusUnreachable {
			qa.instanceFailed(mb)
			continue
		}
		out = append(out, quarantiner.Member{
			Process: quarantiner.Process{Instance: mb.Instance, Boot: uint64(mb.Boot)}, Peer: mb.Peer,
		})
	}
	qa.quarantiner.SetMembers(out)
}

// instanceFailed reports the failure of an instance to the quarantiner, once per boot.
func (qa *quarantineAdapter) instanceFailed(mb gossiper.Member) {
	if qa.failed[mb.Instance] == mb.Boot {
		return
	}
	qa.failed[mb.Instance] = mb.Boot
	qa.quarantiner.InstanceFailed(mb.Instance)
}

// announcementChanged detects a crash: after an announcement of another process, or when announcements
// have stopped, the previous upstream process is dead.
func (qa *quarantineAdapter) announcementChanged(before, now announcer.Announcement, cause announcer.Cause) {
	switch {
	case cause == announcer.CauseExpired, cause == announcer.CauseAnnounced && before.Service != "" && !before.SameUpstream(now):
		qa.upstreamDied(context.Background(), before)
	case cause == announcer.CauseAnnounced && before.Service != "":
		qa.quarantiner.UpstreamAlive()
	}
}

// probeUpstream checks whether an upstream that broke a connection still accepts new ones. A timeout proves nothing.
func (qa *quarantineAdapter) probeUpstream(ctx context.Context) {
	an := qa.nd.announcer.Current()
	if an.Service == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), upstreamProbeTimeout)
	defer cancel()
	conn, err := qa.sv.network.Dial(ctx, an.Address)
	if err == nil {
		// Nothing was sent on the connection, so an error of Close says nothing.
		_ = conn.Close()
		qa.quarantiner.UpstreamAlive()
		return
	}
	if ctx.Err() != nil {
		return
	}
	qa.upstreamDied(ctx, an)
	qa.nd.announcer.Withdraw()
}

func (qa *quarantineAdapter) upstreamDied(ctx context.Context, an announcer.Announcement) {
	qa.sv.logger.Log(eventDied, "service", an.Service, "address", an.Address)
	qa.quarantiner.UpstreamDied(ctx, upstreamProcess(an))
}

// upstreamProcess returns an ID that differs between the processes of an upstream.
func upstreamProcess(an announcer.Announcement) uint64 {
	return xxhash.Sum64String(an.Address.String() + " " + an.Boot)
}
