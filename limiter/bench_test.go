package limiter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

func benchRows(count int, rate registrar.Rate, burst int64) []*registrar.Row {
	rows := make([]*registrar.Row, count)
	for ix := range rows {
		rows[ix] = freshRow(rate, burst)
		rows[ix].Route = fmt.Sprintf("/service-%d/things", ix)
	}
	return rows
}

// BenchmarkSpend measures a request that finds a token at its node.
func BenchmarkSpend(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rows=%d", count), func(b *testing.B) {
			fl := newFleet(1, 1)
			defer fl.stop()
			fl.setTable(1)
			time.Sleep(100 * time.Millisecond)
			rows := benchRows(count, 1e12, 1e9)
			fl.setTable(2, rows...)
			time.Sleep(time.Second)
			lm, ctx := fl.members[0].lm, context.Background()
			refused := 0
			for at := 0; b.Loop(); at++ {
				if lm.Spend(ctx, rows[at%count], 1) != nil {
					refused++
				}
			}
			b.ReportMetric(float64(refused), "refused")
		})
	}
}

// BenchmarkNodeBucketSpend measures a NodeBucket alone that always holds tokens.
func BenchmarkNodeBucketSpend(b *testing.B) {
	nb := limiter.NewNodeBucket("n", rowKey)
	now := start
	b.ReportAllocs()
	for at := 0; b.Loop(); at++ {
		if nb.Spend(now) {
			continue
		}
		nb.Wait(now, uint64(at), 1, 9)
		req, _ := nb.NextRequest(now, uint64(at))
		nb.Granted(now, 1, limiter.Grant{Key: rowKey, ID: req.ID, Amount: 1 << 20})
		nb.Settlements(now)
	}
}

// BenchmarkDomainBucketTake measures a token request and its settlement at a DomainBucket of many rows.
func BenchmarkDomainBucketTake(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rows=%d", count), func(b *testing.B) {
			rows := benchRows(count, 1, 1)
			db := limiter.NewDomainBucket("d0", limiter.Lease{Epoch: 1, Since: start}, rand.New(rand.NewPCG(1, 1)))
			db.SetDomains(domainNames)
			for _, rw := range rows {
				db.SetShare(start, limiter.KeyOf(rw), limiter.Share{Rate: limiter.Whole(1e9), Burst: limiter.Whole(1e6), FleetRate: limiter.Whole(3e9)}, false)
			}
			now := start.Add(settleTime)
			b.ReportAllocs()
			for at := 0; b.Loop(); at++ {
				now = now.Add(time.Microsecond)
				rk := limiter.KeyOf(rows[at%count])
				db.Take(now, limiter.TokenRequest{Key: rk, Node: "n", ID: uint64(at), Want: 10, Waiting: 10})
				db.Settle(now, limiter.Settlement{Key: rk, Node: "n", Epoch: 1, ID: uint64(at), Spent: 10})
				db.Effects()
			}
		})
	}
}

// BenchmarkMessages reports the messages per second that one row costs at a given rate, in virtual time.
// The domain's burst is what the rate adds in one second; the load is 0.9 of the rate.
func BenchmarkMessages(b *testing.B) {
	for _, domains := range []int{3, 4, 24} {
		for _, rate := range []registrar.Rate{10_000, 100_000, 1_000_000} {
			for at, name := range []string{"node", "domain", "everywhere"} {
				b.Run(fmt.Sprintf("domains=%d/rate=%d/from=%s", domains, rate/1000, name), func(b *testing.B) {
					var sim *simulation
					var cl *conformingLoad
					for b.Loop() {
						sim, cl = runConforming(1, domains, 5, rate, int64(rate/1000), picks[at], maxSafeLoad)
					}
					slices.Sort(sim.waits)
					seconds := sim.now.Sub(start).Seconds() - 3
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(sim.messages["take"])/seconds, "takes/s")
					b.ReportMetric(float64(sim.messages["transfer"])/seconds, "transfers/s")
					b.ReportMetric(float64(cl.sent)/seconds, "calls/s")
					b.ReportMetric(float64(sim.refused), "refused")
					b.ReportMetric(float64(sim.waits[len(sim.waits)/2].Microseconds()), "p50_us")
					b.ReportMetric(float64(sim.waits[len(sim.waits)*99/100].Microseconds()), "p99_us")
					b.ReportMetric(float64(sim.waits[len(sim.waits)-1].Microseconds()), "max_us")
				})
			}
		}
	}
}

// BenchmarkSetTable measures a change of one row in tables of 10 to 1,000 rows.
func BenchmarkSetTable(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rows=%d", count), func(b *testing.B) {
			rows := benchRows(count, 1000, 50)
			tb := limiter.Table{Domains: domainNames, DomainsRevision: 1}
			for _, rw := range rows {
				tb.Rows = append(tb.Rows, limiter.Entry{Row: rw, Revision: 1})
			}
			pl := limiter.NewPlan("d0")
			for b.Loop() {
				tb.Revision++
				tb.Confirmed = tb.Revision - 1
				tb.Rows[0].Revision = tb.Revision
				tb.Rows[0].Row.Rate++
				tb.Rows[0].Row.Number++
				pl.SetTable(tb)
			}
		})
	}
}

// BenchmarkDomainBucketSweep measures the rebalance of the rows in use, which runs every 20 ms.
func BenchmarkDomainBucketSweep(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("rows=%d", count), func(b *testing.B) {
			db := limiter.NewDomainBucket("d0", limiter.Lease{Epoch: 1, Since: start}, rand.New(rand.NewPCG(1, 1)))
			db.SetDomains(domainNames)
			now := start.Add(settleTime)
			rows := benchRows(count, 1, 1)
			for _, rw := range rows {
				db.SetShare(start, limiter.KeyOf(rw), limiter.Share{Rate: limiter.Whole(100), Burst: limiter.Whole(100), FleetRate: limiter.Whole(300)}, false)
				db.Take(now, limiter.TokenRequest{Key: limiter.KeyOf(rw), Node: "n", ID: 1, Want: 1, Waiting: 1})
			}
			for at := 0; b.Loop(); at++ {
				now = now.Add(20 * time.Millisecond)
				if at%400 == 399 { // rows count as in use for 10 s after a request
					for _, rw := range rows {
						db.Take(now, limiter.TokenRequest{Key: limiter.KeyOf(rw), Node: "n", ID: uint64(at), Want: 1, Waiting: 1})
					}
				}
				db.Tick(now)
				db.Effects()
			}
		})
	}
}

// BenchmarkRefusals reports how many requests are refused of a load that uses a part of what its row allows.
// With a part of 1 each token is taken as soon as a single bucket for the fleet would hold it.
func BenchmarkRefusals(b *testing.B) {
	for _, part := range []float64{maxSafeLoad, 1} {
		for _, domains := range []int{1, 3, 4} {
			for _, burst := range []int64{2, 5, 30, 200} {
				b.Run(fmt.Sprintf("part=%v/domains=%d/burst=%d", part, domains, burst), func(b *testing.B) {
					var refused, all int
					for b.Loop() {
						refused, all = refusals(domains, burst, part)
					}
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(refused), "refused")
					b.ReportMetric(float64(all), "requests")
				})
			}
		}
	}
}

// refusals sums up simulations of three rates, three ways to pick nodes and three seeds.
func refusals(domains int, burst int64, part float64) (int, int) {
	var refused, all int
	for _, rate := range []registrar.Rate{2_000, 20_000, 200_000} {
		for _, pick := range picks {
			for seed := range uint64(3) {
				sim, cl := runConforming(seed, domains, 5, rate, burst, pick, part)
				refused += sim.refused + sim.unavailable
				all += cl.sent
			}
		}
	}
	return refused, all
}

// BenchmarkFaults reports the refusals of a load spread evenly at half the row's rate while one domain is cut off
// for 2 s, or loses its leader and gets the next one after 1 s.
func BenchmarkFaults(b *testing.B) {
	faults := map[string]func(sim *simulation){
		"cut":    func(sim *simulation) { sim.partition(sim.domains[0], 2*time.Second) },
		"leader": func(sim *simulation) { sim.crash(sim.domains[0], time.Second, 0, false) },
	}
	for name, inject := range faults {
		for _, rate := range []registrar.Rate{20_000, 200_000, 1_000_000} {
			b.Run(fmt.Sprintf("%s/rate=%d", name, rate/1000), func(b *testing.B) {
				for b.Loop() {
					sim := newSimulation(1, defectNone)
					sim.populate(3, 5)
					sim.publish(sim.tableOf(rate, int64(rate/1000), 3), func() time.Duration { return 0 })
					cl := &conformingLoad{sim: sim, rate: float64(rate) / 2000, burst: 1, pick: func() *node { return everywhere(sim) }}
					cl.at, cl.until = start.Add(3*time.Second), start.Add(10*time.Second)
					sim.schedule(3*time.Second, cl.step)
					sim.schedule(5*time.Second, func() { inject(sim) })
					sim.run(12 * time.Second)
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(float64(sim.refused), "refused")
					b.ReportMetric(float64(sim.unavailable), "unavailable")
					b.ReportMetric(float64(cl.sent), "requests")
				}
			})
		}
	}
}
