package connector

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// Defaults of the options.
const (
	DefaultDialTimeout       = 2 * time.Second
	DefaultIdleTimeout       = 30 * time.Second
	DefaultPingAfter         = 1 * time.Second
	DefaultPingTimeout       = 1 * time.Second
	DefaultSilenceAfter      = 2 * time.Second
	DefaultProbeTimeout      = 1 * time.Second
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultBodyStall         = 10 * time.Second
	DefaultWriteStall        = 10 * time.Second
	DefaultMaxConns          = 512
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultMaxStreams        = 1000
)

// Option sets one parameter of a PeerPool, an UpstreamPool or a Server.
// A value of zero or less keeps the default; an option that does not apply to the type has no effect.
type Option func(*config)

type config struct {
	network           Network
	logger            *logger.Logger
	metrics           *metrics.Set
	dialTimeout       time.Duration
	idleTimeout       time.Duration
	pingAfter         time.Duration
	pingTimeout       time.Duration
	silenceAfter      time.Duration
	probeTimeout      time.Duration
	readHeaderTimeout time.Duration
	bodyStall         time.Duration
	writeStall        time.Duration
	maxConns          int
	maxHeaderBytes    int
	maxStreams        int
	peers             bool
	pipelining        bool
	accountant        *Accountant
	port              Port
	receiveBuffer     int
	sendBuffer        int
	pathMonitor       PathMonitor
	responseCheck     func(*http.Request, *http.Response) error
}

func newConfig(opts []Option) config {
	cf := config{
		network:           &TCP{},
		pathMonitor:       defaultPathMonitor{},
		responseCheck:     func(*http.Request, *http.Response) error { return nil },
		dialTimeout:       DefaultDialTimeout,
		idleTimeout:       DefaultIdleTimeout,
		pingAfter:         DefaultPingAfter,
		pingTimeout:       DefaultPingTimeout,
		silenceAfter:      DefaultSilenceAfter,
		probeTimeout:      DefaultProbeTimeout,
		readHeaderTimeout: DefaultReadHeaderTimeout,
		bodyStall:         DefaultBodyStall,
		writeStall:        DefaultWriteStall,
		maxConns:          DefaultMaxConns,
		maxHeaderBytes:    DefaultMaxHeaderBytes,
		maxStreams:        DefaultMaxStreams,
	}
	for _, opt := range opts {
		opt(&cf)
	}
	return cf
}

func positive[T int | int64 | time.Duration](dst *T, val T) {
	if val > 0 {
		*dst = val
	}
}

// WithNetwork sets the network that connections use; nil keeps plain TCP.
func WithNetwork(nw Network) Option {
	return func(cf *config) {
		if nw != nil {
			cf.network = nw
		}
	}
}

// WithLogger sets the logger for events; nil discards them.
func WithLogger(lg *logger.Logger) Option { return func(cf *config) { cf.logger = lg } }

// WithMetrics sets the set that the counters are registered in; nil registers none.
func WithMetrics(ms *metrics.Set) Option { return func(cf *config) { cf.metrics = ms } }

// WithDialTimeout bounds the time to open one connection, including the TLS handshake.
func WithDialTimeout(d time.Duration) Option {
	return func(cf *config) { positive(&cf.dialTimeout, d) }
}

// WithIdleTimeout bounds how long a connection without a request stays open.
func WithIdleTimeout(d time.Duration) Option {
	return func(cf *config) { positive(&cf.idleTimeout, d) }
}

// WithPathMonitor sets the observer of the network paths from a PeerPool to other instances; nil sets none.
func WithPathMonitor(pm PathMonitor) Option {
	return func(cf *config) {
		if pm != nil {
			cf.pathMonitor = pm
		}
	}
}

// WithPing sets after how long without a received byte a connection of a PeerPool that awaits a response is probed at the latest,
// and after how much longer without one it is closed. The second time also bounds the wait for the pong to an HTTP/2 ping.
func WithPing(after, timeout time.Duration) Option {
	return func(cf *config) {
		positive(&cf.pingAfter, after)
		positive(&cf.pingTimeout, timeout)
	}
}

// WithSilence sets after how long without a received byte a busy connection of an UpstreamPool is suspected to be dead,
// and how long the probe over a new connection may take.
func WithSilence(after, probe time.Duration) Option {
	return func(cf *config) {
		positive(&cf.silenceAfter, after)
		positive(&cf.probeTimeout, probe)
	}
}

// WithReadHeaderTimeout bounds how long a Server waits for the complete header of a request.
func WithReadHeaderTimeout(d time.Duration) Option {
	return func(cf *config) { positive(&cf.readHeaderTimeout, d) }
}

// WithStall bounds how long a Server waits for the next byte of a request body,
// and how long one write of a response may block.
func WithStall(body, write time.Duration) Option {
	return func(cf *config) {
		positive(&cf.bodyStall, body)
		positive(&cf.writeStall, write)
	}
}

// WithMaxConns limits the connections of an UpstreamPool to its upstream, or of a Server from all its clients.
func WithMaxConns(n int) Option { return func(cf *config) { positive(&cf.maxConns, n) } }

// WithMaxHeaderBytes limits the header of a request to a Server or of a response to a pool, in bytes.
func WithMaxHeaderBytes(n int) Option { return func(cf *config) { positive(&cf.maxHeaderBytes, n) } }

// WithPeerTraffic makes a Server trust the header by which a PeerPool marks requests without a body.
// It is only for ports that nobody but peers can reach.
func WithPeerTraffic() Option { return func(cf *config) { cf.peers = true } }

// WithPipelining makes a Server run pipelined GET and HEAD requests on an HTTP/1.1 connection concurrently with the requests
// before them, and send the responses in the order of the requests.
func WithPipelining() Option { return func(cf *config) { cf.pipelining = true } }

// WithResponseCheck makes an UpstreamPool check the head of each response. An error means that the response does not belong
// to the request: it is dropped with its connection, and the request fails as one that may have run.
// Nil accepts every response.
func WithResponseCheck(check func(*http.Request, *http.Response) error) Option {
	return func(cf *config) {
		if check != nil {
			cf.responseCheck = check
		}
	}
}

// WithMaxStreams limits the concurrent requests on one HTTP/2 connection of a Server.
func WithMaxStreams(n int) Option { return func(cf *config) { positive(&cf.maxStreams, n) } }

// WithAccountant makes a Server share its limits with the process's other servers, as the one for a kind of clients.
// Without it, a Server has an Accountant with DefaultLimits of its own, as PortCallers.
func WithAccountant(ac *Accountant, pt Port) Option {
	return func(cf *config) { cf.accountant, cf.port = ac, pt }
}

// WithReceiveBuffer sets the size in bytes of the kernel's buffer for received bytes that were not read, of the connections that a Server
// accepts or an UpstreamPool opens; the kernel takes up to twice as much. Without it the kernel chooses, and gives a busy connection
// several megabytes.
func WithReceiveBuffer(n int) Option { return func(cf *config) { positive(&cf.receiveBuffer, n) } }

// WithSendBuffer sets the size in bytes of the kernel's buffer for written bytes that the other end has not acknowledged, as
// WithReceiveBuffer does for received ones.
func WithSendBuffer(n int) Option { return func(cf *config) { positive(&cf.sendBuffer, n) } }
