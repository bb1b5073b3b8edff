package gossiper_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

const (
	// convergenceTime covers the slowest way by which the protocol converges again.
	convergenceTime = 100 * time.Second
	// rumorTTL outlasts every schedule.
	rumorTTL = 24 * time.Hour
)

// applyRandomStep applies one random fault or message to a random node, then advances the time.
func applyRandomStep(rt *rapid.T, sim *simulation, domains int) {
	sn := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(rt, "node")]
	switch kind := rapid.SampledFrom([]string{
		"crash", "restart", "pause", "leave", "stop", "announce", "rumor", "watch",
		"isolate", "one way", "cut domain", "cut two", "heal", "loss", "wait",
	}).Draw(rt, "kind"); kind {
	case "crash":
		sim.crash(sn)
	case "restart":
		sim.start(sn)
	case "pause":
		sn.pausedUntil = sim.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(rt, "seconds")) * time.Second)
	case "leave":
		sim.input(sn, gossiper.Leaving{})
	case "stop":
		sim.input(sn, gossiper.Left{})
		sim.advance(10 * time.Millisecond)
		sim.crash(sn)
	case "announce":
		up := gossiper.Upstream{Service: "rosters", State: gossiper.UpstreamReady, Slots: rapid.IntRange(1, 9).Draw(rt, "slots")}
		sim.input(sn, gossiper.Announced{Upstream: up})
	case "rumor":
		version := rapid.Uint64Range(1, 9).Draw(rt, "version")
		sim.input(sn, gossiper.RumorAdded{Rumor: gossiper.Rumor{Topic: "t", Key: "k", Version: version, TTL: rumorTTL}})
	case "watch":
		sim.input(sn, gossiper.Watched{Service: "rosters"})
	case "isolate":
		sim.setPartitioned([]*simNode{sn}, sim.nodes, true)
	case "one way":
		sim.partitioned[[2]int{sn.index, rapid.IntRange(0, len(sim.nodes)-1).Draw(rt, "to")}] = true
	case "cut domain":
		sim.setPartitioned(sim.inDomain(sn.domain, true), sim.inDomain(sn.domain, false), true)
	case "cut two":
		other := domainName(rapid.IntRange(0, domains-1).Draw(rt, "domain"))
		if other != sn.domain {
			sim.setPartitioned(sim.inDomain(sn.domain, true), sim.inDomain(other, true), true)
		}
	case "heal":
		clear(sim.partitioned)
	case "loss":
		sim.lossRate = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
	}
	sim.advance(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
}

// ensureSeed starts a seed if none runs: without one, instances that all restarted can't find each other.
func (sim *simulation) ensureSeed() {
	for _, seed := range sim.seeds {
		if sn := sim.nodeAt(seed); sn.core != nil && sn.core.Self().Status != gossiper.StatusLeft {
			return
		}
	}
	sim.start(sim.nodes[0])
}

// inDomain returns the nodes inside, or outside, of a domain.
func (sim *simulation) inDomain(fd gypsumhoist.FailureDomain, inside bool) []*simNode {
	var out []*simNode
	for _, sn := range sim.nodes {
		if (sn.domain == fd) == inside {
			out = append(out, sn)
		}
	}
	return out
}

// differences lists the violations so far and where views differ from the state of the fleet after all faults have ended.
func (sim *simulation) differences() []string {
	out := sim.violations
	for _, sn := range sim.nodes {
		if sn.core == nil || sn.core.Self().Status == gossiper.StatusLeft {
			continue
		}
		vw := sn.core.View()
		for _, other := range sim.nodes {
			if why := sim.difference(sn, other, vw); why != "" {
				out = append(out, fmt.Sprintf("n%d of %s about n%d of %s: %s", sn.index, sn.domain, other.index, other.domain, why))
			}
		}
	}
	return append(out, sim.rumorDifferences()...)
}

func (sim *simulation) difference(sn, other *simNode, vw *gossiper.View) string {
	in := gypsumhoist.Instance(fmt.Sprintf("n%d", other.index))
	mb, ok := vw.Member(in)
	if other.core == nil {
		if ok && mb.Status != gossiper.StatusUnreachable && sn.domain == other.domain {
			return "crashed but " + mb.Status.String()
		}
		return ""
	}
	is := other.core.Self()
	wants := sn.domain == other.domain || is.Bridge
	for _, svc := range sn.core.Self().Watches {
		wants = wants || is.Upstream.Service == svc
	}
	switch {
	case !ok && wants:
		return "not known"
	case !wants && ok:
		return "known though not needed"
	case !wants:
		return ""
	case mb.Status != gossiper.StatusAlive:
		return "alive but " + mb.Status.String()
	case mb.Incarnation != is.Incarnation || mb.Boot != is.Boot:
		return "outdated record"
	case mb.Upstream != is.Upstream || mb.Leaving != is.Leaving:
		return "different values"
	}
	for _, dm := range vw.Domains() {
		if dm.Name == other.domain && !dm.Reachable {
			return "domain is unreachable"
		}
	}
	return ""
}

func (sim *simulation) rumorDifferences() []string {
	var out []string
	best := uint64(0)
	for _, sn := range sim.nodes {
		if sn.core != nil {
			for _, rm := range sn.core.Rumors("t") {
				best = max(best, rm.Version)
			}
		}
	}
	for _, sn := range sim.nodes {
		if sn.core == nil || best == 0 {
			continue
		}
		if rms := sn.core.Rumors("t"); len(rms) != 1 || rms[0].Version != best {
			out = append(out, fmt.Sprintf("n%d has rumors %v, want version %d", sn.index, rms, best))
		}
	}
	return out
}

var _ = Describe("Cores", func() {
	It("converge after any schedule of crashes, restarts, leaving instances, packet losses and network partitions", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			domains := rapid.IntRange(1, 3).Draw(rt, "domains")
			size := rapid.IntRange(domains, 9).Draw(rt, "size")
			sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), size, domains)
			sim.advance(2 * time.Second)
			for range rapid.IntRange(0, 12).Draw(rt, "steps") {
				applyRandomStep(rt, sim, domains)
			}
			clear(sim.partitioned)
			sim.lossRate = 0
			sim.ensureSeed()
			sim.advance(convergenceTime)
			if diffs := sim.differences(); len(diffs) > 0 {
				rt.Fatalf("%q", diffs)
			}
		})
	})
})
