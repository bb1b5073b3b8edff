// Package drainer ends a process without cutting a request off.
//
// A stop goes in steps: the instance says that it leaves, goes on answering while that spreads
// and asks each client to open its next connection elsewhere, waits for what is in flight, and ends.
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
		"The instance has begun a planned stop: it says so to all and goes on answering.")
	eventDrained = logger.Define(2502, logger.LevelInfo, "drained",
		"The planned stop cut no request off.")
	eventCutOff = logger.Define(2503, logger.LevelError, "requests_cut_off",
		"Requests were still in flight at the end of stop.longest and were cut off; raise it above the longest deadline in the table.")
)

// Port is a listening server that can be shut down; connector.Server is one.
type Port interface {
	// Drain asks each client with its next answer to open its next connection elsewhere; it closes nothing.
	Drain()
	// Shutdown closes the listener and idle connections and returns when no request is left or the context ends.
	Shutdown(ctx context.Context) error
}

// workMost is how long a process that leaves takes work of other instances:
// a few seconds after its farewell an upstream gets no more.
const workMost = 1500 * time.Millisecond

// Drainer counts the requests of a process and ends it in steps.
// It is safe for concurrent use. The zero value is not usable; call New.
type Drainer struct {
	logger *logger.Logger
	leave  func(ctx context.Context) error
	refuse func()

	mu       sync.Mutex
	leaving  bool
	inFlight int
	idle     chan struct{}
}

// Option sets one part of a Drainer.
type Option func(*Drainer)

// WithLogger writes log events; nil writes none.
func WithLogger(lg *logger.Logger) Option { return func(dr *Drainer) { dr.logger = lg } }

// WithLeave sets what says to the fleet that the instance leaves; it returns when that has spread.
func WithLeave(fn func(ctx context.Context) error) Option {
	return func(dr *Drainer) { dr.leave = fn }
}

// WithRefuse sets what makes the process refuse work from other instances; it is called before the end of the grace,
// in which the clients' requests are still taken and go to other instances.
func WithRefuse(fn func()) Option { return func(dr *Drainer) { dr.refuse = fn } }

// New returns a drainer of a process that does not leave.
func New(opts ...Option) *Drainer {
	dr := &Drainer{leave: func(context.Context) error { return nil }, refuse: func() {}, idle: make(chan struct{}, 1)}
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

// Drain says that the instance leaves, to the fleet and to the clients of the ports, answers on for grace,
// and then shuts the ports down in order.
// The context bounds the whole; its end cuts off what is still in flight, and is returned.
func (dr *Drainer) Drain(ctx context.Context, grace time.Duration, ports ...Port) error {
	dr.mu.Lock()
	dr.leaving = true
	dr.mu.Unlock()
	dr.logger.Log(eventLeaving, "in_flight", dr.InFlight())
	for _, pt := range ports {
		pt.Drain()
	}
	over := time.Now().Add(grace)
	refuseAt := time.Now().Add(min(grace, workMost))
	// What could not be told to all in time is told by the refusals of the closed port.
	_ = dr.leave(ctx)
	sleepUntil(ctx, refuseAt)
	dr.refuse()
	sleepUntil(ctx, over)
	for _, pt := range ports {
		if err := pt.Shutdown(ctx); err != nil {
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

// sleepUntil returns at a time, or when the context ends.
func sleepUntil(ctx context.Context, at time.Time) {
	over := time.NewTimer(time.Until(at))
	defer over.Stop()
	select {
	case <-over.C:
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

// wait returns when nothing is in flight.
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
