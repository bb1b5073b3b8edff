//go:build standin3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// pipeline sends safe requests on one connection before the first one is answered, and returns the answers in their order. Requests
// without an answer have the error that ended the connection.
func pipeline(rec *record, mc *machine, host string, paths []string, deadline time.Duration) []*answer {
	answers := make([]*answer, len(paths))
	for ix := range paths {
		answers[ix] = &answer{id: newAttemptID(), began: time.Now()}
	}
	err := exchangePipelined(mc, host, paths, answers, deadline)
	for ix, an := range answers {
		if an.status == 0 && an.err == nil {
			an.err = err
		}
		if an.ended.IsZero() {
			an.ended = time.Now()
		}
		rec.note("client at %s: request %d of its connection, %s GET %s%s: %s", mc.name, ix+1, an.id, host, paths[ix], an)
	}
	return answers
}

// exchangePipelined writes all requests and reads the answers up to the end of the connection.
func exchangePipelined(mc *machine, host string, paths []string, answers []*answer, deadline time.Duration) error {
	cn, err := net.DialTimeout("tcp", mc.addr(portOutbound), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = cn.Close() }()
	return exchangeOn(cn, bufio.NewReader(cn), host, paths, answers, deadline)
}

// exchangeOn is exchangePipelined on an open connection.
func exchangeOn(cn net.Conn, rd *bufio.Reader, host string, paths []string, answers []*answer, deadline time.Duration) error {
	if err := cn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return err
	}
	for ix, path := range paths {
		_, err := fmt.Fprintf(cn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
			path, host, headerAttempt, answers[ix].id, headerDeadline, deadline.Milliseconds())
		if err != nil {
			return err
		}
	}
	for _, an := range answers {
		rs, err := http.ReadResponse(rd, nil)
		if err != nil {
			return err
		}
		data, err := io.ReadAll(rs.Body)
		an.status, an.signed, an.body, an.err = rs.StatusCode, rs.Header.Get(headerSignature) != "", string(data), err
		an.closes, an.ended = rs.Close, time.Now()
		if err != nil {
			return err
		}
	}
	return nil
}
