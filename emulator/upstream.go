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

// Headers that emulated callers and upstreams exchange.
const (
	// HeaderOperation names one operation of a caller, across all its attempts.
	HeaderOperation = "X-Order"
	// HeaderPoison makes the upstream that runs the request crash if its value is the name of
	// the upstream's service, or "any".
	HeaderPoison = "X-Poison"
	// HeaderCallerWorkspace carries the workspace that the caller acts for.
	HeaderCallerWorkspace = "X-Owner"
	// HeaderAttempt names one HTTP request of a caller.
	HeaderAttempt = "X-Sending"
	// HeaderAnswerBytes asks for a response of at least so many bytes.
	HeaderAnswerBytes = "X-Answer-Bytes"
)

// Defaults of the options.
const (
	DefaultSlots       = 30
	DefaultConnections = 300
	DefaultServiceTime = 10 * time.Millisecond
	announceInterval   = time.Second
)

// Upstream is an emulated upstream. It is safe for concurrent use.
// The zero value is not usable; call NewUpstream.
type Upstream struct {
	tmb                 tomb.Tomb
	name                string
	service             gypsumhoist.Service
	network             connector.Network
	addr                netip.AddrPort
	node                netip.AddrPort
	slots               int
	conns               int
	meanServiceTime     time.Duration
	jitter              float64
	nestedPaths         []string
	boot                string
	answerBytes         int
	observe             func(checker.Run)
	client              *http.Client
	server              *http.Server
	slotSemaphore       chan struct{}
	slowdownPermille    atomic.Int64 // factor on service times
	state               atomic.Value // announcer.State
	falseLoad           atomic.Int64 // load to announce instead of the true one; negative for the true one
	reportLag           atomic.Int64 // in announcements
	pendingLoads        []int        // recent loads for reportLag, oldest first
	announcementsPaused atomic.Bool
	saysDraining        atomic.Bool
	running             atomic.Int64
	mu                  sync.Mutex
	random              *rand.Rand
	crashOnce           sync.Once
	crashed             chan struct{}
}

// Option sets one part of an Upstream.
type Option func(*Upstream)

// WithNetwork sets the network; the default is plain TCP.
func WithNetwork(nw connector.Network) Option { return func(up *Upstream) { up.network = nw } }

// WithAddress sets where the upstream listens.
func WithAddress(addr netip.AddrPort) Option { return func(up *Upstream) { up.addr = addr } }

// WithNode sets the node's address for its upstream: announcements and nested calls go there.
func WithNode(addr netip.AddrPort) Option { return func(up *Upstream) { up.node = addr } }

// WithSlots sets how many requests run concurrently and how many connections are announced.
func WithSlots(slots, conns int) Option {
	return func(up *Upstream) { up.slots, up.conns = slots, conns }
}

// WithServiceTime sets the mean service time of a request and its relative variation.
func WithServiceTime(mean time.Duration, jitter float64) Option {
	return func(up *Upstream) { up.meanServiceTime, up.jitter = mean, jitter }
}

// WithNestedCalls sets the paths that the upstream calls through its node, one after the other, for each request.
func WithNestedCalls(paths ...string) Option { return func(up *Upstream) { up.nestedPaths = paths } }

// WithAnswerBytes sets the minimum length of responses in bytes.
func WithAnswerBytes(size int) Option { return func(up *Upstream) { up.answerBytes = size } }

// WithObserver sets a function that is called at the end of each request, complete or not.
func WithObserver(observe func(checker.Run)) Option {
	return func(up *Upstream) { up.observe = observe }
}

// WithBoot sets the announced boot, which tells the processes of one upstream apart.
func WithBoot(boot string) Option { return func(up *Upstream) { up.boot = boot } }

// WithSeed seeds the random service times.
func WithSeed(seed uint64) Option {
	return func(up *Upstream) { up.random = rand.New(rand.NewPCG(seed, seed)) }
}

// NewUpstream returns an emulated upstream of a service.
func NewUpstream(name string, sv gypsumhoist.Service, opts ...Option) *Upstream {
	up := &Upstream{
		name: name, service: sv, network: &connector.TCP{},
		slots: DefaultSlots, conns: DefaultConnections, meanServiceTime: DefaultServiceTime, jitter: 0.2,
		answerBytes: 64, observe: func(checker.Run) {}, random: rand.New(rand.NewPCG(1, 2)), crashed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(up)
	}
	up.slowdownPermille.Store(1000)
	up.falseLoad.Store(-1)
	up.state.Store(announcer.StateReady)
	up.slotSemaphore = make(chan struct{}, up.slots)
	up.client = &http.Client{Transport: connector.NewCheckedTransport(&http.Transport{
		DialContext:         up.dialNode,
		MaxIdleConnsPerHost: up.slots,
		IdleConnTimeout:     time.Minute,
	})}
	return up
}

func (up *Upstream) dialNode(ctx context.Context, _, _ string) (net.Conn, error) {
	return up.network.Dial(ctx, up.node)
}

// Start listens and begins to announce and to serve.
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
	// Errors of closing the listener and the connections do not matter here.
	_ = up.server.Close()
	up.client.CloseIdleConnections()
	_ = up.tmb.Wait()
}

// Crashed returns a channel that closes when a poisoned request or Stop ended the upstream.
func (up *Upstream) Crashed() <-chan struct{} { return up.crashed }

// SetSlowdown sets the factor on service times; the default is 1.
func (up *Upstream) SetSlowdown(factor float64) { up.slowdownPermille.Store(int64(factor * 1000)) }

// SetState sets the state that the upstream announces.
func (up *Upstream) SetState(st announcer.State) { up.state.Store(st) }

// SetFalseLoad makes the upstream announce a fixed load instead of its own; a negative value ends that.
func (up *Upstream) SetFalseLoad(load int) { up.falseLoad.Store(int64(load)) }

// SetReportLag makes the upstream announce the load that it had some announcements ago; there is one each second.
func (up *Upstream) SetReportLag(announcements int) { up.reportLag.Store(int64(announcements)) }

// PauseAnnouncements pauses announcements, or resumes them if on is false.
func (up *Upstream) PauseAnnouncements(on bool) { up.announcementsPaused.Store(on) }

// SayDraining makes the upstream say in its answers that it drains, or no longer if on is false; its announcements stay as they are.
func (up *Upstream) SayDraining(on bool) { up.saysDraining.Store(on) }

// Boot returns the announced boot.
func (up *Upstream) Boot() string { return up.boot }

// Running returns the number of requests that run now.
func (up *Upstream) Running() int { return int(up.running.Load()) }

func (up *Upstream) run(ln net.Listener) error {
	// Serve always returns an error, which says only that the server was closed.
	_ = up.server.Serve(ln)
	return nil
}

func (up *Upstream) loop() error {
	tk := time.NewTicker(announceInterval)
	defer tk.Stop()
	for {
		if !up.announcementsPaused.Load() {
			up.announce()
		}
		select {
		case <-up.tmb.Dying():
			return nil
		case <-tk.C:
		}
	}
}

// announce sends one announcement to the node. A failed one is not retried, as the next one follows in a second.
func (up *Upstream) announce() {
	load := int(up.running.Load())
	load = up.delayedLoad(load)
	if forced := up.falseLoad.Load(); forced >= 0 {
		load = int(forced)
	}
	data, err := json.Marshal(announcer.Announcement{
		Service: up.service, Address: up.addr, Slots: up.slots, Connections: up.conns,
		State: up.state.Load().(announcer.State), Load: load, Boot: up.boot,
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(up.tmb.Context(nil), announceInterval)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+up.node.String()+announcer.Path, bytes.NewReader(data))
	if err != nil {
		return
	}
	if rs, err := up.client.Do(req); err == nil {
		_ = rs.Body.Close()
	}
}

// delayedLoad records the load and returns the one to announce, which is reportLag announcements old. Only loop calls it.
func (up *Upstream) delayedLoad(load int) int {
	up.pendingLoads = append(up.pendingLoads, load)
	lag := int(up.reportLag.Load())
	if len(up.pendingLoads) > lag+1 {
		up.pendingLoads = up.pendingLoads[len(up.pendingLoads)-lag-1:]
	}
	return up.pendingLoads[0]
}

// serve runs one request: it waits for a slot and for the service time, makes the nested calls and responds.
func (up *Upstream) serve(wr http.ResponseWriter, req *http.Request) {
	rn := checker.Run{
		Instance: gypsumhoist.Instance(up.name), Service: up.service, Method: req.Method,
		Operation: req.Header.Get(HeaderOperation), Attempt: req.Header.Get(HeaderAttempt),
		Workspace: gypsumhoist.Workspace(req.Header.Get(HeaderCallerWorkspace)), Header: req.Header.Clone(), Began: time.Now(),
	}
	defer func() { up.observe(rn) }()
	if val := req.Header.Get(HeaderPoison); val == string(up.service) || val == "any" {
		up.crash()
		panic(http.ErrAbortHandler)
	}
	// The body is read to its end and discarded.
	_, _ = io.Copy(io.Discard, req.Body)
	select {
	case up.slotSemaphore <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-up.slotSemaphore }()
	up.running.Add(1)
	defer up.running.Add(-1)
	select {
	case <-time.After(up.serviceTime()):
	case <-req.Context().Done():
		return
	}
	for _, path := range up.nestedPaths {
		if !up.callNested(wr, req, path) {
			return
		}
	}
	rn.Completed = true
	up.answer(wr, req)
}

// padding fills responses up to their length, in parts.
var padding = bytes.Repeat([]byte{'.'}, 64<<10)

func (up *Upstream) answer(wr http.ResponseWriter, req *http.Request) {
	text := fmt.Sprintf("%s %s for %s by %s\n", req.Method, req.URL.Path, req.Header.Get(HeaderOperation), up.name)
	size := max(len(text), up.answerBytes)
	if asked, err := strconv.Atoi(req.Header.Get(HeaderAnswerBytes)); err == nil {
		size = max(size, asked)
	}
	wr.Header().Set("Content-Type", "text/plain")
	wr.Header().Set("Content-Length", strconv.Itoa(size))
	if up.saysDraining.Load() {
		wr.Header().Set(gypsumhoist.HeaderDraining, "1")
	}
	// A write error means that the client has gone.
	_, err := io.WriteString(wr, text)
	for left := size - len(text); left > 0 && err == nil; left -= len(padding) {
		_, err = wr.Write(padding[:min(left, len(padding))])
	}
}

// callNested makes one nested call and reports whether it succeeded; if not, it has written the error response.
func (up *Upstream) callNested(wr http.ResponseWriter, req *http.Request, path string) bool {
	if name := req.Header.Get(HeaderOperation); name != "" {
		path += "/" + name
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+up.node.String()+path, nil)
	if err != nil {
		http.Error(wr, err.Error(), http.StatusInternalServerError)
		return false
	}
	for _, name := range []string{gypsumhoist.HeaderCall, HeaderOperation, HeaderAttempt, HeaderCallerWorkspace, HeaderPoison} {
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
	return time.Duration(float64(up.meanServiceTime) * vary * float64(up.slowdownPermille.Load()) / 1000)
}

// crash ends the upstream while it handles a request.
func (up *Upstream) crash() {
	up.crashOnce.Do(func() { close(up.crashed) })
	up.tmb.Kill(nil)
	// Errors of closing the connections do not matter in a crash.
	_ = up.server.Close()
}
