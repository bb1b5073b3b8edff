package forwarder_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// rawUpstream is an upstream that answers with given bytes and closes the connection.
type rawUpstream struct {
	answer string
	// reads is set if the upstream reads the whole request; otherwise closing the connection resets it.
	reads bool
	runs  atomic.Int32
}

func (ru *rawUpstream) serve(ln net.Listener) {
	for {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		go ru.serveConn(cn)
	}
}

func (ru *rawUpstream) serveConn(cn net.Conn) {
	defer cn.Close()
	req, err := http.ReadRequest(bufio.NewReader(cn))
	if err != nil {
		return
	}
	ru.runs.Add(1)
	if ru.reads {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(cn, ru.answer)
	if !ru.reads {
		time.Sleep(10 * time.Millisecond)
	}
}

// addRaw starts a node whose upstream answers with given bytes and, in answers without a length, ends them with the connection.
func (fl *fleet) addRaw(name gypsumhoist.Instance, ru *rawUpstream) *node {
	nd := fl.add(name, nil)
	addr := netip.AddrPortFrom(nd.addr, 9001)
	ln, err := nd.host.Listen(addr)
	Expect(err).NotTo(HaveOccurred())
	go ru.serve(ln)
	nd.pool = connector.NewUpstreamPool(addr, connector.WithNetwork(nd.host))
	fl.closers = append(fl.closers, func() { _ = ln.Close() }, nd.pool.Stop)
	nd.options = append(nd.options, forwarder.WithUnframedAnswers(true))
	fl.restart(nd)
	return nd
}

const bodyOf4 = "Content-Length: 4\r\n\r\nbody"

var _ = Describe("an answer that is not proper HTTP", func() {
	for name, answer := range map[string]string{
		"status 000":                   "HTTP/1.1 000 None\r\n" + bodyOf4,
		"status 099":                   "HTTP/1.1 099 None\r\n" + bodyOf4,
		"status 600":                   "HTTP/1.1 600 None\r\n" + bodyOf4,
		"a name with a space":          "HTTP/1.1 200 OK\r\nNa me: v\r\n" + bodyOf4,
		"a name with a control byte":   "HTTP/1.1 200 OK\r\nNa\x01me: v\r\n" + bodyOf4,
		"a length with a space":        "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"a length and chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + bodyOf4,
		"a body shorter than declared": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
	} {
		for _, remote := range []bool{false, true} {
			where := map[bool]string{false: "the node beside the upstream", true: "another node"}[remote]
			It("ends in an error of "+where+" that says that the request may have run: "+name, withFleet(func(fl *fleet) {
				ru := &rawUpstream{answer: answer, reads: true}
				entry := fl.addRaw("slips-1", ru)
				if remote {
					entry = fl.add("roster-1", respond("never"))
				}
				fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
				key := fl.grant("kingston")
				rs, _, err := fl.call(entry, "POST", "/slips", "x", gypsumhoist.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(503)) // 502 on the platform
				Expect(verdict(rs)).To(Equal("may_have_run"))
				Expect(reason(rs)).To(Equal("connection"))
				Expect(ru.runs.Load()).To(BeEquivalentTo(1))
			}))
		}

		It("is followed by an attempt at another upstream where that is permitted: "+name, withFleet(func(fl *fleet) {
			fl.addRaw("slips-1", &rawUpstream{answer: answer, reads: true})
			fl.addRaw("slips-2", &rawUpstream{answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + bodyOf4, reads: true})
			entry := fl.add("roster-1", respond("never"))
			fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 2})
			key := fl.grant("kingston")
			for range 10 {
				rs, body, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(200))
				Expect(body).To(Equal("body"))
			}
		}))
	}
})

var _ = Describe("an answer without a length that is reset during the upload", func() {
	const uploadBytes = 2 << 20 // more than the connections on the way hold
	for name, size := range map[string]int{"that fits into a node's buffer": 3000, "that does not": 100 << 10} {
		for _, remote := range []bool{false, true} {
			where := map[bool]string{false: "the node beside the upstream", true: "another node"}[remote]
			It(name+" never reaches the caller of "+where+" as a complete one", withFleet(func(fl *fleet) {
				entry := fl.addRaw("slips-1", &rawUpstream{answer: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", size)})
				if remote {
					entry = fl.add("roster-1", respond("never"))
				}
				fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
				key := fl.grant("kingston")
				// net/http closes the connection a while after an answer to an unread body.
				defer time.Sleep(time.Second)
				for range 10 {
					rs, body, err := fl.call(entry, "POST", "/slips", strings.Repeat("u", uploadBytes), gypsumhoist.HeaderKey, key)
					if err != nil {
						continue
					}
					Expect(rs.StatusCode).To(Equal(503), "%d bytes", len(body))
					Expect(verdict(rs)).To(Equal("may_have_run"))
				}
			}))
		}
	}
})

var _ = Describe("an answer that breaks off after it has begun", func() {
	for _, version := range []string{"1.0", "1.1"} {
		for _, remote := range []bool{false, true} {
			where := map[bool]string{false: "the node beside the upstream", true: "another node"}[remote]
			It("has no orderly end for a caller of HTTP/"+version+" at "+where, withFleet(func(fl *fleet) {
				part := strings.Repeat("a", 100<<10)
				entry := fl.addRaw("slips-1", &rawUpstream{answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + part + "\r\n", reads: true})
				if remote {
					entry = fl.add("roster-1", respond("never"))
				}
				fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
				key := fl.grant("kingston")
				cn, err := fl.transport.DialContext(context.Background(), "tcp", netip.AddrPortFrom(entry.addr, portCallers).String())
				Expect(err).NotTo(HaveOccurred())
				defer cn.Close()
				_, err = io.WriteString(cn, "GET /slips HTTP/"+version+"\r\nHost: kingston\r\n"+gypsumhoist.HeaderKey+": "+key+"\r\n\r\n")
				Expect(err).NotTo(HaveOccurred())
				rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
				if err == nil {
					Expect(rs.StatusCode).To(Equal(200))
					_, err = io.Copy(io.Discard, rs.Body)
				}
				Expect(err).To(HaveOccurred())
			}))
		}
	}
})
