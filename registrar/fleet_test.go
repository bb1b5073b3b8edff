package registrar_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

var errPartitioned = errors.New("cut off")

// fleet is a set of instances over an in-memory network, for use in a synctest bubble.
// The control instances share one State, as if their log replicated without delay.
type fleet struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*fleetNode
	order []*fleetNode
	state *registrar.State
	logs  logBuffer
	// partitioned holds the pairs of domains that can't reach each other.
	partitioned map[[2]gypsumhoist.FailureDomain]bool
}

// logBuffer holds the lines that the instances of a fleet log.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (lb *logBuffer) Write(data []byte) (int, error) {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	return lb.lines.Write(data)
}

// named returns the lines of an event.
func (lb *logBuffer) named(event string) []string {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	var list []string
	for line := range strings.Lines(lb.lines.String()) {
		if strings.Contains(line, "name="+event+" ") {
			list = append(list, line)
		}
	}
	return list
}

type fleetNode struct {
	fl          *fleet
	self        registrar.Source
	holder      *registrar.Holder
	distributor *registrar.Distributor
	operators   *registrar.OperatorService
	server      *http.Server
	client      *http.Transport
	conns       chan net.Conn
	down        atomic.Bool
	noQuorum    atomic.Bool // its log has no quorum
	older       atomic.Bool // answers as a build without evacuations
	silent      atomic.Bool // neither sends nor receives, as a suspended or cut-off machine
	bytes       atomic.Int64
}

func newFleet(domains, nodesPerDomain, controls int) *fleet {
	fl := &fleet{
		nodes:       map[netip.AddrPort]*fleetNode{},
		state:       registrar.NewState(),
		partitioned: map[[2]gypsumhoist.FailureDomain]bool{},
	}
	for ix := range controls {
		fl.add(registrar.Source{
			Instance: gypsumhoist.Instance(fmt.Sprint("c", ix)), Domain: domainName(ix % domains), Control: true,
		})
	}
	for ix := range domains * nodesPerDomain {
		fl.add(registrar.Source{
			Instance: gypsumhoist.Instance(fmt.Sprint("n", ix)), Domain: domainName(ix % domains),
		})
	}
	for _, nd := range fl.order {
		nd.start()
	}
	return fl
}

func domainName(ix int) gypsumhoist.FailureDomain {
	return gypsumhoist.FailureDomain(fmt.Sprint("d", ix))
}

func (fl *fleet) add(self registrar.Source) {
	self.Boot = 1
	self.Peer = peerAddr(len(fl.order) + 1)
	nd := &fleetNode{fl: fl, self: self, conns: make(chan net.Conn)}
	fl.nodes[self.Peer] = nd
	fl.order = append(fl.order, nd)
}

func (fl *fleet) node(name gypsumhoist.Instance) *fleetNode {
	for _, nd := range fl.order {
		if nd.self.Instance == name {
			return nd
		}
	}
	panic("no instance " + name)
}

func (fl *fleet) sources() []registrar.Source {
	var list []registrar.Source
	for _, nd := range fl.order {
		list = append(list, nd.self)
	}
	return list
}

// apply puts a command into the log and its table into force at the control instances that have a quorum.
func (fl *fleet) apply(id registrar.EditID, cm registrar.Command) registrar.Answer {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	as := apply(fl.state, id, cm)
	for _, nd := range fl.order {
		if nd.self.Control && !nd.noQuorum.Load() && !nd.down.Load() {
			nd.holder.Update(fl.state.Table())
		}
	}
	return as
}

// setPartitioned cuts a domain off from all others, or reconnects it. Open connections drop all data from then on,
// and the log has its quorum on the other side.
func (fl *fleet) setPartitioned(dm gypsumhoist.FailureDomain, on bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, nd := range fl.order {
		if nd.self.Domain == dm {
			nd.noQuorum.Store(on && nd.self.Control)
			continue
		}
		fl.partitioned[[2]gypsumhoist.FailureDomain{dm, nd.self.Domain}] = on
		fl.partitioned[[2]gypsumhoist.FailureDomain{nd.self.Domain, dm}] = on
	}
}

func (fl *fleet) isPartitioned(from, to *fleetNode) bool {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return to.down.Load() || from.down.Load() || to.silent.Load() || from.silent.Load() || fl.partitioned[[2]gypsumhoist.FailureDomain{from.self.Domain, to.self.Domain}]
}

func (fl *fleet) stop() {
	for _, nd := range fl.order {
		if !nd.down.Load() {
			nd.stop()
		}
	}
}

// until polls the condition in virtual time and returns how long it took, or -1 after the longest time.
func until(longest time.Duration, condition func() bool) time.Duration {
	began := time.Now()
	for !condition() {
		if time.Since(began) > longest {
			return -1
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// inForce reports whether all given instances have the revision.
func inForce(revision uint64, nodes ...*fleetNode) bool {
	for _, nd := range nodes {
		if nd.holder.Current().Revision() < revision {
			return false
		}
	}
	return true
}

func (nd *fleetNode) start() {
	nd.holder = registrar.NewHolder()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	opts := []registrar.Option{
		registrar.WithSelf(nd.self), registrar.WithHolder(nd.holder), registrar.WithPeers(nd),
		registrar.WithLogger(logger.New(&nd.fl.logs, "instance", nd.self.Instance)),
	}
	if nd.self.Control {
		opts = append(opts, registrar.WithBarrier(nd.Barrier), registrar.WithProposer(nd))
	}
	nd.distributor = registrar.NewDistributor(opts...)
	nd.operators = registrar.NewOperatorService(append(opts, registrar.WithDistributor(nd.distributor))...)
	mux := http.NewServeMux()
	spreadPath, spread := nd.distributor.Handler()
	_, older := registrarpb.NewSpreadHandler(olderSpread{registrarpb.NewSpreadClient(&http.Client{Transport: handlerTransport{spread}}, "http://spread")})
	mux.HandleFunc(spreadPath, func(wr http.ResponseWriter, rq *http.Request) {
		if nd.older.Load() {
			older.ServeHTTP(wr, rq)
			return
		}
		spread.ServeHTTP(wr, rq)
	})
	path, operators := nd.operators.Handler()
	mux.HandleFunc(path, func(wr http.ResponseWriter, rq *http.Request) {
		if nd.older.Load() && strings.HasSuffix(rq.URL.Path, "/EvacuateDomain") {
			http.NotFound(wr, rq)
			return
		}
		operators.ServeHTTP(wr, rq)
	})
	nd.server = &http.Server{Handler: mux, Protocols: protocols}
	http2Only := new(http.Protocols)
	http2Only.SetUnencryptedHTTP2(true)
	nd.client = &http.Transport{
		Protocols:   http2Only,
		DialContext: nd.dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	}
	go func() { _ = nd.server.Serve(&fleetListener{nd: nd, closed: make(chan struct{})}) }()
	if nd.self.Control {
		nd.holder.Update(nd.fl.state.Table())
	}
	nd.distributor.SetSources(nd.fl.sources())
	nd.operators.SetSources(nd.fl.sources())
	nd.distributor.Start()
}

func (nd *fleetNode) stop() {
	nd.down.Store(true)
	nd.distributor.Stop()
	_ = nd.server.Close()
	nd.client.CloseIdleConnections()
}

func (nd *fleetNode) restart() {
	nd.self.Boot++
	nd.down.Store(false)
	nd.start()
}

// olderSpread answers pulls as a build without evacuations.
type olderSpread struct{ registrarpb.SpreadClient }

func (os olderSpread) Pull(ctx context.Context, rq *connect.Request[registrarpb.PullRequest]) (*connect.Response[registrarpb.PullAnswer], error) {
	rq.Msg.EvacuationRevision = 0
	rs, err := os.SpreadClient.Pull(ctx, connect.NewRequest(rq.Msg))
	if err != nil {
		return nil, err
	}
	answer := rs.Msg
	answer.EvacuationRevision = 0
	if answer.Delta != nil {
		answer.Delta.Evacuations = nil
	}
	return connect.NewResponse(answer), nil
}

func (os olderSpread) Report(ctx context.Context, rq *connect.Request[registrarpb.ReportRequest]) (*connect.Response[registrarpb.ReportAnswer], error) {
	rs, err := os.SpreadClient.Report(ctx, connect.NewRequest(rq.Msg))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(rs.Msg), nil
}

// handlerTransport sends requests to a handler in the same process.
type handlerTransport struct{ handler http.Handler }

func (ht handlerTransport) RoundTrip(rq *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	ht.handler.ServeHTTP(rec, rq)
	return rec.Result(), nil
}

// Barrier and Propose make the node a registrar.Proposer, Do and URL its own connector.Peers.
func (nd *fleetNode) Barrier(context.Context) error {
	if nd.noQuorum.Load() {
		return errPartitioned
	}
	nd.fl.mu.Lock()
	defer nd.fl.mu.Unlock()
	nd.holder.Update(nd.fl.state.Table())
	return nil
}

func (nd *fleetNode) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	if nd.noQuorum.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	nd.fl.mu.Lock()
	defer nd.fl.mu.Unlock()
	answer := nd.fl.state.Apply(cmd, time.Now())
	for _, it := range nd.fl.order {
		if it.self.Control && !it.noQuorum.Load() && !it.down.Load() {
			it.holder.Update(nd.fl.state.Table())
		}
	}
	return answer, nil
}

func (nd *fleetNode) Do(rq *http.Request) (*http.Response, error) { return nd.client.RoundTrip(rq) }

func (nd *fleetNode) URL(ap netip.AddrPort) string { return "http://" + ap.String() }

// fleetListener accepts the connections that other nodes dial.
type fleetListener struct {
	nd     *fleetNode
	closed chan struct{}
	once   sync.Once
}

func (fl *fleetListener) Accept() (net.Conn, error) {
	select {
	case cn := <-fl.nd.conns:
		return cn, nil
	case <-fl.closed:
		return nil, net.ErrClosed
	}
}

func (fl *fleetListener) Close() error { fl.once.Do(func() { close(fl.closed) }); return nil }

func (fl *fleetListener) Addr() net.Addr { return fl.nd.addr() }

func (nd *fleetNode) addr() net.Addr { return net.TCPAddrFromAddrPort(nd.self.Peer) }

func (nd *fleetNode) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	to := nd.fl.nodes[netip.MustParseAddrPort(addr)]
	if nd.fl.isPartitioned(nd, to) {
		if to.down.Load() {
			return nil, errPartitioned
		}
		<-ctx.Done()
		return nil, ctx.Err()
	}
	here, there := newFleetConns(nd, to)
	select {
	case to.conns <- there:
		return here, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// oneWayDelay delays each write.
const oneWayDelay = time.Millisecond

// delivery is one write in transit.
type delivery struct {
	data []byte
	at   time.Time
}

// fleetConn counts and delays bytes, and drops all that is written once its ends were partitioned.
// Writes never wait: http2 writes under its locks, and a goroutine that waits for a lock stops the clock of a bubble.
type fleetConn struct {
	net.Conn   // nil, as no other method is called
	from, to   *fleetNode
	in, out    chan delivery
	unread     []byte
	blackholed atomic.Bool
	closed     chan struct{}
	remote     *fleetConn
	once       sync.Once
}

func newFleetConns(from, to *fleetNode) (here, there *fleetConn) {
	one, two := make(chan delivery, 1024), make(chan delivery, 1024)
	here = &fleetConn{from: from, to: to, in: one, out: two, closed: make(chan struct{})}
	there = &fleetConn{from: to, to: from, in: two, out: one, closed: make(chan struct{})}
	here.remote, there.remote = there, here
	return here, there
}

func (fc *fleetConn) Write(data []byte) (int, error) {
	if fc.blackholed.Load() || fc.from.fl.isPartitioned(fc.from, fc.to) {
		fc.blackholed.Store(true)
		return len(data), nil
	}
	fc.from.bytes.Add(int64(len(data)))
	fc.to.bytes.Add(int64(len(data)))
	select {
	case fc.out <- delivery{data: append([]byte(nil), data...), at: time.Now().Add(oneWayDelay)}:
		return len(data), nil
	case <-fc.closed:
		return 0, net.ErrClosed
	case <-fc.remote.closed:
		return 0, net.ErrClosed
	}
}

func (fc *fleetConn) Read(data []byte) (int, error) {
	for len(fc.unread) == 0 {
		select {
		case dv := <-fc.in:
			time.Sleep(time.Until(dv.at))
			fc.unread = dv.data
		case <-fc.closed:
			return 0, net.ErrClosed
		case <-fc.remote.closed:
			if fc.remote.blackholed.Load() || fc.blackholed.Load() {
				<-fc.closed // a partitioned end does not learn of the close
			}
			return 0, io.EOF
		}
	}
	count := copy(data, fc.unread)
	fc.unread = fc.unread[count:]
	return count, nil
}

func (fc *fleetConn) Close() error { fc.once.Do(func() { close(fc.closed) }); return nil }

func (fc *fleetConn) LocalAddr() net.Addr { return fc.from.addr() }

func (fc *fleetConn) RemoteAddr() net.Addr { return fc.to.addr() }

func (fc *fleetConn) SetDeadline(time.Time) error { return nil }

func (fc *fleetConn) SetReadDeadline(time.Time) error { return nil }

func (fc *fleetConn) SetWriteDeadline(time.Time) error { return nil }
