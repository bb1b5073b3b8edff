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

// addSlips adds a node with an upstream, an entry node and a row; it returns both nodes and a key.
func (fl *fleet) addSlips(handler http.HandlerFunc) (*node, *node, string) {
	nd := fl.add("slips-1", handler)
	entry := fl.add("roster-1", respond(""))
	fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: time.Minute, Retries: 2})
	return nd, entry, fl.grant("kingston")
}

// request returns a request to a node's callers' port; length is that of the body, negative if unknown.
func (nd *node) request(method, key string, body io.Reader, length int64) *http.Request {
	req, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://%s:%d/slips", nd.addr, portCallers), body)
	Expect(err).NotTo(HaveOccurred())
	req.ContentLength = length
	req.Header.Set(gypsumhoist.HeaderKey, key)
	return req
}

func encodeMessage(msg proto.Message) string {
	data, err := proto.Marshal(msg)
	Expect(err).NotTo(HaveOccurred())
	return base64.RawStdEncoding.EncodeToString(data)
}

var _ = Describe("a peer", func() {
	DescribeTable("whose answer does not carry the attempt's tag is not trusted",
		func(feedback func(hop *forwarderpb.Hop) string) {
			withFleet(func(fl *fleet) {
				nd, entry, key := fl.addSlips(respond("ok"))
				addr := netip.MustParseAddr("10.0.7.1")
				fl.serve(fl.network.Host(addr, domain), addr, portPeers, http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
					hop, err := forwarder.DecodeHop(req.Header.Get(forwarder.HeaderHop))
					if err != nil {
						return
					}
					wr.Header().Set(forwarder.HeaderFeedback, feedback(hop))
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
			return encodeMessage(&forwarderpb.Feedback{Tag: forwarder.AnswerTag(&forwarderpb.Hop{Request: "other", Attempt: hop.GetAttempt()})})
		}),
		Entry("another attempt of the request", func(hop *forwarderpb.Hop) string {
			return encodeMessage(&forwarderpb.Feedback{Tag: forwarder.AnswerTag(&forwarderpb.Hop{Request: hop.GetRequest(), Attempt: hop.GetAttempt() + 1})})
		}),
		Entry("a refusal of another request", func(hop *forwarderpb.Hop) string {
			return encodeMessage(&forwarderpb.Feedback{Tag: forwarder.AnswerTag(&forwarderpb.Hop{Request: "other", Attempt: hop.GetAttempt()}), Refused: true, Verdict: 1, Reason: "overload"})
		}),
		Entry("no feedback", func(*forwarderpb.Hop) string { return "" }),
		Entry("garbage", func(*forwarderpb.Hop) string { return "???" }),
	)

	It("refuses a call for another instance as not_run", withFleet(func(fl *fleet) {
		nd, entry, key := fl.addSlips(respond("ok"))
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
