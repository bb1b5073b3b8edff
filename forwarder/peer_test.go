package forwarder_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// slips adds an upstream, an entry node beside it and a row; it returns both nodes and a key.
func (fl *fleet) slips(handler http.HandlerFunc) (*node, *node, string) {
	nd := fl.add("slips-1", handler)
	entry := fl.add("roster-1", say(""))
	fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: time.Minute, Retries: 2})
	return nd, entry, fl.grant("kingston")
}

// request returns a request to a node's callers' port; length is that of the body, less than zero if not known.
func (nd *node) request(method, key string, body io.Reader, length int64) *http.Request {
	req, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s:%d/slips", nd.addr, portCallers), body)
	Expect(err).NotTo(HaveOccurred())
	req.ContentLength = length
	req.Header.Set(gypsumhoist.HeaderKey, key)
	return req
}

func encoded(msg proto.Message) string {
	data, err := proto.Marshal(msg)
	Expect(err).NotTo(HaveOccurred())
	return base64.RawStdEncoding.EncodeToString(data)
}

var _ = Describe("a peer", func() {
	DescribeTable("whose answer can't be told to be that of the attempt is not believed",
		func(plant func(hop *forwarderpb.Hop) string) {
			inFleet(func(fl *fleet) {
				nd, entry, key := fl.slips(say("ok"))
				addr := netip.MustParseAddr("10.0.7.1")
				fl.serve(fl.network.Host(addr, domain), addr, portPeers, http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
					hop, err := forwarder.DecodeHop(req.Header.Get(forwarder.HeaderHop))
					if err != nil {
						return
					}
					wr.Header().Set(forwarder.HeaderFeedback, plant(hop))
					_, _ = io.WriteString(wr, "another caller's answer")
				}))
				entry.rt.SetUpstreams("slips", []router.Upstream{
					{Instance: "slips-1", Domain: domain, Peer: netip.AddrPortFrom(addr, portPeers), Slots: 20},
				})
				rs, text, err := fl.do(entry.request("POST", key, nil, 0))
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(503))
				Expect(verdict(rs)).To(Equal("may_have_run"))
				Expect(text).NotTo(ContainSubstring("another caller's answer"))
				Expect(runs(nd)).To(BeZero())
			})()
		},
		Entry("another request", func(hop *forwarderpb.Hop) string {
			return encoded(&forwarderpb.Feedback{Tag: forwarder.TagOf(&forwarderpb.Hop{Request: "other", Attempt: hop.GetAttempt()})})
		}),
		Entry("another attempt of the request", func(hop *forwarderpb.Hop) string {
			return encoded(&forwarderpb.Feedback{Tag: forwarder.TagOf(&forwarderpb.Hop{Request: hop.GetRequest(), Attempt: hop.GetAttempt() + 1})})
		}),
		Entry("a refusal of another request", func(hop *forwarderpb.Hop) string {
			return encoded(&forwarderpb.Feedback{Tag: forwarder.TagOf(&forwarderpb.Hop{Request: "other", Attempt: hop.GetAttempt()}), Refused: true, Verdict: 1, Reason: "overload"})
		}),
		Entry("no feedback", func(*forwarderpb.Hop) string { return "" }),
		Entry("garbage", func(*forwarderpb.Hop) string { return "???" }),
	)

	It("refuses as not run what is meant for another instance", inFleet(func(fl *fleet) {
		nd, entry, key := fl.slips(say("ok"))
		entry.rt.SetUpstreams("slips", []router.Upstream{
			{Instance: "slips-9", Domain: domain, Peer: netip.AddrPortFrom(nd.addr, portPeers), Slots: 20},
		})
		rs, _, err := fl.do(entry.request("POST", key, nil, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(503))
		Expect(verdict(rs)).To(Equal("not_run"))
		Expect(reason(rs)).To(Equal("no_upstream"))
		Expect(runs(nd)).To(BeZero())
	}))
})
