package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// abortConnection breaks the connection of its request.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("a call that fails", func() {
	It("is retried at other upstreams if idempotent, within its retry budget", withFleet(func(fl *fleet) {
		bad := []*node{fl.add("slips-1", abortConnection), fl.add("slips-2", abortConnection), fl.add("slips-3", abortConnection)}
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 1})
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(503))
		Expect(verdict(rs)).To(Equal("may_have_run"))
		Expect(runs(bad...)).To(Equal(2))
	}))

	It("is not retried if not idempotent, and is refused as may_have_run", withFleet(func(fl *fleet) {
		bad := []*node{fl.add("slips-1", abortConnection), fl.add("slips-2", abortConnection)}
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 5})
		key := fl.grant("kingston")
		for _, pairs := range [][]string{{}, {gypsumhoist.HeaderIdempotencyKey, "order-1"}} {
			before := runs(bad...)
			rs, _, err := fl.call(entry, "POST", "/slips", "fee", append(pairs, gypsumhoist.HeaderKey, key)...)
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict(rs)).To(Equal("may_have_run"))
			Expect(runs(bad...) - before).To(Equal(1))
		}
	}))

	It("is retried if it certainly did not run, even if not idempotent", withFleet(func(fl *fleet) {
		gone := fl.add("slips-1", respond("never"))
		good := fl.add("slips-2", respond("ok"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 3})
		key := fl.grant("kingston")
		fl.network.Crash(gone.addr)
		for num := range 10 {
			rs, text, err := fl.call(entry, "POST", "/slips", fmt.Sprint(num), gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(200))
			Expect(text).To(Equal("ok"))
		}
		Expect(runs(good)).To(Equal(10))
		Expect(runs(gone)).To(BeZero())
	}))

	It("is never ended cleanly if the answer was truncated", withFleet(func(fl *fleet) {
		truncate := func(wr http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(wr, randomText(200_000))
			_ = http.NewResponseController(wr).Flush()
			panic(http.ErrAbortHandler)
		}
		nd := fl.add("slips-1", truncate)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		_, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).To(HaveOccurred())
		Expect(runs(nd)).To(Equal(1))
	}))

	It("is retried if a short answer was truncated", withFleet(func(fl *fleet) {
		var tries atomic.Int32
		cutFirst := func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set("Content-Length", "10")
			if tries.Add(1) == 1 {
				_, _ = io.WriteString(wr, "01234")
				_ = http.NewResponseController(wr).Flush()
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(wr, "0123456789")
		}
		fl.add("slips-1", cutFirst)
		fl.add("slips-2", cutFirst)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 1})
		rs, text, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(text).To(Equal("0123456789"))
	}))

	It("is refused if only the end of the connection ends the answer", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(wr).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf of it")
			_ = conn.Close()
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		rs, _, err := fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(503))
		Expect(verdict(rs)).To(Equal("ran"))
	}))

	It("ends at its deadline and cancels the upstream's work", withFleet(func(fl *fleet) {
		ended := make(chan time.Time, 1)
		nd := fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) {
			<-req.Context().Done()
			ended <- time.Now()
		})
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 2 * time.Second})
		began := time.Now()
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(504))
		Expect(verdict(rs)).To(Equal("may_have_run"))
		Expect(time.Since(began)).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
		Expect((<-ended).Sub(began)).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
		synctest.Wait()
		Expect(nd.fw.InFlight()).To(BeZero())
	}))

	It("cancels the upstream's work when the caller goes away", withFleet(func(fl *fleet) {
		ended := make(chan time.Time, 1)
		fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) {
			<-req.Context().Done()
			ended <- time.Now()
		})
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s:%d/slips", entry.addr, portCallers), nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(gypsumhoist.HeaderKey, key)
		began := time.Now()
		_, _, err = fl.do(req)
		Expect(err).To(HaveOccurred())
		Expect((<-ended).Sub(began)).To(BeNumerically("<", 1100*time.Millisecond))
	}))

	It("is refused as not_run if the upstream says so", withFleet(func(fl *fleet) {
		shed := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set(gypsumhoist.HeaderVerdict, "not_run")
			wr.Header().Set("Retry-After", "3")
			wr.WriteHeader(http.StatusServiceUnavailable)
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		rs, _, err := fl.call(shed, "POST", "/slips", "x", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(503))
		Expect(verdict(rs)).To(Equal("not_run"))
		Expect(reason(rs)).To(Equal("upstream_refused"))
		Expect(rs.Header.Get("Retry-After")).To(Equal("3"))
	}))

	It("is refused for overload only if the upstream that refused it is busy", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodGet {
				time.Sleep(10 * time.Second)
				return
			}
			wr.Header().Set(gypsumhoist.HeaderVerdict, "not_run")
			wr.WriteHeader(http.StatusServiceUnavailable)
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 20 * time.Second})
		key := fl.grant("kingston")
		var held sync.WaitGroup
		defer held.Wait()
		for runs := range nodeSlots/2 + 1 {
			rs, _, err := fl.call(nd, "POST", "/slips", "x", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			want := "upstream_refused"
			if runs >= nodeSlots/2 {
				want = "overload"
			}
			Expect(reason(rs)).To(Equal(want), "%d run", runs)
			held.Go(func() { _, _, _ = fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, key) })
			time.Sleep(100 * time.Millisecond)
		}
	}))

	It("is sent again to an upstream that refused it with room, even if it must run at most once", withFleet(func(fl *fleet) {
		var requests atomic.Int32
		nd := fl.add("orders-1", func(wr http.ResponseWriter, req *http.Request) {
			if req.Method == http.MethodPost && requests.Add(1)%3 != 0 {
				wr.Header().Set(gypsumhoist.HeaderVerdict, "not_run")
				wr.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/orders", Service: "orders", Retries: 4, RetryPercent: 100, Attempts: 1})
		key := fl.grant("kingston")
		rs, _, err := fl.call(nd, "GET", "/orders", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		for done := range 5 {
			rs, _, err := fl.call(nd, "POST", "/orders", "x", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			if done > 0 {
				continue
			}
			Expect(rs.StatusCode).To(Equal(200))
			Expect(runs(nd)).To(Equal(4))
		}
	}))

	It("is sent over new connections if the open ones have gone silent", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("ok"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 2, Deadline: 20 * time.Second})
		key := fl.grant("kingston")
		get := func() (*http.Response, error) {
			rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			return rs, err
		}
		_, err := get()
		Expect(err).NotTo(HaveOccurred())
		fl.network.Freeze([]netip.Addr{entry.addr}, []netip.Addr{nd.addr})
		_, err = get()
		Expect(err).NotTo(HaveOccurred())
		began := time.Now()
		rs, err := get()
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	}))
})

var _ = Describe("a request under an Idempotency-Key", func() {
	It("runs once and gives its answer to every resend", withFleet(func(fl *fleet) {
		var num atomic.Int32
		work := func(wr http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintf(wr, "crate %d", num.Add(1)) }
		nds := []*node{fl.add("orders-1", work), fl.add("orders-2", work)}
		fl.row(registrar.Row{Workspace: "cooperative", Route: "/orders", Service: "orders"})
		key := fl.grant("cooperative")
		for _, nd := range nds {
			rs, text, err := fl.call(nd, "POST", "/orders", "one", gypsumhoist.HeaderKey, key, gypsumhoist.HeaderIdempotencyKey, "a")
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(200))
			Expect(text).To(Equal("crate 1"))
		}
		Expect(runs(nds...)).To(Equal(1))
	}))

	It("goes on when its caller goes away, so that a resend finds the answer", withFleet(func(fl *fleet) {
		nd := fl.add("orders-1", func(wr http.ResponseWriter, _ *http.Request) {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(wr, "crate 1")
		})
		fl.row(registrar.Row{Workspace: "cooperative", Route: "/orders", Service: "orders"})
		key := fl.grant("cooperative")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "POST", fmt.Sprintf("http://%s:%d/orders", nd.addr, portCallers), http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(gypsumhoist.HeaderKey, key)
		req.Header.Set(gypsumhoist.HeaderIdempotencyKey, "b")
		_, _, err = fl.do(req)
		Expect(err).To(HaveOccurred())
		rs, _, err := fl.call(nd, "POST", "/orders", "", gypsumhoist.HeaderKey, key, gypsumhoist.HeaderIdempotencyKey, "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(409))
		Expect(verdict(rs)).To(Equal("may_have_run"))
		time.Sleep(2 * time.Second)
		rs, text, err := fl.call(nd, "POST", "/orders", "", gypsumhoist.HeaderKey, key, gypsumhoist.HeaderIdempotencyKey, "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(text).To(Equal("crate 1"))
		Expect(runs(nd)).To(Equal(1))
	}))

	It("releases the key if the request did not run", withFleet(func(fl *fleet) {
		nd := fl.add("orders-1", respond("ok"))
		fl.row(registrar.Row{Workspace: "cooperative", Route: "/orders", Service: "orders"})
		key := fl.grant("cooperative")
		nd.fw.SetLeaving(true)
		rs, _, err := fl.call(nd, "POST", "/orders", "", gypsumhoist.HeaderKey, key, gypsumhoist.HeaderIdempotencyKey, "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict(rs)).To(Equal("not_run"))
		nd.fw.SetLeaving(false)
		rs, _, err = fl.call(nd, "POST", "/orders", "", gypsumhoist.HeaderKey, key, gypsumhoist.HeaderIdempotencyKey, "c")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(runs(nd)).To(Equal(1))
	}))
})
