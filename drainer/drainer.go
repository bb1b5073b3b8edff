// Package drainer implements the graceful shutdown of a process, in which no request is cut off.
//
// A shutdown has these steps: the instance announces that it leaves, goes on answering while the announcement spreads
// and asks each client to open its next connection elsewhere, then closes its listeners and waits for the requests in flight.
package drainer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

var (
	eventLeaving = logger.Define(2501, logger.LevelInfo, "leaving",
		"The instance has begun a planned stop: it announces this to the fleet and goes on answering.")
	eventDrained = logger.Define(2502, logger.LevelInfo, "drained",
		"The planned stop cut no request off.")
	eventCutOff = logger.Define(2503, logger.LevelError, "requests_cut_off",
		"Requests were still in flight at the end of stop.longest and were cut off; raise it above the longest deadline in the table.")
	eventAborted = logger.Define(2504, logger.LevelWarn, "requests_aborted",
		"Requests were still in flight shortly before the end of stop.longest and were answered without their upstreams; raise it above the longest deadline in the table.")
)

// Port is a listening server that can be shut down, such as connector.Server.
type Port interface {
	// Drain makes the next response to each client ask it to open its next connection elsewhere. It closes nothing.
	Drain()
	// Shutdown closes the listener and idle connections, and returns once no request is in flight or the context ends.
	Shutdown(ctx context.Context) error
}

// maxPeerWork is for how long after the start of a stop the process accepts work from other instances:
// an upstream must not get new work more than a few seconds after its instance announced that it leaves.
const maxPeerWork = 1500 * time.Millisecond

// abortMargin is how long before the end of a stop the requests in flight are answered without their upstreams.
const abortMargin = 250 * time.Millisecond

// Drainer counts the requests in flight of a process and shuts it down gracefully.
// It is safe for concurrent use. The zero value is not usable; call New.
type Drainer struct {
	logger   *logger.Logger
	leave    func(ctx context.Context) error
	handOver func(ctx context.Context) error
	refuse   func()
	abort    func()

	mu       sync.Mutex
	leaving  bool
	inFlight int
	idle     chan struct{}
}

// Option sets one part of a Drainer.
type Option func(*Drainer)

// WithLogger sets where events are logged; nil logs nothing.
func WithLogger(lg *logger.Logger) Option { return func(dr *Drainer) { dr.logger = lg } }

// WithLeave sets the function that announces to the fleet that the instance leaves; it returns once the announcement has spread.
// Its context ends with the grace period.
func WithLeave(fn func(ctx context.Context) error) Option {
	return func(dr *Drainer) { dr.leave = fn }
}

// WithHandover sets the function that hands the instance's duties over to others. It is called after the announcement and may
// go on while the ports are shut down; its context is that of Drain.
func WithHandover(fn func(ctx context.Context) error) Option {
	return func(dr *Drainer) { dr.handOver = fn }
}

// WithRefuse sets the function that makes the process refuse work from other instances. It is called within the grace period,
// during which requests of clients are still accepted and forwarded to other instances.
func WithRefuse(fn func()) Option { return func(dr *Drainer) { dr.refuse = fn } }

// WithAbort sets the function that ends the requests in flight, so that their clients get an answer. It is called shortly before
// the context of Drain ends.
func WithAbort(fn func()) Option { return func(dr *Drainer) { dr.abort = fn } }

// New returns a drainer of a process that is not being stopped.
func New(opts ...Option) *Drainer {
	dr := &Drainer{
		leave:    func(context.Context) error { return nil },
		handOver: func(context.Context) error { return nil },
		refuse:   func() {}, abort: func() {},
		idle: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(dr)
	}
	return dr
}

// Count wraps a handler so that its requests count as in flight.
func (dr *Drainer) Count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		dr.begin()
		defer dr.end()
		next.ServeHTTP(wr, req)
	})
}

// Leaving reports whether a stop has begun.
func (dr *Drainer) Leaving() bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.leaving
}

// InFlight returns how many requests are in flight.
func (dr *Drainer) InFlight() int {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.inFlight
}

// Drain announces to the fleet and to the clients of the ports that the instance leaves, goes on answering for grace,
// and then shuts the ports down in order, whether or not the announcement has spread.
// Requests that are still in flight shortly before the context ends are aborted. When it ends, Drain returns its error and those
// that are left are cut off.
func (dr *Drainer) Drain(ctx context.Context, grace time.Duration, ports ...Port) error {
	dr.mu.Lock()
	dr.leaving = true
	dr.mu.Unlock()
	dr.logger.Log(eventLeaving, "in_flight", dr.InFlight())
	for _, pt := range ports {
		pt.Drain()
	}
	graceEnd := time.Now().Add(grace)
	refuseAt := time.Now().Add(min(grace, maxPeerWork))
	defer dr.scheduleAbort(ctx)()
	// Instances that the announcement has not reached learn of it when the closed port refuses their requests.
	left := make(chan struct{})
	go func() {
		defer close(left)
		dr.announce(ctx, graceEnd)
	}()
	defer func() { <-left }()
	sleepUntil(ctx, refuseAt)
	dr.refuse()
	sleepUntil(ctx, graceEnd)
	for _, pt := range ports {
		// Shutdown polls, and may miss the end of requests that were aborted.
		if err := pt.Shutdown(ctx); err != nil && dr.InFlight() > 0 {
			dr.logger.Log(eventCutOff, "in_flight", dr.InFlight(), "err", err)
			return err
		}
	}
	if err := dr.wait(ctx); err != nil {
		dr.logger.Log(eventCutOff, "in_flight", dr.InFlight(), "err", err)
		return err
	}
	dr.logger.Log(eventDrained)
	return nil
}

// announce announces that the instance leaves, until the end of the grace period at most, and then hands its duties over.
func (dr *Drainer) announce(ctx context.Context, graceEnd time.Time) {
	announcement, cancel := context.WithDeadline(ctx, graceEnd)
	defer cancel()
	_ = dr.leave(announcement)
	_ = dr.handOver(ctx)
}

// scheduleAbort aborts the requests that are in flight abortMargin before the context ends, and returns a function that prevents it.
func (dr *Drainer) scheduleAbort(ctx context.Context) (cancel func()) {
	end, ok := ctx.Deadline()
	if !ok {
		return func() {}
	}
	tm := time.AfterFunc(time.Until(end)-abortMargin, func() {
		if count := dr.InFlight(); count > 0 {
			dr.logger.Log(eventAborted, "in_flight", count)
		}
		dr.abort()
	})
	return func() { tm.Stop() }
}

// sleepUntil sleeps until a time or until the context ends.
func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (dr *Drainer) begin() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.inFlight++
}

func (dr *Drainer) end() {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	dr.inFlight--
	if dr.inFlight == 0 {
		select {
		case dr.idle <- struct{}{}:
		default:
		}
	}
}

// wait waits until no request is in flight or the context ends.
func (dr *Drainer) wait(ctx context.Context) error {
	for dr.InFlight() > 0 {
		select {
		case <-dr.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
