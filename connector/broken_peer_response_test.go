package connector_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// frames writes the frames of a response on a stream, and closes the connection afterwards if it returns true.
type frames func(fr *http2.Framer, stream uint32) (closes bool)

// headers writes a HEADERS frame with the given names and values.
func headers(fr *http2.Framer, stream uint32, ends bool, pairs ...string) {
	var buf bytes.Buffer
	enc := hpack.NewEncoder(&buf)
	for ix := 0; ix < len(pairs); ix += 2 {
		_ = enc.WriteField(hpack.HeaderField{Name: pairs[ix], Value: pairs[ix+1]})
	}
	_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: buf.Bytes(), EndHeaders: true, EndStream: ends})
}

// head returns the frames of a response with the body "body".
func head(pairs ...string) frames {
	return func(fr *http2.Framer, stream uint32) bool {
		headers(fr, stream, false, pairs...)
		_ = fr.WriteData(stream, true, []byte("body"))
		return false
	}
}

// servePeer answers each HTTP/2 request with frames.
func servePeer(ln net.Listener, answer frames) {
	for {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		go servePeerConn(cn, answer)
	}
}

func servePeerConn(cn net.Conn, answer frames) {
	defer cn.Close()
	if _, err := io.ReadFull(cn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	fr := http2.NewFramer(cn, cn)
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	_ = fr.WriteSettings()
	_ = fr.WriteSettingsAck()
	for {
		got, err := fr.ReadFrame()
		if err != nil {
			return
		}
		if hd, ok := got.(*http2.MetaHeadersFrame); ok && answer(fr, hd.StreamID) {
			return
		}
	}
}

// brokenPeerHeads are responses of another instance with a malformed head.
var brokenPeerHeads = map[string]frames{
	"status 000":                    head(":status", "000"),
	"status 099":                    head(":status", "099"),
	"a negative status":             head(":status", "-20"),
	"status 600":                    head(":status", "600"),
	"no status":                     head("content-length", "4"),
	"status 101":                    head(":status", "101"),
	"two different lengths":         head(":status", "200", "content-length", "4", "content-length", "5"),
	"the same length twice":         head(":status", "200", "content-length", "4", "content-length", "4"),
	"a length that is no number":    head(":status", "200", "content-length", "+4"),
	"a transfer coding":             head(":status", "200", "transfer-encoding", "chunked"),
	"a name with a space":           head(":status", "200", "na me", "v"),
	"a name with a control byte":    head(":status", "200", "na\x01me", "v"),
	"a value with a line end":       head(":status", "200", "name", "a\r\nb: c"),
	"an interim one that is broken": head(":status", "103", "na me", "v"),
	"interim ones without end": func(fr *http2.Framer, stream uint32) bool {
		for range 1000 {
			headers(fr, stream, false, ":status", "103")
		}
		headers(fr, stream, false, ":status", "200")
		_ = fr.WriteData(stream, true, []byte("body"))
		return false
	},
	"only an interim one": func(fr *http2.Framer, stream uint32) bool {
		headers(fr, stream, true, ":status", "103")
		return false
	},
}

// truncated returns the frames of a response that ends after a part of its body.
func truncated(end func(fr *http2.Framer, stream uint32) bool) frames {
	return func(fr *http2.Framer, stream uint32) bool {
		headers(fr, stream, false, ":status", "200")
		_ = fr.WriteData(stream, false, []byte("body"))
		return end(fr, stream)
	}
}

// brokenPeerBodies are responses of another instance with a body that is not whole.
var brokenPeerBodies = map[string]frames{
	"a reset without an error": truncated(func(fr *http2.Framer, stream uint32) bool {
		_ = fr.WriteRSTStream(stream, http2.ErrCodeNo)
		return false
	}),
	"a reset": truncated(func(fr *http2.Framer, stream uint32) bool {
		_ = fr.WriteRSTStream(stream, http2.ErrCodeInternal)
		return false
	}),
	"a closed connection": truncated(func(*http2.Framer, uint32) bool { return true }),
	"a GOAWAY without an error and a closed connection": truncated(func(fr *http2.Framer, stream uint32) bool {
		_ = fr.WriteGoAway(stream, http2.ErrCodeNo, nil)
		return true
	}),
	"a malformed trailer": truncated(func(fr *http2.Framer, stream uint32) bool {
		headers(fr, stream, true, "na me", "v")
		return false
	}),
	"fewer bytes than its length": head(":status", "200", "content-length", "5"),
	"more bytes than its length":  head(":status", "200", "content-length", "3"),
	"no bytes but a length": func(fr *http2.Framer, stream uint32) bool {
		headers(fr, stream, true, ":status", "200", "content-length", "3")
		return false
	},
}

// withPeer runs a spec with a PeerPool whose requests are answered with frames.
func withPeer(answer frames, spec func(g Gomega, pp *connector.PeerPool)) func() {
	return bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		go servePeer(ln, answer)
		pp := connector.NewPeerPool(connector.WithNetwork(nw.Host(clientAddr, "d")))
		defer func() {
			_ = ln.Close()
			nw.Crash(serverAddr)
			pp.Close()
		}()
		spec(g, pp)
	})
}

var _ = Describe("A response of another instance", func() {
	for name, answer := range brokenPeerHeads {
		It("with a malformed head is a failure after which the request may have run: "+name, withPeer(answer, func(g Gomega, pp *connector.PeerPool) {
			for _, method := range []string{"GET", "POST"} {
				rsp, body, err := exchange(pp, method)
				g.Expect(err).To(HaveOccurred(), "%s: got %v %q", method, rsp, body)
				g.Expect(rsp).To(BeNil(), "the head was accepted, only the body failed")
				g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
			}
		}))
	}

	for name, answer := range brokenPeerBodies {
		It("never has a body that ends cleanly if it is not whole: "+name, withPeer(answer, func(g Gomega, pp *connector.PeerPool) {
			for _, method := range []string{"GET", "POST"} {
				rsp, body, err := exchange(pp, method)
				g.Expect(err).To(HaveOccurred(), "%s: got %v %q", method, rsp, body)
			}
		}))
	}

	for name, answer := range map[string]frames{
		"with a length":    head(":status", "200", "content-length", "4"),
		"without a length": head(":status", "200"),
		"after an interim one": func(fr *http2.Framer, stream uint32) bool {
			headers(fr, stream, false, ":status", "103")
			return head(":status", "200")(fr, stream)
		},
		"that ends before the request and asks for no more of it": func(fr *http2.Framer, stream uint32) bool {
			head(":status", "200")(fr, stream)
			_ = fr.WriteRSTStream(stream, http2.ErrCodeNo)
			return false
		},
	} {
		It("that is proper is passed on whole: "+name, withPeer(answer, func(g Gomega, pp *connector.PeerPool) {
			for _, method := range []string{"GET", "POST"} {
				_, body, err := exchange(pp, method)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("body"))
			}
			rsp, err := pp.RoundTrip(upload(context.Background(), serverPort, uploadBytes))
			g.Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(rsp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(data)).To(Equal("body"))
			_ = rsp.Body.Close()
			time.Sleep(time.Second)
		}))
	}
})
