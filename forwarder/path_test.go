package forwarder_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

func verdict(rs *http.Response) string { return rs.Header.Get(gypsumhoist.HeaderVerdict) }
func reason(rs *http.Response) string  { return rs.Header.Get(gypsumhoist.HeaderReason) }

var _ = Describe("a call through a node of another service", func() {
	It("gets the upstream's complete answer, with its trailers", withFleet(func(fl *fleet) {
		big := randomText(300_000)
		nd := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set("Trailer", "X-Sum")
			wr.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(wr, big)
			wr.Header().Set("X-Sum", "42")
		})
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		rs, text, err := fl.call(entry, "POST", "/slips/7?day=3", "signed", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(http.StatusCreated))
		Expect(text).To(Equal(big))
		Expect(rs.Trailer.Get("X-Sum")).To(Equal("42"))
		Expect(rs.Header.Get(gypsumhoist.HeaderRequest)).NotTo(BeEmpty())
		Expect(nd.requests()[0].body).To(Equal("signed"))
		Expect(nd.requests()[0].path).To(Equal("/slips/7?day=3"))
		Expect(runs(nd, entry)).To(Equal(1))
	}))

	It("passes no key and no forged header to the upstream", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("ok"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		req, err := http.NewRequest("POST", fmt.Sprintf("http://%s:%d/slips", entry.addr, portCallers), strings.NewReader("x"))
		Expect(err).NotTo(HaveOccurred())
		req.ContentLength = -1
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set("X-Copy", key)
		req.Header.Set("Gypsumhoist-Hop", "forged")
		req.Header.Set("Gypsumhoist-Call", "forged")
		req.Trailer = http.Header{"X-Late-Key": {key}, "X-Sum": {"42"}}
		_, text, err := fl.do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal("ok"))
		got := nd.requests()[0]
		Expect(fmt.Sprint(got)).NotTo(ContainSubstring(key))
		Expect(got.header.Get("Gypsumhoist-Hop")).To(BeEmpty())
		Expect(got.header.Get("Gypsumhoist-Call")).NotTo(Equal("forged"))
		Expect(got.trailer.Get("X-Sum")).To(Equal("42"))
	}))

	DescribeTable("is refused as not_run with a reason",
		func(path string, withKey bool, pairs []string, status int, why gypsumhoist.Reason) {
			withFleet(func(fl *fleet) {
				nd := fl.add("slips-1", respond("ok"))
				fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
				fl.row(registrar.Row{Workspace: "kingston", Route: "/none", Service: "nobody"})
				if withKey {
					pairs = append(pairs, gypsumhoist.HeaderKey, fl.grant("kingston"))
				}
				rs, text, err := fl.call(nd, "GET", path, "", pairs...)
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(status), text)
				Expect(reason(rs)).To(Equal(string(why)))
				Expect(verdict(rs)).To(Equal("not_run"))
				Expect(runs(nd)).To(BeZero())
			})()
		},
		Entry("no key", "/slips", false, nil, 401, gypsumhoist.ReasonNoKey),
		Entry("an unknown key", "/slips", false, []string{gypsumhoist.HeaderKey, "ghk_no"}, 401, gypsumhoist.ReasonBadKey),
		Entry("two keys", "/slips", true, []string{"Authorization", "Bearer ghk_other"}, 401, gypsumhoist.ReasonBadKey),
		Entry("no row", "/other", true, nil, 404, gypsumhoist.ReasonNoRow),
		Entry("a path that has the row's route only as a prefix", "/slipsy", true, nil, 404, gypsumhoist.ReasonNoRow),
		Entry("dots in the path", "/slips/../other", true, nil, 400, gypsumhoist.ReasonBadRequest),
		Entry("escaped dots in the path", "/slips/%2e%2e/other", true, nil, 400, gypsumhoist.ReasonBadRequest),
		Entry("a key in the URL", "/slips?key=ghk_0123", true, nil, 400, gypsumhoist.ReasonBadRequest),
		Entry("a tunnel", "/slips", true, []string{"Upgrade", "websocket", "Connection", "Upgrade"}, 400, gypsumhoist.ReasonBadRequest),
		Entry("no upstream", "/none", true, nil, 503, gypsumhoist.ReasonNoUpstream),
	)

	It("needs no key for routes open to all, and a key of the row's workspace for others", withFleet(func(fl *fleet) {
		nd := fl.add("board-1", respond("hoists"))
		fl.row(registrar.Row{Workspace: "cooperative", Route: "/board", Service: "board", Open: true})
		fl.row(registrar.Row{Workspace: "cooperative", Route: "/orders", Service: "board"})
		other := fl.grant("stranger")
		rs, text, err := fl.call(nd, "GET", "/board/1", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(text).To(Equal("hoists"))
		rs, _, err = fl.call(nd, "GET", "/orders", "", gypsumhoist.HeaderKey, other)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(404))
		Expect(runs(nd)).To(Equal(1))
	}))

	It("is refused with a withdrawn key on a connection that is open already", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("ok"))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		rs, _, err := fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		fl.withdrawAll()
		rs, _, err = fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(401))
		Expect(runs(nd)).To(Equal(1))
	}))

	It("gets its own answer among many, however late and out of order", withFleet(func(fl *fleet) {
		echo := func(wr http.ResponseWriter, req *http.Request) {
			num := len(req.URL.Query().Get("n"))
			time.Sleep(time.Duration(100-num) * 10 * time.Millisecond)
			_, _ = io.WriteString(wr, req.URL.Query().Get("n"))
		}
		fl.add("slips-1", echo)
		fl.add("slips-2", echo)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		var wg sync.WaitGroup
		got := make([]string, 30)
		for num := range got {
			wg.Go(func() {
				defer GinkgoRecover()
				_, text, err := fl.call(entry, "GET", "/slips?n="+strings.Repeat("x", num), "", gypsumhoist.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				got[num] = text
			})
		}
		wg.Wait()
		for num, text := range got {
			Expect(text).To(HaveLen(num))
		}
	}))

	It("is recorded under its request id", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("ok"))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		rs, _, err := fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		synctest.Wait() // the record is kept after the answer
		rcs := nd.records.Find(gypsumhoist.RequestID(rs.Header.Get(gypsumhoist.HeaderRequest)))
		Expect(rcs).To(HaveLen(2))
		Expect(rcs[0].Hop).To(BeTrue())
		Expect(rcs[1].Row).To(Equal(uint64(1)))
		Expect(rcs[1].Workspace).To(Equal(gypsumhoist.Workspace("kingston")))
		Expect(rcs[1].Verdict).To(Equal("ran"))
	}))
})
