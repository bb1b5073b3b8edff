package connector_test

import (
	"bytes"
	"io"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

// FuzzHTTP2Bytes sends arbitrary bytes after the preface of HTTP/2. Whatever they are, the server lives and nothing stays charged.
func FuzzHTTP2Bytes(f *testing.F) {
	var buf, block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, hf := range [][2]string{{":method", "POST"}, {":path", "/a"}, {":scheme", "http"}, {":authority", "x"}, {"a", "b"}} {
		_ = enc.WriteField(hpack.HeaderField{Name: hf[0], Value: hf[1]})
	}
	fr := http2.NewFramer(&buf, nil)
	fr.AllowIllegalWrites = true
	_ = fr.WriteSettings()
	_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true, PadLength: 9})
	f.Add(bytes.Clone(buf.Bytes()))
	_ = fr.WriteData(1, false, []byte("body"))
	_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x00, 1, 'a', 1, 'b'}, EndStream: true, EndHeaders: true})
	f.Add(bytes.Clone(buf.Bytes()))
	_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 3, BlockFragment: block.Bytes()[:3]})
	_ = fr.WriteContinuation(3, true, block.Bytes()[3:])
	_ = fr.WriteRSTStream(3, http2.ErrCodeCancel)
	f.Add(bytes.Clone(buf.Bytes()))
	_ = fr.WriteRawFrame(http2.FrameHeaders, http2.FlagHeadersPadded, 5, []byte{200})
	_ = fr.WriteRawFrame(http2.FrameContinuation, 0, 5, nil)
	f.Add(bytes.Clone(buf.Bytes()))
	f.Add([]byte("\x00\x00\x00\x01\x08\x00\x00\x00\x01\x00\x00\x00\x01\x2c\x00\x00\x00\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		withHeads(t, connector.Limits{HeadBytes: 1 << 20}, connector.PortCallers, ok, func(hs *headServer) {
			cn := hs.dial()
			go func() { _, _ = io.Copy(io.Discard, cn) }()
			_, _ = io.WriteString(cn, http2.ClientPreface)
			_, _ = cn.Write(data)
			_ = cn.Close()
		})
	})
}
