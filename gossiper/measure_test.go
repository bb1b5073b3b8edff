package gossiper_test

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// maxBytesPerSecond is how many bytes a node may send per second for all of its control traffic.
const maxBytesPerSecond = 16 << 10

var fleetSizes = flag.String("fleets", "8", "sizes of the fleets that TestMeasureFleet runs, separated by commas")

// TestMeasureFleet prints the traffic and processor time of a node, on the emulated network with its HTTP/2 frames.
// Each node has an upstream whose load changes every second, and watches one service.
func TestMeasureFleet(t *testing.T) {
	for _, txt := range strings.Split(*fleetSizes, ",") {
		size, err := strconv.Atoi(txt)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measureFleet(t, size) })
	}
}

func measureFleet(t *testing.T, size int) {
	const settle, span = 40 * time.Second, 60 * time.Second
	g := NewWithT(t)
	fl := newFleet(size, 4)
	defer fl.stop()
	for ix, nd := range fl.nodes {
		nd.Watch(gypsumhoist.Service(fmt.Sprintf("s%d", (ix+1)%4)))
	}
	joined := await(g, "join", 10*time.Second, fl.joined)
	fl.load(settle)
	var sent, writes, most uint64
	before := make([]uint64, size)
	for ix, nd := range fl.nodes {
		before[ix] = nd.host.Sent()
		writes -= nd.host.Writes()
	}
	cpu := cpuTime()
	fl.load(span)
	cpu = cpuTime() - cpu
	for ix, nd := range fl.nodes {
		bytes := nd.host.Sent() - before[ix]
		sent += bytes
		most = max(most, bytes)
		writes += nd.host.Writes()
	}
	secs := uint64(span / time.Second)
	t.Logf("%4d nodes, 4 domains: joined in %v; per node and second: %d bytes sent (most %d), %.1f writes, %v processor time; %v",
		size, joined, sent/secs/uint64(size), most/secs, float64(writes)/float64(secs)/float64(size),
		cpu/time.Duration(size)/time.Duration(secs), runtime.Version())
	g.Expect(most / secs).To(BeNumerically("<", maxBytesPerSecond))
}

// load changes the load of every upstream each second for a time.
func (fl *fleet) load(span time.Duration) {
	for sec := range int(span / time.Second) {
		for ix, nd := range fl.nodes {
			nd.Announce(gossiper.Upstream{
				Service: gypsumhoist.Service(fmt.Sprintf("s%d", ix%4)),
				State:   gossiper.UpstreamReady,
				Slots:   20,
				Load:    (sec*200 + ix*100) % 1000,
			})
		}
		time.Sleep(time.Second)
	}
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

var simulationSize = flag.Int("world", 0, "number of nodes that TestMeasureWorld simulates, in 24 domains and 410 services")

// TestMeasureWorld prints what cores send in a simulated fleet of the size given by -world; without it the fleet is small.
func TestMeasureWorld(t *testing.T) {
	size, services := max(*simulationSize, 24), 410
	sim := newSimulation(1, size, min(24, size/8))
	sim.packetSize = gossiper.WireSize
	for ix, sn := range sim.nodes {
		up := gossiper.Upstream{Service: gypsumhoist.Service(fmt.Sprintf("service-%d", ix%services)), State: gossiper.UpstreamReady, Slots: 20}
		sim.input(sn, gossiper.Announced{Upstream: up})
		for jx := range 4 {
			sim.input(sn, gossiper.Watched{Service: gypsumhoist.Service(fmt.Sprintf("service-%d", (ix*7+jx*13)%services))})
		}
	}
	sim.measureSpan(t, "the first 10 s", 10*time.Second)
	sim.measureSpan(t, "the next 30 s", 30*time.Second)
	sim.measureSpan(t, "30 s at rest", 30*time.Second)
	leaver := sim.nodes[size-1]
	from := sim.now
	sim.input(leaver, gossiper.Leaving{})
	for !sim.knownLeaving(leaver) && sim.now.Sub(from) < 5*time.Second {
		sim.advance(10 * time.Millisecond)
	}
	t.Logf("leaving known to all nodes that keep the member after %v", sim.now.Sub(from))
	sim.measureSpan(t, "10 s after an instance leaves", 10*time.Second)
	var took []time.Duration
	for ix := range 5 {
		took = append(took, sim.timeCrash(sim.nodes[size-2-ix*5]))
	}
	t.Logf("silent crashes known to the whole domain after %v", took)
}

// timeCrash crashes an instance and returns how long it takes until all of its domain know.
func (sim *simulation) timeCrash(dead *simNode) time.Duration {
	in := dead.core.Self().Instance
	from := sim.now
	sim.crash(dead)
	known := func() bool {
		for _, sn := range sim.inDomain(dead.domain, true) {
			if sn.core == nil {
				continue
			}
			if mb, ok := sn.core.View().Member(in); ok && mb.Status != gossiper.StatusUnreachable {
				return false
			}
		}
		return true
	}
	for !known() && sim.now.Sub(from) < 10*time.Second {
		sim.advance(10 * time.Millisecond)
	}
	return sim.now.Sub(from)
}

func (sim *simulation) measureSpan(t *testing.T, what string, span time.Duration) {
	for _, sn := range sim.nodes {
		sn.sentBytes, sn.sentPackets = 0, 0
	}
	cpu := cpuTime()
	for range int(span / time.Second) {
		for ix, sn := range sim.nodes {
			up := sn.core.Self().Upstream
			up.Load = sim.rand.IntN(1000)
			if (ix+int(sim.now.Unix()))%2 == 0 {
				sim.input(sn, gossiper.Announced{Upstream: up})
			}
		}
		sim.advance(time.Second)
	}
	cpu = cpuTime() - cpu
	secs := int(span / time.Second)
	var nodes, bridges usage
	for _, sn := range sim.nodes {
		if sn.core.Self().Bridge {
			bridges.add(sn)
		} else {
			nodes.add(sn)
		}
	}
	t.Logf("%d nodes, %s: per second, nodes %s; bridges %s; processor time per node %v",
		len(sim.nodes), what, nodes.per(secs), bridges.per(secs), cpu/time.Duration(len(sim.nodes)*secs))
}

type usage struct{ count, bytes, maxBytes, packets, members int }

func (us *usage) add(sn *simNode) {
	us.count++
	us.bytes += sn.sentBytes
	us.maxBytes = max(us.maxBytes, sn.sentBytes)
	us.packets += sn.sentPackets
	us.members += len(sn.core.View().Members())
}

func (us *usage) per(secs int) string {
	return fmt.Sprintf("%d bytes (most %d) in %.1f packets, %d members in view",
		us.bytes/us.count/secs, us.maxBytes/secs, float64(us.packets)/float64(us.count)/float64(secs), us.members/us.count)
}

// knownLeaving reports whether every node that shows a member shows it as leaving.
func (sim *simulation) knownLeaving(leaver *simNode) bool {
	in := leaver.core.Self().Instance
	for _, sn := range sim.nodes {
		if mb, ok := sn.core.View().Member(in); ok && !mb.Leaving {
			return false
		}
	}
	return true
}

// TestMeasureState prints the memory that the records of a node and of a bridge take.
func TestMeasureState(t *testing.T) {
	for _, size := range []int{120, 1200, 5100} {
		for _, bridge := range []bool{false, true} {
			before := heapBytes()
			cr, _ := newFullCore(size, bridge)
			t.Logf("%d nodes, bridge %v: %d KB, %d members in view", size, bridge, (heapBytes()-before)>>10, len(cr.View().Members()))
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
