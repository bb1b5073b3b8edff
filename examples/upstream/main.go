// Command upstream is an upstream that announces itself to its node, answers requests, calls another
// service as part of each request, and drains before it stops.
//
//	go run ./examples/upstream --service slips --listen 127.0.0.1:9000 --node 127.0.0.1:7401 --next /roster
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// announceInterval is well below the 3 s after which an announcement expires.
	announceInterval = time.Second
	// drainPeriod is how long the upstream keeps answering after it has announced that it drains.
	drainPeriod = 3 * time.Second
	// shutdownTimeout limits the wait for requests in flight.
	shutdownTimeout = 30 * time.Second
	// slots is the number of concurrent requests that the upstream announces.
	slots = 16
)

// announcement is the JSON document that an upstream sends to its node.
type announcement struct {
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	State       string         `json:"state"`
	Load        int            `json:"load"`
	Boot        string         `json:"boot"`
	Started     time.Time      `json:"started"`
}

// upstream is one process of a service.
type upstream struct {
	service  string
	listen   netip.AddrPort
	node     netip.AddrPort
	next     string
	boot     string
	started  time.Time
	inFlight atomic.Int64
}

func main() {
	us := &upstream{boot: strconv.FormatInt(time.Now().UnixNano(), 10), started: time.Now()}
	flag.StringVar(&us.service, "service", "slips", "service that this upstream answers")
	flag.TextVar(&us.listen, "listen", netip.MustParseAddrPort("127.0.0.1:9000"), "loopback address of this upstream")
	flag.TextVar(&us.node, "node", netip.MustParseAddrPort("127.0.0.1:7401"), "address on which the node beside it listens for its upstream")
	flag.StringVar(&us.next, "next", "", "path of a deeper call that each request makes; none when empty")
	flag.Parse()
	if err := us.serve(); err != nil {
		log.Fatal(err)
	}
}

// serve answers requests until a signal, then drains.
func (us *upstream) serve() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	sv := &http.Server{Addr: us.listen.String(), Handler: us, ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- sv.ListenAndServe() }()
	state := "ready"
	for {
		us.announce(state)
		select {
		case err := <-failed:
			return err
		case <-time.After(announceInterval):
			continue
		case <-ctx.Done():
		}
		break
	}
	return us.drain(sv)
}

// drain announces that the upstream takes no new requests, answers those that still arrive, and stops.
func (us *upstream) drain(sv *http.Server) error {
	for end := time.Now().Add(drainPeriod); time.Now().Before(end); time.Sleep(announceInterval) {
		us.announce("draining")
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := sv.Shutdown(ctx)
	us.withdraw(ctx)
	return err
}

// withdraw tells the node that this upstream is gone, so that the node need not detect it.
func (us *upstream) withdraw(ctx context.Context) {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+us.node.String()+"/gypsumhoist/announce", nil)
	if err != nil {
		log.Print(err)
		return
	}
	rs, err := http.DefaultClient.Do(req)
	if err != nil {
		log.Print(err)
		return
	}
	_ = rs.Body.Close()
}

// announce sends an announcement to the node. A failed one is not repeated, as the next replaces it.
func (us *upstream) announce(state string) {
	data, err := json.Marshal(announcement{
		Service: us.service, Address: us.listen, Slots: slots, Connections: 4 * slots,
		State: state, Load: int(us.inFlight.Load()), Boot: us.boot, Started: us.started,
	})
	if err != nil {
		log.Print(err)
		return
	}
	rs, err := http.Post("http://"+us.node.String()+"/gypsumhoist/announce", "application/json", bytes.NewReader(data))
	if err != nil {
		log.Print(err)
		return
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(rs.Body, 1024))
		log.Printf("announcement: %s %s", rs.Status, text)
	}
}

// ServeHTTP answers one request. Its context ends when the caller goes away or the deadline passes.
func (us *upstream) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	us.inFlight.Add(1)
	defer us.inFlight.Add(-1)
	text := fmt.Sprintf("%s answers %s\n", us.service, req.URL.Path)
	if us.next != "" {
		nested, err := us.callNext(req)
		if err != nil {
			// This upstream has run the request, so it must not pass on a verdict of not_run.
			http.Error(wr, err.Error(), http.StatusServiceUnavailable)
			return
		}
		text += nested
	}
	_, _ = io.WriteString(wr, text)
}

// callNext makes a nested call through the node. The call token links it to the request that this upstream runs:
// the call inherits the workspace, importance, deadline and retry budget of that request and needs no key.
func (us *upstream) callNext(req *http.Request) (string, error) {
	out, err := http.NewRequestWithContext(req.Context(), http.MethodGet, "http://"+us.node.String()+us.next, nil)
	if err != nil {
		return "", err
	}
	out.Header.Set(gypsumhoist.HeaderCall, req.Header.Get(gypsumhoist.HeaderCall))
	rs, err := http.DefaultClient.Do(out)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return "", err
	}
	if rs.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%s: %s (%s)", us.next, rs.Status, rs.Header.Get(gypsumhoist.HeaderReason))
	}
	return string(data), nil
}
