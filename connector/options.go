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

// Option sets one value of a PeerPool, an UpstreamPool or a Server.
// A value of zero or less keeps the default; an option that does not concern the type has no effect.
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
	paths             Paths
	answerCheck       func(*http.Request, *http.Response) error
}

func newConfig(opts []Option) config {
	cf := config{
		network:           &TCP{},
		paths:             anyPath{},
		answerCheck:       func(*http.Request, *http.Response) error { return nil },
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

func positive[T int | time.Duration](dst *T, val T) {
	if val > 0 {
		*dst = val
	}
}

// WithNetwork sets the network that connections are opened on; nil keeps plain TCP.
func WithNetwork(nw Network) Option {
	return func(cf *config) {
		if nw != nil {
			cf.network = nw
		}
	}
}

// WithLogger sets where events go; nil discards them.
func WithLogger(lg *logger.Logger) Option { return func(cf *config) { cf.logger = lg } }

// WithMetrics sets where counters are kept; nil keeps none.
func WithMetrics(ms *metrics.Set) Option { return func(cf *config) { cf.metrics = ms } }

// WithDialTimeout bounds the opening of one connection, its TLS handshake included.
func WithDialTimeout(d time.Duration) Option {
	return func(cf *config) { positive(&cf.dialTimeout, d) }
}

// WithIdleTimeout bounds how long a connection without a request stays open.
func WithIdleTimeout(d time.Duration) Option {
	return func(cf *config) { positive(&cf.idleTimeout, d) }
}

// WithPaths sets what hears of each way to another instance that a PeerPool finds open or silent; nil keeps nobody.
func WithPaths(pa Paths) Option {
	return func(cf *config) {
		if pa != nil {
			cf.paths = pa
		}
	}
}

// WithPing sets after how long without a byte an HTTP/2 connection is pinged at the latest,
// and how long after that time the connection is closed without a pong.
func WithPing(after, timeout time.Duration) Option {
	return func(cf *config) {
		positive(&cf.pingAfter, after)
		positive(&cf.pingTimeout, timeout)
	}
}

// WithSilence sets after how long without a byte a busy connection of an UpstreamPool is suspected,
// and how long the probe over a fresh connection may take.
func WithSilence(after, probe time.Duration) Option {
	return func(cf *config) {
		positive(&cf.silenceAfter, after)
		positive(&cf.probeTimeout, probe)
	}
}

// WithReadHeaderTimeout bounds how long a Server waits for the whole header of a request.
func WithReadHeaderTimeout(d time.Duration) Option {
	return func(cf *config) { positive(&cf.readHeaderTimeout, d) }
}

// WithStall bounds how long a Server waits for the next byte of a request's body,
// and for room to write the next part of an answer.
func WithStall(body, write time.Duration) Option {
	return func(cf *config) {
		positive(&cf.bodyStall, body)
		positive(&cf.writeStall, write)
	}
}

// WithMaxConns bounds the connections of an UpstreamPool to its upstream, or of a Server from all its clients.
func WithMaxConns(n int) Option { return func(cf *config) { positive(&cf.maxConns, n) } }

// WithMaxHeaderBytes bounds the header of a request to a Server or of an answer to a pool, in bytes.
func WithMaxHeaderBytes(n int) Option { return func(cf *config) { positive(&cf.maxHeaderBytes, n) } }

// WithPeerTraffic has a Server believe what a PeerPool says of a request: that it has no body.
// Only for ports that nobody but peers can reach.
func WithPeerTraffic() Option { return func(cf *config) { cf.peers = true } }

// WithPipelining has a Server run GET and HEAD requests that come behind others on an HTTP/1.1 connection side by side
// with those, and answer them in their order.
func WithPipelining() Option { return func(cf *config) { cf.pipelining = true } }

// WithAnswerCheck has an UpstreamPool look at the head of each answer. An error means that the answer is not
// the one to the request: it is dropped with its connection, and the request fails as one that may have run.
// Nil takes every answer.
func WithAnswerCheck(check func(*http.Request, *http.Response) error) Option {
	return func(cf *config) {
		if check != nil {
			cf.answerCheck = check
		}
	}
}

// WithMaxStreams bounds the requests at one time on one HTTP/2 connection of a Server.
func WithMaxStreams(n int) Option { return func(cf *config) { positive(&cf.maxStreams, n) } }
