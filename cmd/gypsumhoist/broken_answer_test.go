package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

// newRawPort returns a runner of commands against a port that answers every request with the given bytes and closes the connection.
func newRawPort(t *testing.T, answer string) *commandRunner {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(cn)); err == nil {
				_, _ = io.WriteString(cn, answer)
			}
			_ = cn.Close()
		}
	}()
	return &commandRunner{t: t, at: netip.MustParseAddrPort(ln.Addr().String())}
}

// TestBrokenAnswers guards against commands that print a malformed or truncated answer as if it were complete.
func TestBrokenAnswers(t *testing.T) {
	const body = `{"suspects":[]}`
	for name, answer := range map[string]string{
		"ends with its connection": "HTTP/1.1 200 OK\r\n\r\n" + body,
		"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 15\r\n\r\n" + body,
		"a name with a space":      "HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 15\r\n\r\n" + body,
		"a length with a space":    "HTTP/1.1 200 OK\r\nContent-Length : 15\r\n\r\n" + body,
		"a truncated body":         "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n" + body,
		"no last chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n",
	} {
		t.Run(name, func(t *testing.T) { newRawPort(t, answer).mustFail("answer", "quarantine", "list", "--json") })
	}
	t.Run("a proper one", func(t *testing.T) {
		newRawPort(t, "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n"+body).mustRun(`"suspects"`, "quarantine", "list", "--json")
	})
	t.Run("one that is too long", func(t *testing.T) {
		long := strings.Repeat(" ", answerBytesMax)
		newRawPort(t, "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4000000\r\n"+long+"\r\nf\r\n"+body+"\r\n0\r\n\r\n").
			mustFail("longer than", "quarantine", "list", "--json")
	})
}
