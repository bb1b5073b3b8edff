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

// limitWindow is the window for which the tests check rate and burst.
const limitWindow = 5 * time.Second

// fleet is a set of allocators connected by a simulated network.
type fleet struct {
	mu               sync.Mutex
	members          []*member
	partitioned      map[gypsumhoist.FailureDomain]bool // cut off from all others
	admitted         map[string][]time.Time             // start times of admitted requests by workspace, in order
	partialView      bool                               // nodes know only the first three nodes of each other domain
	calls            int                                // calls to other members, including those to other domains
	crossDomainCalls int
}

type member struct {
	fl   *fleet
	self allocator.Member
	al   *allocator.Allocator
	h    http.Handler
	down bool
	// slow is how much later the member runs the calls that it receives.
	slow time.Duration
	// older is set for a member whose messages lack what older builds do not know.
	older bool
}

var errPartitioned = errors.New("simulated network: member unreachable")

func newFleet(domains, nodes int) *fleet {
	fl := &fleet{partitioned: map[gypsumhoist.FailureDomain]bool{}, admitted: map[string][]time.Time{}}
	for dm := range domains {
		for at := range nodes {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(dm), byte(at)}), 80)
			mb := &member{fl: fl, self: allocator.Member{
				Instance: gypsumhoist.Instance(addr.String()), Domain: gypsumhoist.FailureDomain(fmt.Sprintf("d%d", dm)),
				Peer: addr, Alive: true,
			}}
			mb.start()
			fl.members = append(fl.members, mb)
		}
	}
	fl.updateMembers()
	return fl
}

// start starts a new process of the member.
func (mb *member) start() {
	mb.al = allocator.New(mb.self.Instance, mb.self.Domain, allocator.WithPeers(mb), allocator.WithMetrics(metrics.NewSet()))
	path, h := mb.al.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, h)
	mb.h = mux
	mb.al.Start()
}

// updateMembers passes the member list to all members.
func (fl *fleet) updateMembers() {
	var list []allocator.Member
	for _, mb := range fl.members {
		list = append(list, mb.self)
	}
	for _, mb := range fl.members {
		if fl.partialView {
			mb.al.SetMembers(gossipView(list, mb.self.Domain))
			continue
		}
		mb.al.SetMembers(list)
	}
}

// gossipView returns the members that a node of a domain knows by gossip: its own domain, and the bridges of the others.
func gossipView(list []allocator.Member, domain gypsumhoist.FailureDomain) []allocator.Member {
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
	// Calls to slow members that nobody waits for end.
	time.Sleep(time.Second)
}

// restart stops all processes at once and starts new ones.
func (fl *fleet) restart(rows ...*registrar.Row) {
	fl.stop()
	for _, mb := range fl.members {
		mb.start()
	}
	fl.updateMembers()
	fl.setRows(rows...)
}

// URL implements connector.Peers.
func (mb *member) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

// Do implements connector.Peers. It calls the other member's handler, with a delay each way.
func (mb *member) Do(rq *http.Request) (*http.Response, error) {
	to := mb.fl.find(rq.URL.Host)
	delay := time.Millisecond
	mb.fl.mu.Lock()
	mb.fl.calls++
	if to.self.Domain == mb.self.Domain {
		delay /= 5
	} else {
		mb.fl.crossDomainCalls++
	}
	mb.fl.mu.Unlock()
	time.Sleep(delay)
	if mb.fl.unreachable(mb, to) {
		<-rq.Context().Done()
		return nil, errPartitioned
	}
	in := rq.Clone(context.WithoutCancel(rq.Context()))
	in.RequestURI = rq.URL.RequestURI()
	if mb.older || to.older {
		dropEchoes(in, nil)
	}
	rs, err := to.handle(rq, func() *http.Response {
		rec := httptest.NewRecorder()
		to.h.ServeHTTP(rec, in)
		rs := rec.Result()
		rs.Body = io.NopCloser(rec.Body)
		if to.older {
			dropEchoes(in, rs)
		}
		return rs
	})
	time.Sleep(delay)
	if err == nil && mb.fl.unreachable(mb, to) {
		<-rq.Context().Done()
		return nil, errPartitioned
	}
	return rs, err
}

func (fl *fleet) find(host string) *member {
	for _, mb := range fl.members {
		if mb.self.Peer.String() == host {
			return mb
		}
	}
	panic("no member at " + host)
}

func (fl *fleet) unreachable(ma, mb *member) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return ma.down || mb.down || ma.self.Domain != mb.self.Domain && (fl.partitioned[ma.self.Domain] || fl.partitioned[mb.self.Domain])
}

func (fl *fleet) setPartitioned(dm gypsumhoist.FailureDomain, on bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.partitioned[dm] = on
}

// load sends requests of a row, with Poisson arrivals of a mean rate, to members selected by pick. It returns how many requests
// were sent, how many of them were refused, and how many a single bucket for the whole fleet would have refused.
func (fl *fleet) load(
	seed uint64, row *registrar.Row, perSecond float64, duration time.Duration, pick func(*rand.Rand) *member,
) (sent, refused, unavoidable int) {
	return fl.loadBursts(seed, row, perSecond, 1, duration, pick)
}

// loadBursts is like load, with several requests to the same member at each arrival.
func (fl *fleet) loadBursts(
	seed uint64, row *registrar.Row, perSecond float64, burst int, duration time.Duration, pick func(*rand.Rand) *member,
) (sent, refused, unavoidable int) {
	level, at := float64(row.Burst), time.Now()
	rnd := rand.New(rand.NewPCG(seed, seed))
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var mb *member
	for {
		if sent%burst == 0 {
			time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(burst) * float64(time.Second)))
			if !time.Now().Before(end) {
				break
			}
			mb = pick(rnd)
		}
		mb := mb
		sent++
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
			fl.admitted[string(row.Workspace)] = append(fl.admitted[string(row.Workspace)], time.Now())
			fl.mu.Unlock()
		})
	}
	wg.Wait()
	return sent, refused, unavoidable
}

// anyMember picks a random member.
func (fl *fleet) anyMember(rnd *rand.Rand) *member { return fl.members[rnd.IntN(len(fl.members))] }

// loadAll sends requests of all rows concurrently, each row at a share of its rate, and returns the sums of the results of load.
// Each arrival is a burst of requests at one member.
func (fl *fleet) loadAll(rows []*registrar.Row, share float64, burst int, duration time.Duration) (sent, refused, unavoidable int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for at, rw := range rows {
		wg.Go(func() {
			perSecond := share * float64(rw.Rate) / float64(registrar.RateOne)
			as, rf, un := fl.loadBursts(uint64(at+1), rw, perSecond, burst, duration, fl.anyMember)
			mu.Lock()
			defer mu.Unlock()
			sent, refused, unavoidable = sent+as, refused+rf, unavoidable+un
		})
	}
	wg.Wait()
	return sent, refused, unavoidable
}

// busiestWindow returns the largest number of requests of a row admitted within one window.
func (fl *fleet) busiestWindow(row *registrar.Row) int {
	most, from := 0, 0
	started := fl.admitted[string(row.Workspace)]
	for to, at := range started {
		for at.Sub(started[from]) >= limitWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
