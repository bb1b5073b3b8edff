package limiter_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// fleet is a set of limiters connected in memory. All its rows are in one shard.
type fleet struct {
	mu       sync.Mutex
	members  []*member
	leaders  map[string]*member
	since    map[string]time.Time
	epoch    uint64
	messages int
	delay    time.Duration // one way between domains; a fifth of it within one
}

type member struct {
	fl   *fleet
	addr netip.AddrPort
	dm   string
	lm   *limiter.Limiter
	h    http.Handler
	down bool
}

var errUnreachable = errors.New("the other member is unreachable")

func newFleet(domains, nodes int) *fleet {
	fl := &fleet{leaders: map[string]*member{}, since: map[string]time.Time{}, delay: time.Millisecond}
	for dm := range domains {
		for at := range nodes {
			mb := &member{fl: fl, dm: fmt.Sprintf("d%d", dm)}
			mb.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(dm), byte(at)}), 80)
			mb.lm = limiter.New(
				limiter.WithInstance(gypsumhoist.Instance(mb.addr.String()), gypsumhoist.FailureDomain(mb.dm)),
				limiter.WithDirectory(mb), limiter.WithPeers(mb), limiter.WithMetrics(metrics.NewSet()),
			)
			path, h := mb.lm.Handler()
			mux := http.NewServeMux()
			mux.Handle(path, h)
			mb.h = mux
			fl.members = append(fl.members, mb)
		}
		fl.elect(fl.members[len(fl.members)-nodes])
	}
	for _, mb := range fl.members {
		mb.lm.Start()
	}
	return fl
}

func (fl *fleet) elect(mb *member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.epoch++
	fl.leaders[mb.dm], fl.since[mb.dm] = mb, time.Now()
}

// setLeader makes a member the holder of its domain's lease again; nil makes it nobody.
func (fl *fleet) setLeader(dm string, mb *member) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.leaders[dm] = mb
}

func (fl *fleet) stop() {
	for _, mb := range fl.members {
		mb.lm.Stop()
	}
}

func (fl *fleet) setTable(revision uint64, rows ...*registrar.Row) {
	tb := limiter.Table{Revision: revision, Confirmed: revision, AsOf: time.Now()}
	for _, mb := range fl.members {
		if len(tb.Domains) == 0 || string(tb.Domains[len(tb.Domains)-1]) != mb.dm {
			tb.Domains = append(tb.Domains, gypsumhoist.FailureDomain(mb.dm))
		}
	}
	for _, rw := range rows {
		tb.Rows = append(tb.Rows, limiter.Entry{Row: rw})
	}
	for _, mb := range fl.members {
		mb.lm.SetTable(tb)
	}
}

// Leader implements limiter.Directory.
func (mb *member) Leader(domain string, _ int) (netip.AddrPort, bool) {
	mb.fl.mu.Lock()
	defer mb.fl.mu.Unlock()
	ld := mb.fl.leaders[domain]
	if ld == nil {
		return netip.AddrPort{}, false
	}
	return ld.addr, true
}

// Lease implements limiter.Directory.
func (mb *member) Lease(int) (uint64, time.Time, bool) {
	mb.fl.mu.Lock()
	defer mb.fl.mu.Unlock()
	return uint64(mb.fl.since[mb.dm].UnixNano()), mb.fl.since[mb.dm], mb.fl.leaders[mb.dm] == mb
}

// ShardOf implements limiter.Directory.
func (mb *member) ShardOf(string) int { return 0 }

// URL implements connector.Peers.
func (mb *member) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

// Do implements connector.Peers by calling the other member's handler.
func (mb *member) Do(rq *http.Request) (*http.Response, error) {
	to, wait := mb.find(rq.URL.Host)
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return nil, err
	}
	if err := sleep(rq.Context(), wait); err != nil {
		return nil, err
	}
	if mb.unreachable(to) {
		<-rq.Context().Done()
		return nil, errUnreachable
	}
	rc := httptest.NewRecorder()
	inner := httptest.NewRequestWithContext(rq.Context(), rq.Method, rq.URL.String(), bytes.NewReader(body))
	inner.Header = rq.Header
	to.h.ServeHTTP(rc, inner)
	if err := sleep(rq.Context(), wait); err != nil {
		return nil, err
	}
	return rc.Result(), nil
}

func (mb *member) find(host string) (*member, time.Duration) {
	mb.fl.mu.Lock()
	defer mb.fl.mu.Unlock()
	mb.fl.messages++
	for _, to := range mb.fl.members {
		if to.addr.String() == host {
			if to.dm == mb.dm {
				return to, mb.fl.delay / 5
			}
			return to, mb.fl.delay
		}
	}
	return nil, 0
}

func (mb *member) unreachable(to *member) bool {
	mb.fl.mu.Lock()
	defer mb.fl.mu.Unlock()
	return to == nil || to.down || mb.down
}

func sleep(ctx context.Context, wait time.Duration) error {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callers calls Spend of a member from many goroutines at once.
type callers struct {
	mu     sync.Mutex
	wg     sync.WaitGroup
	spent  int
	reason map[gypsumhoist.Reason]int
	waits  []time.Duration
}

func (cs *callers) spend(mb *member, rw *registrar.Row, count int) {
	for range count {
		cs.wg.Go(func() {
			since := time.Now()
			err := mb.lm.Spend(context.Background(), rw, 1)
			cs.note(err, time.Since(since))
		})
	}
}

func (cs *callers) note(err error, wait time.Duration) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.waits = append(cs.waits, wait)
	var rf *gypsumhoist.Refusal
	if !errors.As(err, &rf) {
		cs.spent++
		return
	}
	if cs.reason == nil {
		cs.reason = map[gypsumhoist.Reason]int{}
	}
	cs.reason[rf.Reason]++
}
