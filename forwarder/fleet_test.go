package forwarder_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

const (
	portCallers  = 7400
	portOutbound = 7401
	portPeers    = 7402
	portUpstream = 9000
	domain       = gypsumhoist.FailureDomain("hobart")
)

// received is one request as an upstream got it.
type received struct {
	header  http.Header
	trailer http.Header
	body    string
	path    string
	method  string
}

// node is one forwarder with its servers and its upstream.
type node struct {
	name     gypsumhoist.Instance
	host     *emulator.Host
	addr     netip.Addr
	fw       *forwarder.Forwarder
	rt       *router.Router
	records  *explainer.Store
	options  []forwarder.Option
	pool     *connector.UpstreamPool
	started  time.Time // of the upstream's process
	mu       sync.Mutex
	received []received
	handler  http.HandlerFunc
	// handlerReadsBody leaves reading the request's body to the handler; requests are not recorded then.
	handlerReadsBody bool
}

// nodeSlots is how many calls each node admits to its upstream at one time.
const nodeSlots = 20

// fleet is a few nodes in one synctest bubble. It has no control instances: the specs set the table.
type fleet struct {
	network  *emulator.Network
	nodes    []*node
	tables   *registrar.Holder
	rows     []registrar.Row
	grants   []registrar.KeyGrant
	revision uint64
	client   *http.Client
	// transport is the client's.
	transport *http.Transport
	machine   *claimer.Machine
	closers   []func()
	claimsMu  sync.Mutex
	// throttling gives a throttler to nodes that are added from now on.
	throttling bool
	// logs receives the log lines of nodes that are added from now on.
	logs *safeBuffer
}

// safeBuffer is a buffer that several nodes may write to concurrently.
type safeBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (sb *safeBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.text.Write(data)
}

func (sb *safeBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.text.String()
}

// withFleet runs a spec inside a synctest bubble with a fleet.
func withFleet(spec func(fl *fleet)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			fl := &fleet{network: emulator.New(), tables: registrar.NewHolder()}
			fl.machine = claimer.NewMachine(claimer.DefaultSettings(), 1, time.Now())
			fl.transport = &http.Transport{DialContext: dialFrom(fl.network.Host(netip.MustParseAddr("10.9.0.1"), "outside"))}
			fl.client = &http.Client{Transport: fl.transport}
			defer fl.close()
			spec(fl)
		})
	}
}

func dialFrom(hs *emulator.Host) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return hs.Dial(ctx, netip.MustParseAddrPort(addr))
	}
}

func (fl *fleet) close() {
	fl.client.CloseIdleConnections()
	for _, cl := range fl.closers {
		cl()
	}
}

// Propose applies a claim command to the fleet's only state machine.
func (fl *fleet) Propose(_ context.Context, _ gypsumhoist.FailureDomain, _ int, cmd []byte) ([]byte, error) {
	fl.claimsMu.Lock()
	defer fl.claimsMu.Unlock()
	return fl.machine.Apply(cmd, time.Now()), nil
}

// ShardOf puts every claim into one shard.
func (fl *fleet) ShardOf(string) int { return 0 }

// row adds a row and publishes the table.
func (fl *fleet) row(rw registrar.Row) {
	rw.Number = 1
	if rw.Weight == 0 {
		rw.Weight = 1
	}
	if rw.Deadline == 0 {
		rw.Deadline = 10 * time.Second
	}
	if rw.Importance == 0 {
		rw.Importance = 50
	}
	rw.RetryPercent = 100
	fl.rows = append(fl.rows, rw)
	fl.publish()
}

// grant gives a workspace a key.
func (fl *fleet) grant(ws gypsumhoist.Workspace) string {
	key, gr, err := registrar.MintKey(ws, rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	fl.grants = append(fl.grants, gr)
	fl.publish()
	return key
}

func (fl *fleet) withdrawAll() {
	fl.grants = nil
	fl.publish()
}

func (fl *fleet) publish() {
	fl.revision++
	fl.tables.Update(registrar.NewTable(registrar.Contents{Revision: fl.revision, Rows: fl.rows, Grants: fl.grants}))
	fl.tables.Confirm(fl.revision, time.Now())
}

// add starts a node with an upstream; the part of its name before the dash is its service.
func (fl *fleet) add(name gypsumhoist.Instance, handler http.HandlerFunc) *node {
	addr := netip.AddrFrom4([4]byte{10, 0, 0, byte(len(fl.nodes) + 1)})
	nd := &node{name: name, addr: addr, host: fl.network.Host(addr, domain), handler: handler, started: time.Now()}
	peers := connector.NewPeerPool(connector.WithNetwork(nd.host))
	claims := claimer.New(claimer.WithGroup(fl))
	claims.SetDomains([]gypsumhoist.FailureDomain{domain}, nil)
	claims.Start()
	var th *throttler.Throttler
	if fl.throttling {
		th = throttler.New(mathrand.New(mathrand.NewPCG(1, uint64(len(fl.nodes)))))
	}
	var lg *logger.Logger
	if fl.logs != nil {
		lg = logger.New(fl.logs, "instance", name)
	}
	nd.records = explainer.New(100)
	nd.options = []forwarder.Option{
		forwarder.WithLogger(lg), forwarder.WithThrottler(th),
		forwarder.WithInstance(name), forwarder.WithHolder(fl.tables),
		forwarder.WithClaimer(claims), forwarder.WithPeers(peers), forwarder.WithRecordStore(nd.records),
	}
	pool := connector.NewUpstreamPool(netip.AddrPortFrom(addr, portUpstream), connector.WithNetwork(nd.host))
	pool.Start()
	nd.pool = pool
	fl.restart(nd)
	fl.serve(nd.host, addr, portCallers, nd.present(func(fw *forwarder.Forwarder) http.Handler { return fw.Callers() }))
	fl.serve(nd.host, addr, portOutbound, nd.present(func(fw *forwarder.Forwarder) http.Handler { return fw.Outbound() }))
	fl.serve(nd.host, addr, portPeers, nd.present(func(fw *forwarder.Forwarder) http.Handler { return fw.Peer(http.NotFoundHandler()) }))
	fl.serve(nd.host, addr, portUpstream, http.HandlerFunc(nd.upstream))
	fl.closers = append(fl.closers, pool.Stop, peers.Close, claims.Stop)
	fl.nodes = append(fl.nodes, nd)
	fl.updateRouters()
	return nd
}

// restart gives a node a forwarder without any memory, as after a restart of its process. Requests in flight end as before.
func (fl *fleet) restart(nd *node) {
	admit := admitter.New()
	admit.SetSlots(nodeSlots)
	rt := router.New(domain)
	fw := forwarder.New(append([]forwarder.Option{
		forwarder.WithRouter(rt), forwarder.WithRetrier(retrier.New()), forwarder.WithAdmitter(admit, admitter.NewForecaster()),
	}, nd.options...)...)
	fw.SetUpstream(netip.AddrPortFrom(nd.addr, portUpstream), nd.started, nd.pool)
	nd.mu.Lock()
	nd.fw, nd.rt = fw, rt
	nd.mu.Unlock()
	fl.updateRouters()
}

// present returns a handler that passes each request to a handler of the node's present forwarder.
func (nd *node) present(of func(*forwarder.Forwarder) http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		nd.mu.Lock()
		fw := nd.fw
		nd.mu.Unlock()
		of(fw).ServeHTTP(wr, req)
	})
}

// updateRouters sets the upstreams of all services in the routers of all nodes.
func (fl *fleet) updateRouters() {
	for _, nd := range fl.nodes {
		for _, other := range fl.nodes {
			nd.rt.SetUpstreams(other.service(), fl.upstreams(other.service()))
		}
	}
}

func (fl *fleet) upstreams(sv gypsumhoist.Service) []router.Upstream {
	var ups []router.Upstream
	for _, nd := range fl.nodes {
		if nd.service() == sv {
			ups = append(ups, router.Upstream{
				Instance: nd.name, Domain: domain, Peer: netip.AddrPortFrom(nd.addr, portPeers), Slots: 20,
				Process: nd.started.UnixMilli(),
			})
		}
	}
	return ups
}

// service is the part of an instance's name before the dash.
func (nd *node) service() gypsumhoist.Service {
	name, _, _ := bytes.Cut([]byte(nd.name), []byte("-"))
	return gypsumhoist.Service(name)
}

func (fl *fleet) serve(hs *emulator.Host, addr netip.Addr, port uint16, handler http.Handler) {
	ln, err := hs.Listen(netip.AddrPortFrom(addr, port))
	Expect(err).NotTo(HaveOccurred())
	sv := connector.NewServer(handler)
	go func() { _ = sv.Serve(ln) }()
	fl.closers = append(fl.closers, func() { _ = sv.Close() })
}

// upstream records the request and lets the node's handler answer.
func (nd *node) upstream(wr http.ResponseWriter, req *http.Request) {
	if nd.handlerReadsBody {
		nd.handler(wr, req)
		return
	}
	data, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	nd.mu.Lock()
	nd.received = append(nd.received, received{req.Header.Clone(), req.Trailer.Clone(), string(data), req.URL.RequestURI(), req.Method})
	nd.mu.Unlock()
	req.Body = io.NopCloser(bytes.NewReader(data))
	nd.handler(wr, req)
}

func (nd *node) requests() []received {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	return append([]received(nil), nd.received...)
}

func runs(nds ...*node) int {
	sum := 0
	for _, nd := range nds {
		sum += len(nd.requests())
	}
	return sum
}

// call sends a request to a node's callers' port.
func (fl *fleet) call(nd *node, method, path, body string, pairs ...string) (*http.Response, string, error) {
	var rd io.Reader
	if body != "" {
		rd = bytes.NewReader([]byte(body))
	}
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", nd.addr, portCallers, path), rd)
	Expect(err).NotTo(HaveOccurred())
	for ix := 0; ix < len(pairs); ix += 2 {
		req.Header.Add(pairs[ix], pairs[ix+1])
	}
	return fl.do(req)
}

func (fl *fleet) do(req *http.Request) (*http.Response, string, error) {
	rs, err := fl.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return rs, string(data), err
}

// nestedCall sends a call of a node's upstream through the node.
func (fl *fleet) nestedCall(nd *node, method, path, token string, pairs ...string) (*http.Response, string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", nd.addr, portOutbound, path), nil)
	Expect(err).NotTo(HaveOccurred())
	if token != "" {
		req.Header.Set(gypsumhoist.HeaderCall, token)
	}
	for ix := 0; ix < len(pairs); ix += 2 {
		req.Header.Set(pairs[ix], pairs[ix+1])
	}
	rs, text, err := fl.do(req)
	Expect(err).NotTo(HaveOccurred())
	return rs, text
}

func respond(text string) http.HandlerFunc {
	return func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, text) }
}

// randomText returns random hexadecimal digits.
func randomText(size int) string {
	num, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), uint(size)*4))
	Expect(err).NotTo(HaveOccurred())
	return fmt.Sprintf("%0*x", size, num)
}

func (nd *node) upstreamAddr() netip.AddrPort { return netip.AddrPortFrom(nd.addr, portUpstream) }
