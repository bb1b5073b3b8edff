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

// Rumors about the revision that is in force everywhere.
const (
	confirmedTopic = "confirmed"
	confirmedKey   = "revision"
	confirmedLife  = 24 * time.Hour
)

// Times of the work on rates.
const (
	limitsBeat     = 500 * time.Millisecond
	ageBeat        = 5 * time.Second // between two hand-overs of a table that has not changed
	confirmSettled = 3 * time.Second // after the start of a control instance, before it vouches for others
)

// limits joins the limiter of a node to the table and the shard groups.
type limits struct {
	sv      *Server
	shards  *shards
	limiter *limiter.Limiter
	last    limiter.Table
	lastAt  time.Time
	nodes   atomic.Int64
	counted int64 // nodes at the last hand-over
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

// look counts the nodes that may spend.
func (lt *limits) look(vw *gossiper.View) {
	if !lt.sv.settings.Rates.Standby {
		return
	}
	count := len(spenders(vw))
	lt.nodes.Store(int64(count))
	lt.limiter.SetNodes(count)
}

// spenders returns the nodes that have not left, those that can't be reached too, as they may go on spending.
func spenders(vw *gossiper.View) []gossiper.Member {
	var out []gossiper.Member
	for _, mb := range vw.Members() {
		if mb.Roles.Has(gossiper.RoleNode) && mb.Status != gossiper.StatusLeft {
			out = append(out, mb)
		}
	}
	return out
}

// boundedRows returns the rows that have a rate and a burst.
func boundedRows(tb *registrar.Table) []*registrar.Row {
	var out []*registrar.Row
	for _, rw := range tb.Rows() {
		if rw.Bounded() {
			out = append(out, rw)
		}
	}
	return out
}

// loop hands the limiter the table, how old it is and how far it is in force.
func (lt *limits) loop() error {
	tk := time.NewTicker(limitsBeat)
	defer tk.Stop()
	for {
		holder := lt.sv.spreader.Holder()
		changed := holder.Changed()
		lt.give(holder, time.Now())
		select {
		case <-lt.sv.tmb.Dying():
			return nil
		case <-changed:
		case <-tk.C:
		}
	}
}

// give hands over the table when it or its confirmation is new, and its age from time to time.
func (lt *limits) give(holder *registrar.Holder, now time.Time) {
	same := holder.Current().Revision() == lt.last.Revision && lt.sv.confirmed() == lt.last.Confirmed &&
		lt.nodes.Load() == lt.counted
	if same && now.Sub(lt.lastAt) < ageBeat {
		return
	}
	lt.last = lt.table(holder, now)
	lt.lastAt = now
	lt.counted = lt.nodes.Load()
	lt.limiter.SetTable(lt.last)
}

func (lt *limits) table(holder *registrar.Holder, now time.Time) limiter.Table {
	age := holder.Age()
	tb := holder.Current()
	out := limiter.Table{Revision: tb.Revision(), Confirmed: lt.sv.confirmed(), Domains: domainsOf(tb)}
	if age != registrar.AgeUnknown {
		out.AsOf = now.Add(-age)
	}
	for _, rw := range boundedRows(tb) {
		out.Rows = append(out.Rows, limiter.Entry{Row: rw})
	}
	return out
}

// domainsOf returns the failure domains that the table knows, in order of their names.
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

// generationBits is how many low bits of a limiter's epoch hold the lease's epoch within its generation.
const generationBits = 40

// Lease implements limiter.Directory.
func (lt *limits) Lease(shard int) (uint64, time.Time, bool) {
	ls := lt.shards.sharder.Lease(shard)
	return ls.Generation<<generationBits | ls.Epoch, ls.Since, ls.Held
}

// ShardOf implements limiter.Directory.
func (lt *limits) ShardOf(key string) int { return sharder.Shard(key) }

// confirmed returns the highest revision that a control instance has vouched for as in force everywhere.
func (sv *Server) confirmed() uint64 {
	var most uint64
	for _, rm := range sv.gossiper.Rumors(confirmedTopic) {
		most = max(most, rm.Version)
	}
	return most
}

// voucher tells the fleet which revision is in force everywhere.
type voucher struct {
	sv      *Server
	started time.Time
	told    atomic.Uint64
}

// loop looks from time to time whether the present revision is in force everywhere.
func (vc *voucher) loop() error {
	tk := time.NewTicker(limitsBeat)
	defer tk.Stop()
	for {
		select {
		case <-vc.sv.tmb.Dying():
			return nil
		case now := <-tk.C:
			if now.Sub(vc.started) >= confirmSettled {
				vc.look()
			}
		}
	}
}

func (vc *voucher) look() {
	tb := vc.sv.spreader.Holder().Current()
	revision := tb.Revision()
	if revision == 0 || revision <= vc.told.Load() || revision <= vc.sv.confirmed() {
		return
	}
	nf := vc.sv.spreader.InForce(registrar.Change{Revision: revision})
	if !nf.Everywhere || !coversAll(nf, domainsOf(tb)) {
		return
	}
	rm := gossiper.Rumor{Topic: confirmedTopic, Key: confirmedKey, Version: revision, Life: confirmedLife}
	if err := vc.sv.gossiper.Tell(rm); err != nil {
		vc.sv.logger.Log(eventRumor, "topic", confirmedTopic, "err", err)
		return
	}
	vc.told.Store(revision)
}

// coversAll reports whether instances of each failure domain are among those that were heard.
// A domain of which nobody has been heard yet may be cut off and serve under an older table.
func coversAll(nf registrar.InForce, domains []gypsumhoist.FailureDomain) bool {
	for _, fd := range domains {
		if !slices.ContainsFunc(nf.Domains, func(dm registrar.DomainInForce) bool { return dm.Domain == fd }) {
			return false
		}
	}
	return true
}
