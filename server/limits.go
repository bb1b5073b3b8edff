package server

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// Rumor that announces the revision that is in force everywhere.
const (
	confirmedTopic = "confirmed"
	confirmedKey   = "revision"
	confirmedTTL   = 24 * time.Hour
)

// Intervals of the updates of the limiter and of confirmed revisions.
const (
	limitsInterval = 500 * time.Millisecond
	ageInterval    = 5 * time.Second // between updates of the age of an unchanged table
	confirmDelay   = 3 * time.Second // from the start of a control instance to its first confirmation of a revision
)

// limits feeds the node's limiter with the table and the number of nodes, and resolves the leaders of its shard groups.
type limits struct {
	sv        *Server
	shards    *shards
	limiter   *limiter.Limiter
	last      limiter.Table
	lastAt    time.Time
	nodes     atomic.Int64
	lastNodes int64 // nodes at the last update
}

func newLimits(sv *Server, sd *shards) *limits {
	lt := &limits{sv: sv, shards: sd}
	lt.limiter = limiter.New(
		limiter.WithInstance(sv.settings.Instance, sv.settings.FailureDomain), limiter.WithDirectory(lt),
		limiter.WithPeers(sv.peers), limiter.WithLogger(sv.logger), limiter.WithMetrics(sv.metrics),
	)
	return lt
}

func (lt *limits) start() {
	lt.limiter.Start()
	lt.sv.tmb.Go(lt.loop)
}

// setView counts the nodes that may spend tokens in standby mode.
func (lt *limits) setView(vw *gossiper.View) {
	if !lt.sv.settings.Rates.Standby {
		return
	}
	count := len(nodeMembers(vw))
	lt.nodes.Store(int64(count))
	lt.limiter.SetNodes(count)
}

// nodeMembers returns the nodes that have not left, including unreachable ones, as those may go on spending tokens.
func nodeMembers(vw *gossiper.View) []gossiper.Member {
	var out []gossiper.Member
	for _, mb := range vw.Members() {
		if mb.Roles.Has(gossiper.RoleNode) && mb.Status != gossiper.StatusLeft {
			out = append(out, mb)
		}
	}
	return out
}

// rateLimitedRows returns the rows that set a rate and a burst.
func rateLimitedRows(tb *registrar.Table) []*registrar.Row {
	var out []*registrar.Row
	for _, rw := range tb.Rows() {
		if rw.RateLimited() {
			out = append(out, rw)
		}
	}
	return out
}

// loop keeps the limiter's copy of the table, its age and the confirmed revision up to date.
func (lt *limits) loop() error {
	tk := time.NewTicker(limitsInterval)
	defer tk.Stop()
	for {
		holder := lt.sv.distributor.Holder()
		changed := holder.Changed()
		lt.updateTable(holder, time.Now())
		select {
		case <-lt.sv.tmb.Dying():
			return nil
		case <-changed:
		case <-tk.C:
		}
	}
}

// updateTable passes the table to the limiter when the table, the confirmed revision or the number of nodes has changed,
// and every ageInterval for its age.
func (lt *limits) updateTable(holder *registrar.Holder, now time.Time) {
	unchanged := holder.Current().Revision() == lt.last.Revision && lt.sv.confirmed() == lt.last.Confirmed &&
		lt.nodes.Load() == lt.lastNodes
	if unchanged && now.Sub(lt.lastAt) < ageInterval {
		return
	}
	lt.last = lt.table(holder, now)
	lt.lastAt = now
	lt.lastNodes = lt.nodes.Load()
	lt.limiter.SetTable(lt.last)
}

func (lt *limits) table(holder *registrar.Holder, now time.Time) limiter.Table {
	age := holder.Age()
	tb := holder.Current()
	out := limiter.Table{Revision: tb.Revision(), Confirmed: lt.sv.confirmed(), Domains: domainsOf(tb)}
	if age != registrar.AgeUnknown {
		out.AsOf = now.Add(-age)
	}
	for _, rw := range rateLimitedRows(tb) {
		out.Rows = append(out.Rows, limiter.Entry{Row: rw})
	}
	return out
}

// domainsOf returns the failure domains that the table has placements for, in order of name.
func domainsOf(tb *registrar.Table) []gypsumhoist.FailureDomain {
	var out []gypsumhoist.FailureDomain
	for _, pl := range tb.Placements() {
		out = append(out, pl.Domain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Leader implements limiter.Directory.
func (lt *limits) Leader(domain string, shard int) (netip.AddrPort, bool) {
	return lt.shards.sharder.Leader(gypsumhoist.FailureDomain(domain), shard)
}

// leaseEpochBits is the number of low bits of a limiter's epoch that hold the lease's epoch; the generation is above them.
const leaseEpochBits = 40

// Lease implements limiter.Directory.
func (lt *limits) Lease(shard int) (uint64, time.Time, bool) {
	ls := lt.shards.sharder.Lease(shard)
	return ls.Generation<<leaseEpochBits | ls.Epoch, ls.Since, ls.Held
}

// ShardOf implements limiter.Directory.
func (lt *limits) ShardOf(key string) int { return sharder.Shard(key) }

// confirmed returns the highest revision that a control instance has confirmed to be in force everywhere.
func (sv *Server) confirmed() uint64 {
	var highest uint64
	for _, rm := range sv.gossiper.Rumors(confirmedTopic) {
		highest = max(highest, rm.Version)
	}
	return highest
}

// confirmer announces the revision that is in force everywhere to the fleet.
type confirmer struct {
	sv        *Server
	started   time.Time
	announced atomic.Uint64
}

// loop checks at each tick whether the current revision is in force everywhere.
func (cf *confirmer) loop() error {
	tk := time.NewTicker(limitsInterval)
	defer tk.Stop()
	for {
		select {
		case <-cf.sv.tmb.Dying():
			return nil
		case now := <-tk.C:
			if now.Sub(cf.started) >= confirmDelay {
				cf.confirm()
			}
		}
	}
}

func (cf *confirmer) confirm() {
	tb := cf.sv.distributor.Holder().Current()
	revision := tb.Revision()
	if revision == 0 || revision <= cf.announced.Load() || revision <= cf.sv.confirmed() {
		return
	}
	nf := cf.sv.distributor.InForce(registrar.Change{Revision: revision})
	if !nf.Everywhere || !coversAll(nf, domainsOf(tb)) {
		return
	}
	rm := gossiper.Rumor{Topic: confirmedTopic, Key: confirmedKey, Version: revision, TTL: confirmedTTL}
	if err := cf.sv.gossiper.SpreadRumor(rm); err != nil {
		cf.sv.logger.Log(eventRumor, "topic", confirmedTopic, "err", err)
		return
	}
	cf.announced.Store(revision)
}

// coversAll reports whether at least one instance of each failure domain has reported its revision.
// A domain without any report may be partitioned off and serve under an older table.
func coversAll(nf registrar.InForce, domains []gypsumhoist.FailureDomain) bool {
	for _, fd := range domains {
		if !slices.ContainsFunc(nf.Domains, func(dm registrar.DomainInForce) bool { return dm.Domain == fd }) {
			return false
		}
	}
	return true
}
