package crowd_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// callerHead is the largest head of a client inside the limits, in bytes.
const callerHead = 16384

func TestLongestLegalHeadIsServed(t *testing.T) {
	// Guards against limits that a single client inside the limits meets, here or between nodes.
	ps := startProcess(t, settings{})
	begin := "GET /slips/7 HTTP/1.1\r\nHost: a\r\n" + gypsumhoist.HeaderKey + ": " + ps.key + "\r\n"
	for name, lines := range map[string]string{
		"short lines": shortLines(callerHead - len(begin) - 16), "odd lines": oddLines(callerHead - len(begin) - 32),
	} {
		ps.retry(name, func(context.Context) error {
			cn, err := net.DialTimeout("tcp", ps.callers.String(), time.Second)
			if err != nil {
				return err
			}
			defer cn.Close()
			_ = cn.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(cn, begin+lines+"\r\n"); err != nil {
				return err
			}
			rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
			if err == nil && rs.StatusCode == http.StatusServiceUnavailable {
				// The node remembers that requests failed before the upstream was announced.
				return errors.New(rs.Status)
			}
			if err != nil || rs.StatusCode != http.StatusOK {
				t.Fatalf("response %v, error %v", rs, err)
			}
			return nil
		})
	}
}
