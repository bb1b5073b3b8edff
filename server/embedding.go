package server

import (
	"context"
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// WithCallerMiddleware sets middleware for the callers' port, for deployments whose callers use other headers
// or whose upstreams send their own (nested) calls to that port.
// It must not set anything on a response that is not meant for callers.
func WithCallerMiddleware(middleware func(callers, nested http.Handler) http.Handler) Option {
	return func(sv *Server) { sv.callerMiddleware = middleware }
}

// WithPeerMiddleware sets middleware for the peer port, which can then serve additional requests.
func WithPeerMiddleware(middleware func(http.Handler) http.Handler) Option {
	return func(sv *Server) { sv.peerMiddleware = middleware }
}

// WithUpstreamMiddleware wraps the round tripper of each announced upstream, for deployments whose upstreams use other headers.
// The wrapper must return errors of the inner round tripper unchanged.
func WithUpstreamMiddleware(middleware func(announcer.Announcement, http.RoundTripper) http.RoundTripper) Option {
	return func(sv *Server) { sv.upstreamMiddleware = middleware }
}

// WithAnswerCheck sets a check of the head of each upstream response; see connector.WithResponseCheck.
func WithAnswerCheck(check func(*http.Request, *http.Response) error) Option {
	return func(sv *Server) { sv.answerCheck = check }
}

// WithRequestID sets the function that returns the ID of a caller's request; a request for which it returns none gets a new one.
func WithRequestID(identify func(*http.Request) gypsumhoist.RequestID) Option {
	return func(sv *Server) { sv.requestID = identify }
}

// Announce records an announcement of the node's local upstream, as a POST to the upstream port does.
// It does nothing without the node role.
func (sv *Server) Announce(an announcer.Announcement) {
	if sv.node != nil {
		sv.node.announcer.Accept(an)
	}
}

// DrainUpstream records that the process of the local upstream with this boot drains for good: whatever it announces, it gets no new request,
// also after a restart of the node. It returns once other instances know that; on an error it may be called again.
// It does nothing without the node role.
func (sv *Server) DrainUpstream(ctx context.Context, boot string) error {
	if sv.node == nil {
		return nil
	}
	sv.node.drained.add(boot)
	sv.node.reapplyDrained()
	return sv.node.drained.share(ctx)
}

// OperatorService returns the operators' service.
func (sv *Server) OperatorService() *registrar.OperatorService { return sv.operatorService }

// Logger returns the process's logger.
func (sv *Server) Logger() *logger.Logger { return sv.logger }

// Ready reports whether the process accepts new work: its ports are open, it holds a table and it is not draining.
func (sv *Server) Ready() bool {
	return sv.opened.Load() && !sv.drainer.Leaving() && sv.Revision() > 0
}
