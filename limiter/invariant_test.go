package limiter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var domainNames = []gypsumhoist.FailureDomain{"d0", "d1", "d2"}

const settleTime = 10 * time.Minute

// fullBucket returns a full bucket of d0 whose share is 100 tokens and 100 per second.
func fullBucket() (*limiter.DomainBucket, time.Time) {
	db := limiter.NewDomainBucket("d0", limiter.Lease{Epoch: 1, Since: start}, rand.New(rand.NewPCG(1, 1)))
	db.SetDomains(domainNames)
	db.SetShare(start, rowKey, limiter.Share{Rate: limiter.Whole(100), Burst: limiter.Whole(100), FleetRate: limiter.Whole(300)}, false)
	return db, start.Add(settleTime)
}

func grantOf(db *limiter.DomainBucket) limiter.Grant {
	for _, ef := range db.Effects() {
		if gr, ok := ef.(limiter.GrantEffect); ok {
			return gr.Grant
		}
	}
	return limiter.Grant{Amount: -1}
}

func take(db *limiter.DomainBucket, now time.Time, id uint64, count int64) limiter.Grant {
	db.Take(now, limiter.TokenRequest{Key: rowKey, Node: "n", ID: id, Want: count, Waiting: count})
	return grantOf(db)
}

func transferRequests(db *limiter.DomainBucket) []limiter.TransferEffect {
	var requests []limiter.TransferEffect
	for _, ef := range db.Effects() {
		if te, ok := ef.(limiter.TransferEffect); ok {
			requests = append(requests, te)
		}
	}
	return requests
}

var _ = Describe("invariants behind the bound", func() {
	It("counts tokens as outstanding with a node until they are spent or their hold time has passed", func() {
		db, now := fullBucket()
		Expect(take(db, now, 1, 20).Amount).To(Equal(int64(20)))
		Expect(db.Level(now.Add(300*time.Millisecond), rowKey)).To(Equal(limiter.Whole(80)))
		db.Settle(now.Add(300*time.Millisecond), limiter.Settlement{Key: rowKey, Node: "n", Epoch: 1, ID: 1, Spent: 5})
		Expect(db.Level(now.Add(355*time.Millisecond), rowKey)).To(Equal(limiter.Whole(85)))
		Expect(db.Level(now.Add(time.Second), rowKey)).To(Equal(limiter.Whole(100)))
	})

	It("counts a settlement that arrives twice only once", func() {
		db, now := fullBucket()
		take(db, now, 1, 20)
		for range 2 {
			db.Settle(now, limiter.Settlement{Key: rowKey, Node: "n", Epoch: 1, ID: 1, Returned: 5})
		}
		Expect(db.Level(now, rowKey)).To(Equal(limiter.Whole(85)))
	})

	It("counts transfers as outstanding until they are kept or their hold time has passed", func() {
		db, now := fullBucket()
		tf := db.Transfer(now, limiter.TransferRequest{Key: rowKey, From: "d1", ID: 7, Want: limiter.Whole(20)})
		Expect(tf.Amount).To(Equal(limiter.Whole(20)))
		Expect(db.Level(now.Add(300*time.Millisecond), rowKey)).To(Equal(limiter.Whole(80)))
		db.SettleTransfer(now.Add(300*time.Millisecond), limiter.TransferSettlement{
			Key: rowKey, From: "d1", Epoch: 1, ID: 7, Kept: limiter.Whole(5), Returned: limiter.Whole(10),
		})
		Expect(db.Level(now.Add(300*time.Millisecond), rowKey)).To(Equal(limiter.Whole(90)))
		Expect(db.Level(now.Add(time.Second), rowKey)).To(Equal(limiter.Whole(100)))
	})

	It("has at most a quarter of a share outstanding at a time", func() {
		db, now := fullBucket()
		Expect(take(db, now, 1, 90).Amount).To(Equal(int64(25)))
		Expect(db.Transfer(now, limiter.TransferRequest{Key: rowKey, From: "d1", ID: 7, Want: limiter.Whole(90)}).Amount).To(BeZero())
	})

	It("doesn't use a transfer that arrives after its life", func() {
		for _, late := range []bool{false, true} {
			db, now := fullBucket()
			db.SetShare(now, rowKey, limiter.Share{FleetRate: limiter.Whole(300)}, false)
			db.Take(now, limiter.TokenRequest{Key: rowKey, Node: "n", ID: 1, Want: 1, Waiting: 1})
			te := transferRequests(db)[0]
			at := now.Add(5 * time.Millisecond)
			if late {
				at = now.Add(160 * time.Millisecond)
			}
			db.Received(at, te.To, limiter.Transfer{Key: rowKey, Epoch: 3, ID: te.Request.ID, Amount: limiter.One})
			Expect(grantOf(db).Amount == 1).To(Equal(!late))
		}
	})

	It("doesn't spend a node's token after its life, which begins with the request", func() {
		for _, late := range []bool{false, true} {
			nb := limiter.NewNodeBucket("n", rowKey)
			nb.Wait(start, 1, 1, 9)
			_, ok := nb.NextRequest(start, 5)
			Expect(ok).To(BeTrue())
			at := start.Add(200 * time.Millisecond)
			if late {
				at = start.Add(250 * time.Millisecond)
			}
			releases := nb.Granted(at, 1, limiter.Grant{Key: rowKey, ID: 5, Amount: 1})
			Expect(releases).To(Equal([]limiter.Release{{ID: 1, Granted: !late}}))
		}
	})

	It("never holds more than its share of the burst, and returns received tokens that no request waits for", func() {
		db, now := fullBucket()
		take(db, now, 1, 25)
		db.Settle(now, limiter.Settlement{Key: rowKey, Node: "n", Epoch: 1, ID: 1, Spent: 25})
		requests := transferRequests(db)
		Expect(requests).NotTo(BeEmpty())
		db.Received(now, requests[0].To, limiter.Transfer{Key: rowKey, Epoch: 3, ID: requests[0].Request.ID, Amount: limiter.Whole(60)})
		Expect(db.Level(now, rowKey)).To(Equal(limiter.Whole(100)))
		var settled limiter.TransferSettlement
		for _, ef := range db.Effects() {
			if se, ok := ef.(limiter.SettleEffect); ok {
				settled = se.Settlement
			}
		}
		Expect(settled.Kept).To(Equal(limiter.Whole(25)))
		Expect(settled.Returned).To(Equal(limiter.Whole(35)))
	})

	It("starts a new leader empty, with three quarters of the capacity until MaxTokenHold has passed", func() {
		db, _ := fullBucket()
		Expect(db.Level(start, rowKey)).To(BeZero())
		Expect(take(db, start.Add(100*time.Millisecond), 1, 1).Amount).To(Equal(int64(-1)))
		db.SetShare(start.Add(100*time.Millisecond), rowKey, limiter.Share{Rate: limiter.Whole(10_000), Burst: limiter.Whole(100)}, false)
		Expect(db.Level(start.Add(limiter.MaxTokenHold-time.Millisecond), rowKey)).To(BeNumerically("<=", limiter.Whole(75)))
		Expect(db.Level(start.Add(limiter.MaxTokenHold+time.Millisecond), rowKey)).To(BeNumerically(">", limiter.Whole(75)))
	})

	It("grants tokens at once after a change of leaders if leases are longer than MaxTokenHold", func() {
		db := limiter.NewDomainBucket("d0", limiter.Lease{Epoch: 2, Since: start, MinLease: limiter.MaxTokenHold}, rand.New(rand.NewPCG(1, 1)))
		db.SetShare(start, rowKey, limiter.Share{Rate: limiter.Whole(100), Burst: limiter.Whole(100)}, false)
		Expect(take(db, start.Add(100*time.Millisecond), 1, 1).Amount).To(Equal(int64(1)))
	})

	It("starts a row full only if it is new and was added during the lease", func() {
		share := limiter.Share{Rate: limiter.One, Burst: limiter.Whole(8)}
		level := func(asOf time.Time, isNew bool) limiter.Amount {
			db := limiter.NewDomainBucket("d0", limiter.Lease{Epoch: 1, Since: start}, rand.New(rand.NewPCG(1, 1)))
			db.SetComplete(asOf)
			db.SetShare(start.Add(settleTime), rowKey, share, isNew)
			return db.Level(start.Add(settleTime), rowKey)
		}
		Expect(level(start, true)).To(Equal(share.Burst))
		Expect(level(start.Add(-time.Millisecond), true)).To(BeZero())
		Expect(level(start, false)).To(BeZero())
		Expect(level(time.Time{}, true)).To(BeZero())
	})

	It("gives a row that was deleted and added again no more tokens than it had", func() {
		db, now := fullBucket()
		share := limiter.Share{Rate: limiter.One, Burst: limiter.Whole(8)}
		db.SetComplete(now)
		db.RevokeShares(now, func(limiter.RowKey) bool { return false })
		Expect(db.Level(now, rowKey)).To(BeZero())
		db.SetShare(now, rowKey, share, true)
		Expect(db.Level(now, rowKey)).To(BeZero())
	})
})

func TestSplitSumsToTheRow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rw := row(registrar.Rate(rapid.Int64Range(0, 1e9).Draw(rt, "rate")), rapid.Int64Range(0, 1e9).Draw(rt, "burst"))
		rw.Route = rapid.String().Draw(rt, "route")
		count := rapid.IntRange(1, 24).Draw(rt, "domains")
		var names []gypsumhoist.FailureDomain
		for ix := range count {
			names = append(names, gypsumhoist.FailureDomain(rune('a'+ix)))
		}
		var rate, burst limiter.Amount
		for _, sh := range limiter.Split(rw, names) {
			rate, burst = rate+sh.Rate, burst+sh.Burst
			if sh.Burst%limiter.One != 0 || (sh.Burst == 0 && sh.Rate > 0) {
				rt.Fatalf("the burst is not whole, or there is a rate without a burst: %+v", sh)
			}
		}
		if rw.Burst == 0 || rw.Rate == 0 {
			rw.Burst, rw.Rate = 0, 0
		}
		if burst != limiter.Whole(rw.Burst) || rate != limiter.Amount(rw.Rate)*1000 {
			rt.Fatalf("the shares of a row with rate %d and burst %d add up to %d and %d", rw.Rate, rw.Burst, rate, burst)
		}
	})
}

// TestSharesOfMixedTablesStayWithinOneOfThem has tables reach each domain in order but at arbitrary times;
// confirmations arrive late or never.
func TestSharesOfMixedTablesStayWithinOneOfThem(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(rt, "tables")
		var tables []limiter.Table
		var number, domainsRevision uint64
		for ix := range count {
			tb := limiter.Table{Revision: uint64(ix + 1), Domains: domainNames[:rapid.IntRange(1, 3).Draw(rt, "domains")]}
			if ix == 0 || len(tb.Domains) != len(tables[ix-1].Domains) {
				domainsRevision = tb.Revision
			}
			tb.DomainsRevision = domainsRevision
			rate, burst := rapid.Int64Range(0, 3000).Draw(rt, "rate"), rapid.Int64Range(0, 7).Draw(rt, "burst")
			if rapid.IntRange(0, 4).Draw(rt, "kind") > 0 {
				number++
				tb.Rows = []limiter.Entry{{Row: row(registrar.Rate(rate), burst), Revision: tb.Revision}}
				tb.Rows[0].Row.Number = number
			}
			tables = append(tables, tb)
		}
		plans := map[gypsumhoist.FailureDomain]*limiter.Plan{}
		at := map[gypsumhoist.FailureDomain]int{}
		for _, dm := range domainNames {
			plans[dm], at[dm] = limiter.NewPlan(dm), -1
		}
		for range 12 {
			dm := rapid.SampledFrom(domainNames).Draw(rt, "domain")
			at[dm] = min(at[dm]+rapid.IntRange(0, 2).Draw(rt, "steps"), count-1)
			lowest := min(at["d0"], at["d1"], at["d2"])
			if at[dm] < 0 {
				continue
			}
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				plans[dm] = limiter.NewPlan(dm)
			}
			tb := tables[at[dm]]
			tb.Confirmed = uint64(lowest + 1)
			plans[dm].SetTable(tb)
			checkSum(rt, plans, tables[max(lowest, 0):])
		}
	})
}

func checkSum(rt *rapid.T, plans map[gypsumhoist.FailureDomain]*limiter.Plan, inUse []limiter.Table) {
	var rate, burst, maxRate, maxBurst limiter.Amount
	for _, pl := range plans {
		sh := pl.Share(rowKey)
		rate, burst = rate+sh.Rate, burst+sh.Burst
	}
	for _, tb := range inUse {
		for _, en := range tb.Rows {
			maxRate = max(maxRate, limiter.Amount(en.Row.Rate)*1000)
			maxBurst = max(maxBurst, limiter.Whole(en.Row.Burst))
		}
	}
	if rate > maxRate || burst > maxBurst {
		rt.Fatalf("shares add up to rate %d and burst %d, above %d and %d", rate, burst, maxRate, maxBurst)
	}
}
