package quarantiner_test

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
)

func ExampleQuarantiner() {
	qr := quarantiner.New(quarantiner.Process{Instance: "n1", Boot: 1})
	qr.Start()
	defer qr.Stop()
	info := quarantiner.RequestInfo{Workspace: "school", Route: "/slips", Method: "GET", Target: "/slips?all"}
	ctx := context.Background()
	_, err := qr.Begin(ctx, quarantiner.NewFingerprint(info, nil, 0), nil)
	fmt.Println(err, len(qr.List()))
	qr.UpstreamDied(ctx, 1)
	fmt.Println(len(qr.List()), qr.List()[0].Request.Target)
	// Output:
	// <nil> 0
	// 1 /slips?all
}

var _ = Describe("a fleet", func() {
	poison := request{target: "/bad", body: "poison", poison: true}
	run := func(gossipDelay time.Duration, test func(g *WithT, fl *fleet)) {
		synctest.Test(suiteT, func(t *testing.T) {
			fl := newFleet(6, gossipDelay)
			test(NewWithT(t), fl)
			fl.stop()
		})
	}

	It("loses at most two upstreams to a poison request that is resent to all nodes at once", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			for range 20 {
				fl.sendToAll(poison)
			}
			g.Expect(fl.deaths).To(Equal(2))
			err := fl.nodes[5].send(poison)
			g.Expect(err).To(HaveField("Reason", gypsumhoist.ReasonQuarantined))
			g.Expect(err).To(HaveField("Verdict", gypsumhoist.VerdictNotRun))
			g.Expect(err).To(HaveField("RetryAfter", BeNumerically(">", 9*time.Minute)))
			g.Expect(fl.nodes[5].send(request{target: "/bad", body: "health"})).To(Succeed())
			time.Sleep(11 * time.Minute)
			g.Expect(fl.statusCounts()).To(BeEmpty())
		})
	})

	It("clears the harmless requests that were in flight beside a poison request", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			var harmless []request
			for at := range 20 {
				harmless = append(harmless, request{target: fmt.Sprint("/good/", at), body: "x"})
			}
			for _, rq := range harmless {
				fl.nodes[0].sendAsync(rq)
			}
			synctest.Wait()
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			g.Expect(fl.statusCounts()[quarantiner.StatusSuspect]).To(Equal(6 * 21))
			var results []chan error
			for at, rq := range harmless {
				results = append(results, fl.nodes[at%6].sendAsync(rq), fl.nodes[(at+1)%6].sendAsync(rq))
			}
			fl.sendToAll(poison)
			for _, result := range results {
				g.Expect(<-result).To(Or(Succeed(), MatchError(errBroke)))
			}
			for _, rq := range harmless {
				g.Expect(fl.nodes[3].send(rq)).To(Succeed())
			}
			time.Sleep(time.Second)
			g.Expect(fl.deaths).To(Equal(2))
			g.Expect(fl.statusCounts()).To(Equal(map[quarantiner.Status]int{quarantiner.StatusQuarantined: 6}))
		})
	})

	It("clears a request that completed recently, without a new run", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			hot := request{target: "/hot"}
			g.Expect(fl.nodes[1].send(hot)).To(Succeed())
			fl.nodes[0].sendAsync(hot)
			synctest.Wait()
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			time.Sleep(10 * time.Millisecond)
			g.Expect(fl.statusCounts()[quarantiner.StatusSuspect]).To(Equal(6))
		})
	})

	It("clears an endless request that keeps running, on this node or another", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			endless := request{target: "/board", takes: time.Minute}
			fl.nodes[0].sendAsync(endless)
			synctest.Wait()
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			again := fl.nodes[1].sendAsync(endless)
			time.Sleep(4 * time.Second)
			g.Expect(fl.statusCounts()[quarantiner.StatusSuspect]).To(Equal(12))
			time.Sleep(3 * time.Second)
			g.Expect(fl.statusCounts()[quarantiner.StatusSuspect]).To(Equal(6))
			fl.nodes[2].sendAsync(endless)
			synctest.Wait()
			fl.nodes[2].crash()
			time.Sleep(time.Second)
			g.Expect(fl.statusCounts()[quarantiner.StatusSuspect]).To(Equal(6))
			g.Expect(<-again).To(Succeed())
		})
	})

	It("makes no suspects when a connection broke but the upstream is alive", func() {
		run(0, func(g *WithT, fl *fleet) {
			nd := fl.nodes[0]
			fp := quarantiner.NewFingerprint(quarantiner.RequestInfo{Target: "/x"}, nil, 0)
			flight, err := nd.qr.Begin(context.Background(), fp, nil)
			g.Expect(err).NotTo(HaveOccurred())
			flight.End(quarantiner.EndConnectionBroken)
			nd.qr.UpstreamAlive()
			nd.crash()
			g.Expect(fl.statusCounts()).To(BeEmpty())
		})
	})

	It("lets an operator lift a quarantine at every node", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			g.Expect(fl.nodes[0].send(poison)).To(HaveOccurred())
			g.Expect(fl.nodes[1].send(poison)).To(MatchError(errBroke))
			list := fl.nodes[4].qr.List()
			g.Expect(list).To(HaveLen(1))
			g.Expect(list[0].Deaths).To(HaveLen(2))
			g.Expect(fl.nodes[4].qr.Lift(list[0].ID)).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(fl.statusCounts()).To(BeEmpty())
			g.Expect(fl.nodes[2].send(request{target: "/bad", body: "poison"})).To(Succeed())
			g.Expect(fl.nodes[4].qr.Lift(list[0].ID)).NotTo(Succeed())
			g.Expect(fl.nodes[4].qr.Lift("zz")).NotTo(Succeed())
		})
	})

	It("bounds the upstreams lost on the two sides of a network partition", func() {
		run(100*time.Millisecond, func(g *WithT, fl *fleet) {
			fl.partitioned = func(from, to int) bool { return from/3 != to/3 }
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			fl.setView(fl.nodes[:3], fl.nodes[:3])
			fl.setView(fl.nodes[3:], fl.nodes[3:])
			for range 30 {
				fl.sendToAll(poison)
				time.Sleep(time.Second)
			}
			GinkgoWriter.Printf("deaths in a partition with two sides: %d\n", fl.deaths)
			// The first copies on the other side run at its three nodes at once, before any of them knows of a death.
			g.Expect(fl.deaths).To(BeNumerically("<=", 2+3))
			for _, nd := range fl.nodes {
				g.Expect(nd.qr.List()).To(ConsistOf(HaveField("Status", quarantiner.StatusQuarantined)))
			}
		})
	})

	It("loses at most two upstreams when responses about permits are lost", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			var count atomic.Int64
			fl.dropResponse = func(path string) bool { return !strings.HasSuffix(path, "Tell") && count.Add(1)%2 == 0 }
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			for range 20 {
				fl.sendToAll(poison)
				time.Sleep(time.Second)
			}
			g.Expect(fl.deaths).To(Equal(2))
		})
	})

	It("counts the failure of a node that holds a permit as a death", func() {
		run(500*time.Millisecond, func(g *WithT, fl *fleet) {
			g.Expect(fl.nodes[0].send(poison)).To(MatchError(errBroke))
			fp := quarantiner.NewFingerprint(poison.info(), nil, 6)
			_, err := fl.nodes[1].qr.Begin(context.Background(), fp, []byte(poison.body))
			g.Expect(err).NotTo(HaveOccurred())
			for _, nd := range fl.nodes[2:] {
				nd.qr.InstanceFailed("n1")
			}
			fl.nodes[0].qr.InstanceFailed("n1")
			time.Sleep(time.Second)
			g.Expect(fl.nodes[2].send(poison)).To(HaveField("Reason", gypsumhoist.ReasonQuarantined))
			g.Expect(fl.deaths).To(Equal(1))
		})
	})
})

var _ = Describe("notices", func() {
	It("give the same state in any order and with any repeats", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			notices := rapid.SliceOfN(rapid.Custom(drawNotice), 1, 12).Draw(rt, "notices")
			var states []map[string][]quarantiner.Process
			for range 3 {
				co := quarantiner.NewCore(quarantiner.Process{Instance: "n"}, 0)
				for _, nt := range rapid.Permutation(append(notices, notices...)).Draw(rt, "order") {
					payload, err := quarantiner.Encode(nt)
					if err != nil || len(payload) > quarantiner.RumorMax {
						rt.Fatalf("%d bytes, %v", len(payload), err)
					}
					back, err := quarantiner.Decode(payload)
					if err != nil {
						rt.Fatal(err)
					}
					co.Merge(0, back, time.Minute)
				}
				state := map[string][]quarantiner.Process{}
				for _, en := range co.List(0) {
					state[en.ID] = en.Deaths
				}
				states = append(states, state)
			}
			NewWithT(rt).Expect(states[1:]).To(HaveEach(states[0]))
		})
	})
})

func drawNotice(rt *rapid.T) quarantiner.Notice {
	head := quarantiner.Head{rapid.ByteMax(2).Draw(rt, "head")}
	epoch := rapid.Uint32Max(2).Draw(rt, "epoch")
	if rapid.Bool().Draw(rt, "lift") {
		return quarantiner.Lift{Head: head, Epoch: 1 + epoch, Cause: quarantiner.CauseOperator}
	}
	process := quarantiner.Process{Instance: gypsumhoist.Instance(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "instance")), Boot: 1}
	return quarantiner.Death{Process: process, Suspects: []quarantiner.Suspect{{Head: head, Epoch: epoch}}}
}

func FuzzDecode(f *testing.F) {
	payload, _ := quarantiner.Encode(quarantiner.Death{
		Process: quarantiner.Process{Instance: "a", Boot: 1}, Suspects: []quarantiner.Suspect{{Prefix: 3}},
	})
	f.Add(payload)
	f.Fuzz(func(t *testing.T, payload []byte) {
		nt, err := quarantiner.Decode(payload)
		if err != nil {
			return
		}
		again, err := quarantiner.Encode(nt)
		if err != nil {
			t.Fatal(err)
		}
		if back, err := quarantiner.Decode(again); len(again) <= quarantiner.RumorMax && (err != nil || !reflect.DeepEqual(back, nt)) {
			t.Fatalf("%v comes back as %v, %v", nt, back, err)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	for _, suspects := range []int{0, 4096} {
		b.Run(fmt.Sprintf("suspects=%d", suspects), func(b *testing.B) {
			qr := quarantiner.New(quarantiner.Process{Instance: "n", Boot: 1})
			for at := range suspects {
				payload, _ := quarantiner.Encode(quarantiner.Death{
					Process:  quarantiner.Process{Instance: "a", Boot: 1},
					Suspects: []quarantiner.Suspect{{Head: quarantiner.Head{byte(at), byte(at >> 8)}}},
				})
				_ = qr.MergeRumor(payload, time.Hour)
			}
			info := quarantiner.RequestInfo{Workspace: "school", Route: "/slips", Method: "GET", Target: "/slips?all"}
			header := http.Header{"Accept": {"application/json"}, "User-Agent": {"test"}}
			ctx := context.Background()
			b.ReportAllocs()
			for b.Loop() {
				fp := quarantiner.NewFingerprint(info, header, 0)
				if qr.NeedsBody(fp) != 0 {
					b.Fatal("needs a body")
				}
				fl, err := qr.Begin(ctx, fp, nil)
				if err != nil {
					b.Fatal(err)
				}
				fl.End(quarantiner.EndCompleted)
			}
		})
	}
}
