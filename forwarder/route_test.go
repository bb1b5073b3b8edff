package forwarder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/router"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// countingSpender counts the tokens spent.
type countingSpender struct {
	spent   int
	outlook gypsumhoist.SpendOutlook
}

func (cs *countingSpender) Spend(context.Context, *registrar.Row, gypsumhoist.Importance) error {
	cs.spent++
	return nil
}

func (cs *countingSpender) Held(*registrar.Row) (int64, gypsumhoist.SpendOutlook) {
	return 3, cs.outlook
}

var _ = Describe("the answer where a request would go", func() {
	It("names row, limits and candidates, and sends and spends nothing", withFleet(func(fl *fleet) {
		entry := fl.add("other-1", respond(""))
		one, two := fl.add("slips-1", respond("")), fl.add("slips-2", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Rate: 2500, Burst: 7, Retries: 2, Importance: 60})
		cs := &countingSpender{outlook: gypsumhoist.SpendTakesToken}
		entry.options = append(entry.options, forwarder.WithSpender(cs))
		fl.restart(entry)
		query := forwarder.RouteQuery{Method: "GET", Target: "/slips/7?x=1", Workspace: "kingston", TimeLeft: 1500 * time.Millisecond}
		ra := entry.fw.Route(query)
		Expect(ra.Refusal).To(BeNil())
		Expect(ra.Route).To(Equal("/slips"))
		Expect(ra.Revision).To(Equal(fl.revision))
		Expect(ra.RowNumber).To(BeEquivalentTo(1))
		Expect(ra.Importance).To(BeEquivalentTo(60))
		Expect(ra.Deadline).To(Equal(1500 * time.Millisecond))
		Expect(ra.Retries).To(Equal(2))
		Expect(ra.Limits).To(Equal([]forwarder.RouteLimit{{Route: "/slips", RatePerS: 2.5, Burst: 7, Tokens: 3, Outlook: gypsumhoist.SpendTakesToken}}))
		Expect(ra.Services).To(HaveLen(1))
		Expect(ra.Services[0].Refusal).To(BeNil())
		Expect(ra.Services[0].Routing.Candidates).To(HaveLen(2))
		for _, cd := range ra.Services[0].Routing.Candidates {
			Expect(cd.Share).To(BeNumerically("~", 0.5, 0.05))
		}
		im := gypsumhoist.Importance(9)
		query.Importance = &im
		Expect(entry.fw.Route(query).Importance).To(Equal(im))
		cs.outlook = gypsumhoist.SpendRefused
		Expect(entry.fw.Route(query).Services[0].Refusal.Reason).To(Equal(gypsumhoist.ReasonRate))
		Expect(cs.spent).To(BeZero())
		Expect(runs(one, two)).To(BeZero())
	}))

	It("is the refusal that a request would get", withFleet(func(fl *fleet) {
		entry := fl.add("slips-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/empty", Service: "empty"})
		key := fl.grant("kingston")
		for _, path := range []string{"/none", "/slips/../x", "/slips", "/empty"} {
			rs, _, err := fl.call(entry, "GET", path, "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			ra := entry.fw.Route(forwarder.RouteQuery{Method: "GET", Target: path, Workspace: "kingston"})
			rf := ra.Refusal
			if rf == nil {
				rf = ra.Services[0].Refusal
			}
			if rs.StatusCode == http.StatusOK {
				Expect(rf).To(BeNil(), path)
				continue
			}
			Expect(rf).NotTo(BeNil(), path)
			Expect(rf.Status).To(Equal(rs.StatusCode), path)
			Expect(string(rf.Reason)).To(Equal(rs.Header.Get(gypsumhoist.HeaderReason)), path)
		}
		Expect(entry.fw.Route(forwarder.RouteQuery{Method: "GET", Target: "/slips"}).Refusal.Reason).To(Equal(gypsumhoist.ReasonNoKey))
	}))

	// Guards against a question that counts as a request anywhere: at the throttler, the forecast, the retrier or the router.
	It("changes no later decision", withFleet(func(fl *fleet) {
		entry := fl.add("other-1", respond(""))
		random := rand.New(rand.NewPCG(1, 1))
		for _, name := range []gypsumhoist.Instance{"slips-1", "slips-2", "slips-3"} {
			fl.add(name, func(wr http.ResponseWriter, _ *http.Request) {
				if random.IntN(5) > 0 {
					wr.Header().Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictNotRun.String())
					wr.WriteHeader(http.StatusServiceUnavailable)
				}
			})
		}
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 1})
		key := fl.grant("kingston")
		plain := entry.options
		send := func(ask bool) (out []string) {
			random = rand.New(rand.NewPCG(1, 1))
			rt := router.New(domain, router.WithRandom(rand.New(rand.NewPCG(2, 2))))
			rt.SetUpstreams("slips", fl.upstreams("slips"))
			entry.options = append(slices.Clip(plain), forwarder.WithRouter(rt), forwarder.WithThrottler(throttler.New(rand.New(rand.NewPCG(3, 3)))))
			for _, nd := range fl.nodes {
				fl.restart(nd)
			}
			for range 300 {
				if ask {
					entry.fw.Route(forwarder.RouteQuery{Method: "GET", Target: "/slips", Workspace: "kingston"})
					entry.fw.Route(forwarder.RouteQuery{Method: "POST", Target: "/slips", Workspace: "kingston"})
				}
				time.Sleep(5 * time.Millisecond)
				rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				records := entry.records.Find(gypsumhoist.RequestID(rs.Header.Get(gypsumhoist.HeaderRequest)))
				Expect(records).To(HaveLen(1))
				steps := fmt.Sprint(rs.StatusCode, " ", rs.Header.Get("Retry-After"))
				for _, st := range records[0].Steps {
					steps += fmt.Sprint(" ", st.Component, " ", st.Decision, " ", st.Detail)
				}
				out = append(out, steps)
			}
			return out
		}
		without := send(false)
		Expect(without).To(ContainElement(ContainSubstring("throttler refused early")))
		Expect(without).To(ContainElement(ContainSubstring("slips-3")))
		Expect(send(true)).To(Equal(without))
	}))

	// Guards against a question that advances the split of a row.
	It("names the service that the next request of a split goes to", withFleet(func(fl *fleet) {
		entry := fl.add("other-1", respond(""))
		fl.add("slips-1", respond(""))
		fl.add("fees-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Split: registrar.NewSplit(
			registrar.Part{Service: "slips", Weight: 3}, registrar.Part{Service: "fees", Weight: 1})})
		key := fl.grant("kingston")
		ask := func() (next gypsumhoist.Service) {
			services := entry.fw.Route(forwarder.RouteQuery{Method: "GET", Target: "/slips", Workspace: "kingston"}).Services
			Expect(services).To(HaveLen(2))
			Expect(services[0].Share).To(Equal(0.75))
			for _, rs := range services {
				if rs.Next {
					next = rs.Service
				}
			}
			return next
		}
		Expect(ask()).To(BeEmpty(), "the first position is random")
		for no := range 20 {
			next := ask()
			rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			records := entry.records.Find(gypsumhoist.RequestID(rs.Header.Get(gypsumhoist.HeaderRequest)))
			Expect(records).To(HaveLen(1))
			if no > 0 {
				Expect(records[0].Service).To(Equal(next))
			}
		}
	}))
})
