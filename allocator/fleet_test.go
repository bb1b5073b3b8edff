package allocator_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/allocator"
	"github.com/gypsumhoist/gypsumhoist/hasher"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// span is the window in which all tests count.
const span = 5 * time.Second

// fleet is a few allocators joined in memory.
type fleet struct {
	mu      sync.Mutex
	members []*member
	cut     map[gypsumhoist.FailureDomain]bool // cut off from all others
	started map[string][]time.Time             // requests of each workspace that were taken in, in order
	partial bool                               // nodes know only the first three of other domains
	asks    int                                // calls to other members, and those of them to other domains
	across  int
}

type member struct {
	fl   *fleet
	self allocator.Member
	al   *allocator.Allocator
	h    http.Handler
	down bool
}

var errCut = errors.New("the link is cut")

func newFleet(domains, nodes int) *fleet {
	fl := &fleet{cut: map[gypsumhoist.FailureDomain]bool{}, started: map[string][]time.Time{}}
	for dm := range domains {
		for at := range nodes {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(dm), byte(at)}), 80)
			mb := &member{fl: fl, self: allocator.Member{
				Instance: gypsumhoist.Instance(addr.String()), Domain: gypsumhoist.FailureDomain(fmt.Sprintf("d%d", dm)),
				Peer: addr, Alive: true,
			}}
			mb.begin()
			fl.members = append(fl.members, mb)
		}
	}
	fl.look()
	return fl
}

// begin starts a new process of the member.
func (mb *member) begin() {
	mb.al = allocator.New(mb.self.Instance, mb.self.Domain, allocator.WithPeers(mb), allocator.WithMetrics(metrics.NewSet()))
	path, h := mb.al.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, h)
	mb.h = mux
	mb.al.Start()
}

// look tells all members who is there.
func (fl *fleet) look() {
	var list []allocator.Member
	for _, mb := range fl.members {
		list = append(list, mb.self)
	}
	for _, mb := range fl.members {
		if fl.partial {
			mb.al.SetMembers(known(list, mb.self.Domain))
			continue
		}
		mb.al.SetMembers(list)
	}
}

// known returns what gossip tells a node of a domain: its own domain, and the bridges of others.
func known(list []allocator.Member, domain gypsumhoist.FailureDomain) []allocator.Member {
	byName := slices.SortedFunc(slices.Values(list), func(ma, mb allocator.Member) int {
		return cmp.Compare(hasher.Name(string(ma.Instance)), hasher.Name(string(mb.Instance)))
	})
	var out []allocator.Member
	bridges := map[gypsumhoist.FailureDomain]int{}
	for _, mb := range byName {
		if mb.Domain == domain || mb.Alive && bridges[mb.Domain] < 3 {
			out = append(out, mb)
			bridges[mb.Domain]++
		}
	}
	return out
}

func (fl *fleet) setRows(rows ...*registrar.Row) {
	for _, mb := range fl.members {
		mb.al.SetRows(rows)
	}
}

func (fl *fleet) stop() {
	for _, mb := range fl.members {
		mb.al.Stop()
	}
}

// restart ends all processes at once and begins new ones.
func (fl *fleet) restart(rows ...*registrar.Row) {
	fl.stop()
	for _, mb := range fl.members {
		mb.begin()
	}
	fl.look()
	fl.setRows(rows...)
}

// URL implements connector.Peers.
func (mb *member) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

// Do implements connector.Peers by a call of the other member's handler.
func (mb *member) Do(rq *http.Request) (*http.Response, error) {
	to := mb.fl.find(rq.URL.Host)
	delay := time.Millisecond
	mb.fl.mu.Lock()
	mb.fl.asks++
	if to.self.Domain == mb.self.Domain {
		delay /= 5
	} else {
		mb.fl.across++
	}
	mb.fl.mu.Unlock()
	time.Sleep(delay)
	if mb.fl.unreachable(mb, to) {
		<-rq.Context().Done()
		return nil, errCut
	}
	rec := httptest.NewRecorder()
	in := rq.Clone(rq.Context())
	in.RequestURI = rq.URL.RequestURI()
	to.h.ServeHTTP(rec, in)
	time.Sleep(delay)
	if mb.fl.unreachable(mb, to) {
		<-rq.Context().Done()
		return nil, errCut
	}
	rs := rec.Result()
	rs.Body = io.NopCloser(rec.Body)
	return rs, nil
}

func (fl *fleet) find(host string) *member {
	for _, mb := range fl.members {
		if mb.self.Peer.String() == host {
			return mb
		}
	}
	panic("nobody is at " + host)
}

func (fl *fleet) unreachable(ma, mb *member) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return ma.down || mb.down || ma.self.Domain != mb.self.Domain && (fl.cut[ma.self.Domain] || fl.cut[mb.self.Domain])
}

func (fl *fleet) setCut(dm gypsumhoist.FailureDomain, on bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.cut[dm] = on
}

// load sends requests of a row for a time, at random moments of a mean rate, to a member that pick chooses,
// and returns how many were asked for, how many of them were refused, and how many one bucket for the whole fleet would
// have refused.
func (fl *fleet) load(
	seed uint64, row *registrar.Row, perS float64, lasts time.Duration, pick func(*rand.Rand) *member,
) (asked, refused, unavoidable int) {
	return fl.loadBursts(seed, row, perS, 1, lasts, pick)
}

// loadBursts is load with several requests to the same member at each moment.
func (fl *fleet) loadBursts(
	seed uint64, row *registrar.Row, perS float64, burst int, lasts time.Duration, pick func(*rand.Rand) *member,
) (asked, refused, unavoidable int) {
	level, at := float64(row.Burst), time.Now()
	rnd := rand.New(rand.NewPCG(seed, seed))
	end := time.Now().Add(lasts)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var mb *member
	for {
		if asked%burst == 0 {
			time.Sleep(time.Duration(rnd.ExpFloat64() / perS * float64(burst) * float64(time.Second)))
			if !time.Now().Before(end) {
				break
			}
			mb = pick(rnd)
		}
		mb := mb
		asked++
		level = min(level+time.Since(at).Seconds()*float64(row.Rate)/float64(registrar.RateOne), float64(row.Burst))
		at = time.Now()
		if level >= 1 {
			level--
		} else {
			unavoidable++
		}
		wg.Go(func() {
			err := mb.al.Spend(context.Background(), row, 50)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			fl.mu.Lock()
			fl.started[string(row.Workspace)] = append(fl.started[string(row.Workspace)], time.Now())
			fl.mu.Unlock()
		})
	}
	wg.Wait()
	return asked, refused, unavoidable
}

// anyone picks any member.
func (fl *fleet) anyone(rnd *rand.Rand) *member { return fl.members[rnd.IntN(len(fl.members))] }

// loadAll sends requests of all rows at once, each at a share of its rate, and returns the sums of what load returns.
// Each arrival is a burst of so many requests at one member.
func (fl *fleet) loadAll(rows []*registrar.Row, share float64, burst int, lasts time.Duration) (asked, refused, unavoidable int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for at, rw := range rows {
		wg.Go(func() {
			perS := share * float64(rw.Rate) / float64(registrar.RateOne)
			as, rf, un := fl.loadBursts(uint64(at+1), rw, perS, burst, lasts, fl.anyone)
			mu.Lock()
			defer mu.Unlock()
			asked, refused, unavoidable = asked+as, refused+rf, unavoidable+un
		})
	}
	wg.Wait()
	return asked, refused, unavoidable
}

// busiest returns the most requests of a row that were taken in within one window.
func (fl *fleet) busiest(row *registrar.Row) int {
	most, from := 0, 0
	started := fl.started[string(row.Workspace)]
	for to, at := range started {
		for at.Sub(started[from]) >= span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
