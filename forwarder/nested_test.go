package forwarder_test

import (
	"fmt"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("an upstream's own call", func() {
	// chain adds slips, which makes a nested call to roster, and returns both nodes and what returns the call's answer.
	chain := func(fl *fleet, deeper http.HandlerFunc, nested func(nd *node, token string) (*http.Response, string)) (*node, *node, func() *http.Response) {
		var mu sync.Mutex
		var got *http.Response
		var front *node
		front = fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			rs, _ := nested(front, req.Header.Get(gypsumhoist.HeaderCall))
			mu.Lock()
			got = rs
			mu.Unlock()
			wr.WriteHeader(rs.StatusCode)
		})
		deep := fl.add("roster-1", deeper)
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 4, Importance: 80})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster", Retries: 4, Importance: 10})
		return front, deep, func() *http.Response { mu.Lock(); defer mu.Unlock(); return got }
	}

	It("runs for the workspace, request and importance of the call it belongs to", withFleet(func(fl *fleet) {
		front, deep, got := chain(fl, respond("names"), func(nd *node, token string) (*http.Response, string) {
			return fl.nestedCall(nd, "GET", "/roster/7", token)
		})
		rs, _, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(got().StatusCode).To(Equal(200))
		id := rs.Header.Get(gypsumhoist.HeaderRequest)
		Expect(deep.requests()[0].header.Get(gypsumhoist.HeaderRequest)).To(Equal(id))
		rcs := deep.records.Find(gypsumhoist.RequestID(id))
		Expect(rcs).To(HaveLen(1))
		Expect(rcs[0].Importance).To(Equal(gypsumhoist.Importance(80)))
		Expect(rcs[0].Workspace).To(Equal(gypsumhoist.Workspace("kingston")))
	}))

	It("spends the budget of the request it belongs to", withFleet(func(fl *fleet) {
		failNested := func(wr http.ResponseWriter, req *http.Request) {
			if req.URL.Path != "/roster/well" {
				abortConnection(wr, req)
			}
		}
		front, deep, _ := chain(fl, failNested, func(nd *node, token string) (*http.Response, string) {
			fl.nestedCall(nd, "GET", "/roster/1", token)
			fl.nestedCall(nd, "GET", "/roster/2", token)
			return fl.nestedCall(nd, "GET", "/roster/3", token)
		})
		bad := []*node{deep}
		for num := range 9 {
			bad = append(bad, fl.add(gypsumhoist.Instance(fmt.Sprintf("roster-%d", num+2)), failNested))
		}
		key := fl.grant("kingston")
		for range 40 { // first attempts, so that the row's retry ratio does not limit the retries
			_, _, err := fl.call(front, "GET", "/roster/well", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		// The request has 4 retries, of which its first hop carries 2; three nested calls share those.
		Expect(runs(bad...) - 40).To(BeNumerically("<=", 3+2))
		Expect(runs(bad...) - 40).To(BeNumerically(">", 3))
	}))

	It("is refused if the key has been withdrawn meanwhile", withFleet(func(fl *fleet) {
		front, deep, got := chain(fl, respond("names"), func(nd *node, token string) (*http.Response, string) {
			fl.withdrawAll()
			return fl.nestedCall(nd, "GET", "/roster/7", token)
		})
		_, _, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got().StatusCode).To(Equal(401))
		Expect(runs(deep)).To(BeZero())
	}))

	It("reaches only open routes without a token, or with one whose call has ended", withFleet(func(fl *fleet) {
		var token string
		front, deep, _ := chain(fl, respond("names"), func(_ *node, tok string) (*http.Response, string) {
			token = tok
			return &http.Response{StatusCode: 200}, ""
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster/open", Service: "roster", Open: true})
		_, _, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		for _, tok := range []string{"", token, "guessed"} {
			rs, _ := fl.nestedCall(front, "GET", "/roster/7", tok)
			Expect(rs.StatusCode).To(BeElementOf(401, 403))
			rs, _ = fl.nestedCall(front, "GET", "/roster/open", tok)
			Expect(rs.StatusCode).To(Equal(200))
		}
		Expect(runs(deep)).To(Equal(3))
	}))

	It("is refused with the key of another workspace", withFleet(func(fl *fleet) {
		other := ""
		front, deep, got := chain(fl, respond("names"), func(nd *node, token string) (*http.Response, string) {
			return fl.nestedCall(nd, "GET", "/roster/7", token, gypsumhoist.HeaderKey, other)
		})
		other = fl.grant("stranger")
		_, _, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(got().StatusCode).To(Equal(403))
		Expect(runs(deep)).To(BeZero())
	}))
})

var _ = Describe("an overload at the end of a chain of calls", func() {
	It("makes the entry refuse requests early", withFleet(func(fl *fleet) {
		fl.add("fees-1", func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictNotRun.String())
			wr.WriteHeader(http.StatusServiceUnavailable)
		})
		var rolls, slips *node
		calls := func(from **node, path string) http.HandlerFunc {
			return func(wr http.ResponseWriter, req *http.Request) {
				if rs, _ := fl.nestedCall(*from, "GET", path, req.Header.Get(gypsumhoist.HeaderCall)); rs.StatusCode != http.StatusOK {
					wr.WriteHeader(http.StatusInternalServerError)
				}
			}
		}
		rolls = fl.add("rolls-1", calls(&rolls, "/fees"))
		slips = fl.add("slips-1", calls(&slips, "/rolls"))
		fl.throttling = true
		entry := fl.add("roster-1", respond(""))
		for _, name := range []string{"slips", "rolls", "fees"} {
			fl.row(registrar.Row{Workspace: "kingston", Route: "/" + name, Service: gypsumhoist.Service(name)})
		}
		key := fl.grant("kingston")
		refused := 0
		for range 60 {
			rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			if rs.Header.Get(gypsumhoist.HeaderReason) == string(gypsumhoist.ReasonOverload) {
				refused++
			}
		}
		Expect(refused).To(BeNumerically(">", 20))
		Expect(runs(slips)).To(Equal(60 - refused))
	}))
})
