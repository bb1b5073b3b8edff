package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/connector"
)

// Headers that the stand-ins use between themselves.
const (
	// HeaderOrder names one order of a caller, over all its sendings.
	HeaderOrder = "X-Order"
	// HeaderPoison makes the upstream that runs the request crash when its value is the name of
	// the upstream's service, or "any".
	HeaderPoison = "X-Poison"
	// HeaderOwner carries the workspace that the caller means to act for.
	HeaderOwner = "X-Owner"
	// HeaderSending names one HTTP request of a caller.
	HeaderSending = "X-Sending"
)

// Defaults of the options.
const (
	DefaultSlots       = 30
	DefaultConnections = 300
	DefaultServiceTime = 10 * time.Millisecond
	announceEvery      = time.Second
)

// Upstream is a stand-in for one upstream. It is safe for concurrent use.
// The zero value is not usable; call NewUpstream.
type Upstream struct {
	tmb       tomb.Tomb
	name      string
	service   gypsumhoist.Service
	network   connector.Network
	addr      netip.AddrPort
	node      netip.AddrPort
	slots     int
	conns     int
	took      time.Duration
	jitter    float64
	next      []string
	boot      string
	size      int
	observe   func(checker.Run)
	client    *http.Client
	server    *http.Server
	places    chan struct{}
	slowdown  atomic.Int64 // thousandths
	state     atomic.Value // announcer.State
	lie       atomic.Int64 // load to report instead of the true one; negative for the truth
	lag       atomic.Int64 // announcements
	loads     []int        // those not announced yet, the oldest first
	silent    atomic.Bool
	running   atomic.Int64
	mu        sync.Mutex
	random    *rand.Rand
	crashOnce sync.Once
	crashed   chan struct{}
}

// Option sets one part of an Upstream.
type Option func(*Upstream)

// WithNetwork sets the network; the default is plain TCP.
func WithNetwork(nw connector.Network) Option { return func(up *Upstream) { up.network = nw } }

// WithAddress sets where the upstream listens.
func WithAddress(ap netip.AddrPort) Option { return func(up *Upstream) { up.addr = ap } }

// WithNode sets the upstream's side of its node, for announcements and nested calls.
func WithNode(ap netip.AddrPort) Option { return func(up *Upstream) { up.node = ap } }

// WithSlots sets how many requests run at once and how many connections are announced.
func WithSlots(slots, conns int) Option {
	return func(up *Upstream) { up.slots, up.conns = slots, conns }
}

// WithServiceTime sets the mean time that a request takes, and by which share it varies.
func WithServiceTime(took time.Duration, jitter float64) Option {
	return func(up *Upstream) { up.took, up.jitter = took, jitter }
}

// WithNext sets the paths that each request calls in turn through the node.
func WithNext(paths ...string) Option { return func(up *Upstream) { up.next = paths } }

// WithSize sets the length of answers in bytes.
func WithSize(size int) Option { return func(up *Upstream) { up.size = size } }

// WithObserver calls a function for each request that ran.
func WithObserver(ob func(checker.Run)) Option { return func(up *Upstream) { up.observe = ob } }

// WithBoot tells processes of one upstream apart.
func WithBoot(boot string) Option { return func(up *Upstream) { up.boot = boot } }

// WithSeed fixes the random service times.
func WithSeed(seed uint64) Option {
	return func(up *Upstream) { up.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewUpstream returns a stand-in for an upstream of a service.
func NewUpstream(name string, sv gypsumhoist.Service, opts ...Option) *Upstream {
	up := &Upstream{
		name: name, service: sv, network: &connector.TCP{},
		slots: DefaultSlots, conns: DefaultConnections, took: DefaultServiceTime, jitter: 0.2,
		size: 64, observe: func(checker.Run) {}, random: rand.New(rand.NewPCG(1, 2)), crashed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(up)
	}
	up.slowdown.Store(1000)
	up.lie.Store(-1)
	up.state.Store(announcer.StateReady)
	up.places = make(chan struct{}, up.slots)
	up.client = &http.Client{Transport: &http.Transport{
		DialContext:         up.dialNode,
		MaxIdleConnsPerHost: up.slots,
		IdleConnTimeout:     time.Minute,
	}}
	return up
}

func (up *Upstream) dialNode(ctx context.Context, _, _ string) (net.Conn, error) {
	return up.network.Dial(ctx, up.node)
}

// Start listens, announces and begins to serve.
func (up *Upstream) Start() error {
	ln, err := up.network.Listen(up.addr)
	if err != nil {
		return fmt.Errorf("upstream %s: %w", up.name, err)
	}
	up.server = &http.Server{Handler: http.HandlerFunc(up.serve)}
	up.tmb.Go(func() error { return up.run(ln) })
	up.tmb.Go(up.loop)
	return nil
}

// Stop ends the upstream at once, as a crash would.
func (up *Upstream) Stop() {
	up.crashOnce.Do(func() { close(up.crashed) })
	up.tmb.Kill(nil)
	// The listener and all connections close; what that says is of no use.
	_ = up.server.Close()
	up.client.CloseIdleConnections()
	_ = up.tmb.Wait()
}

// Crashed returns a channel that closes when a poison request or Stop ended the upstream.
func (up *Upstream) Crashed() <-chan struct{} { return up.crashed }

// SetSlowdown multiplies service times; 1 is the plain time.
func (up *Upstream) SetSlowdown(factor float64) { up.slowdown.Store(int64(factor * 1000)) }

// SetState sets what the upstream announces.
func (up *Upstream) SetState(st announcer.State) { up.state.Store(st) }

// SetLie makes the upstream announce a load that is not its own; below zero it tells the truth.
func (up *Upstream) SetLie(load int) { up.lie.Store(int64(load)) }

// SetLag makes the upstream announce the load that it had some announcements ago; there is one each second.
func (up *Upstream) SetLag(announcements int) { up.lag.Store(int64(announcements)) }

// SetSilent stops or resumes announcements.
func (up *Upstream) SetSilent(on bool) { up.silent.Store(on) }

// Running returns how many requests the upstream runs now.
func (up *Upstream) Running() int { return int(up.running.Load()) }

func (up *Upstream) run(ln net.Listener) error {
	// Serve always ends with an error that says no more than that the server was closed.
	_ = up.server.Serve(ln)
	return nil
}

func (up *Upstream) loop() error {
	tk := time.NewTicker(announceEvery)
	defer tk.Stop()
	for {
		if !up.silent.Load() {
			up.announce()
		}
		select {
		case <-up.tmb.Dying():
			return nil
		case <-tk.C:
		}
	}
}

// announce tells the node about the upstream; a node that can't be reached is told again at the next beat.
func (up *Upstream) announce() {
	load := int(up.running.Load())
	load = up.late(load)
	if lie := up.lie.Load(); lie >= 0 {
		load = int(lie)
	}
	data, err := json.Marshal(announcer.Announcement{
		Service: up.service, Address: up.addr, Slots: up.slots, Connections: up.conns,
		State: up.state.Load().(announcer.State), Load: load, Boot: up.boot,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(up.tmb.Context(nil), announceEvery)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+up.node.String()+announcer.Path, bytes.NewReader(data))
	if err != nil {
		return
	}
	if rs, err := up.client.Do(req); err == nil {
		_ = rs.Body.Close()
	}
}

// late returns the load that an upstream whose reports lag announces now. Only the announcing goroutine calls it.
func (up *Upstream) late(load int) int {
	up.loads = append(up.loads, load)
	behind := int(up.lag.Load())
	if len(up.loads) > behind+1 {
		up.loads = up.loads[len(up.loads)-behind-1:]
	}
	return up.loads[0]
}

// serve runs one request: a slot, the service time, the nested calls, the answer.
func (up *Upstream) serve(wr http.ResponseWriter, req *http.Request) {
	rn := checker.Run{
		Instance: gypsumhoist.Instance(up.name), Service: up.service, Method: req.Method,
		Operation: req.Header.Get(HeaderOrder), Attempt: req.Header.Get(HeaderSending),
		Workspace: gypsumhoist.Workspace(req.Header.Get(HeaderOwner)), Header: req.Header.Clone(), Began: time.Now(),
	}
	defer func() { up.observe(rn) }()
	if val := req.Header.Get(HeaderPoison); val == string(up.service) || val == "any" {
		up.crash()
		panic(http.ErrAbortHandler)
	}
	// The stand-in has no use for the body beyond its end.
	_, _ = io.Copy(io.Discard, req.Body)
	select {
	case up.places <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-up.places }()
	up.running.Add(1)
	defer up.running.Add(-1)
	select {
	case <-time.After(up.serviceTime()):
	case <-req.Context().Done():
		return
	}
	for _, path := range up.next {
		if !up.call(wr, req, path) {
			return
		}
	}
	rn.Completed = true
	up.answer(wr, req)
}

func (up *Upstream) answer(wr http.ResponseWriter, req *http.Request) {
	text := fmt.Sprintf("%s %s for %s by %s\n", req.Method, req.URL.Path, req.Header.Get(HeaderOrder), up.name)
	if pad := up.size - len(text); pad > 0 {
		text += string(bytes.Repeat([]byte{'.'}, pad))
	}
	wr.Header().Set("Content-Type", "text/plain")
	wr.Header().Set("Content-Length", strconv.Itoa(len(text)))
	// A caller that has gone needs no answer.
	_, _ = io.WriteString(wr, text)
}

// call makes one nested call and reports whether it got a whole good answer.
func (up *Upstream) call(wr http.ResponseWriter, req *http.Request, path string) bool {
	if name := req.Header.Get(HeaderOrder); name != "" {
		path += "/" + name
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+up.node.String()+path, nil)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return false
	}
	for _, name := range []string{gypsumhoist.HeaderCall, HeaderOrder, HeaderSending, HeaderOwner, HeaderPoison} {
		if val := req.Header.Get(name); val != "" {
			out.Header.Set(name, val)
		}
	}
	rs, err := up.client.Do(out)
	if err != nil {
		http.Error(wr, "deeper service: "+err.Error(), http.StatusBadGateway)
		return false
	}
	defer rs.Body.Close()
	if _, err := io.Copy(io.Discard, rs.Body); err != nil || rs.StatusCode >= http.StatusBadRequest {
		for _, name := range []string{"Retry-After", gypsumhoist.HeaderReason} {
			wr.Header().Set(name, rs.Header.Get(name))
		}
		http.Error(wr, "deeper service failed", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (up *Upstream) serviceTime() time.Duration {
	up.mu.Lock()
	vary := 1 + up.jitter*(2*up.random.Float64()-1)
	up.mu.Unlock()
	return time.Duration(float64(up.took) * vary * float64(up.slowdown.Load()) / 1000)
}

// crash ends the upstream from within a request.
func (up *Upstream) crash() {
	up.crashOnce.Do(func() { close(up.crashed) })
	up.tmb.Kill(nil)
	// The upstream dies with all its connections; what closing says is of no use.
	_ = up.server.Close()
}
