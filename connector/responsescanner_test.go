package connector_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"golang.org/x/net/http/httpguts"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

// fuzzBytes limits the inputs of FuzzResponse: net/http also limits lines and trailers, to about 4 KiB.
const fuzzBytes = 4000

// FuzzResponse checks that a response has the same end whichever way its bytes arrive, that net/http finds the same end in every response
// that is accepted, and that no accepted one has a name, value or status that a caller could read differently.
func FuzzResponse(f *testing.F) {
	for _, responses := range []map[string]string{brokenHeads, brokenBodies, wholeResponses} {
		for _, rsp := range responses {
			f.Add([]byte(rsp), false)
			f.Add([]byte(rsp+"HTTP/1.1 200 OK\r\n"), true)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte, isHEAD bool) {
		if len(data) > fuzzBytes {
			return
		}
		size, whole, endsWithConn, err := connector.ScanResponse(data, isHEAD, len(data))
		for _, part := range []int{1, 3} {
			size2, whole2, ends2, err2 := connector.ScanResponse(data, isHEAD, part)
			if whole != whole2 || endsWithConn != ends2 || (err == nil) != (err2 == nil) || err == nil && size != size2 {
				t.Fatalf("%d, %v, %v, %v in one part; %d, %v, %v, %v in parts of %d", size, whole, endsWithConn, err, size2, whole2, ends2, err2, part)
			}
		}
		if err == nil && (whole || endsWithConn) {
			compareToLibrary(t, data, size, isHEAD)
		}
	})
}

// compareToLibrary reads an accepted response with net/http. It may reject the response, as a node then does not pass it on.
func compareToLibrary(t *testing.T, data []byte, size int, isHEAD bool) {
	req := &http.Request{Method: http.MethodGet}
	if isHEAD {
		req.Method = http.MethodHead
	}
	rest := bytes.NewReader(data)
	rd := bufio.NewReaderSize(rest, 2*fuzzBytes)
	rsp, err := http.ReadResponse(rd, req)
	for err == nil && rsp.StatusCode < http.StatusOK {
		rsp, err = http.ReadResponse(rd, req)
	}
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, rsp.Body); err != nil {
		return
	}
	if got := len(data) - rest.Len() - rd.Buffered(); got != size {
		t.Fatalf("the response has %d bytes, net/http read %d", size, got)
	}
	if rsp.StatusCode > 599 {
		t.Fatalf("status %d", rsp.StatusCode)
	}
	for _, hd := range []http.Header{rsp.Header, rsp.Trailer} {
		for name, vals := range hd {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("field name %q", name)
			}
			for _, val := range vals {
				if !httpguts.ValidHeaderFieldValue(val) || strings.ContainsAny(val, "\r\n\x00") {
					t.Fatalf("value %q of %q", val, name)
				}
			}
		}
	}
}

// TestScannerVerdicts guards against a scanner that leaves to net/http what it should judge itself: the seeds of FuzzResponse have
// their verdicts without net/http. A response that is only cut off is neither whole nor malformed.
func TestScannerVerdicts(t *testing.T) {
	for name, rsp := range wholeResponses {
		if size, whole, endsWithConn, err := connector.ScanResponse([]byte(rsp), false, len(rsp)); err != nil || size != len(rsp) || !whole && !endsWithConn {
			t.Errorf("%s: %d bytes of %d, whole %v, %v", name, size, len(rsp), whole, err)
		}
	}
	for _, responses := range []map[string]string{brokenHeads, brokenBodies} {
		for name, rsp := range responses {
			if size, whole, endsWithConn, err := connector.ScanResponse([]byte(rsp), false, len(rsp)); err == nil && (whole || endsWithConn) {
				t.Errorf("%s: accepted %d bytes of %d", name, size, len(rsp))
			}
		}
	}
}

const usualHead = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 180\r\n" +
	"X-Attempt-Of-Request-Id: 0193a1c2-7b1e-7c3d-9e2f-1a2b3c4d5e6f\r\nX-Signature-Of-Answer: 3f6a8b1c2d4e5f60718293a4b5c6d7e8f90123456789abcd\r\n" +
	"X-Load-Of-The-Server-Now: 12,3,64,100\r\nCache-Control: no-store\r\nVary: Accept\r\n\r\n"

// BenchmarkScanHead measures what the check adds to each response; BenchmarkReadHead is the library's parsing of the same head.
func BenchmarkScanHead(b *testing.B) {
	data := []byte(usualHead)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, _, err := connector.ScanResponse(data, false, len(data)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkScanBody measures the check of a chunked body of 64 KiB.
func BenchmarkScanBody(b *testing.B) {
	data := []byte(chunkedHead + strings.Repeat("1000\r\n"+strings.Repeat("a", 4096)+"\r\n", 16) + "0\r\n\r\n")
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, whole, _, err := connector.ScanResponse(data, false, 4096); err != nil || !whole {
			b.Fatal(err)
		}
	}
}

// BenchmarkReadHead measures http.ReadResponse, for comparison.
func BenchmarkReadHead(b *testing.B) {
	data := []byte(usualHead)
	rest := bytes.NewReader(data)
	rd := bufio.NewReader(rest)
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		rest.Reset(data)
		rd.Reset(rest)
		if _, err := http.ReadResponse(rd, nil); err != nil {
			b.Fatal(err)
		}
	}
}
