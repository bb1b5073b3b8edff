package server

import (
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// WithCallersThrough puts a handler before those of callers' requests and of the upstream's own calls, for deployments
// whose callers speak other headers, or whose upstreams call on the callers' port.
// It must set nothing on an answer that it does not mean for callers.
func WithCallersThrough(through func(callers, nested http.Handler) http.Handler) Option {
	return func(sv *Server) { sv.callersThrough = through }
}

// WithPeersThrough puts a handler before that of the peer port, which then takes other requests too.
func WithPeersThrough(through func(http.Handler) http.Handler) Option {
	return func(sv *Server) { sv.peersThrough = through }
}

// WithUpstreamThrough puts a round tripper before the connections to each upstream that announces itself,
// for deployments whose upstreams speak other headers. Errors of the inner one must pass as they are.
func WithUpstreamThrough(through func(announcer.Announcement, http.RoundTripper) http.RoundTripper) Option {
	return func(sv *Server) { sv.upstreamThrough = through }
}

// WithAnswerCheck has the head of each answer of the upstream looked at, as connector.WithAnswerCheck says.
func WithAnswerCheck(check func(*http.Request, *http.Response) error) Option {
	return func(sv *Server) { sv.answerCheck = check }
}

// WithRequestIdentity names callers' requests by a function, as forwarder.WithIdentity says.
func WithRequestIdentity(identify func(*http.Request) gypsumhoist.RequestID) Option {
	return func(sv *Server) { sv.identify = identify }
}

// Announce takes what the upstream beside the node says of itself, as the upstream's port does.
// On a process without the node role it does nothing.
func (sv *Server) Announce(an announcer.Announcement) {
	if sv.node != nil {
		sv.node.announcer.Take(an)
	}
}

// Office returns what answers operators.
func (sv *Server) Office() *registrar.Office { return sv.office }

// Logger returns the process's logger.
func (sv *Server) Logger() *logger.Logger { return sv.logger }

// Ready reports whether the process takes new work: it has opened its ports, holds a table and is not about to stop.
func (sv *Server) Ready() bool {
	return sv.opened.Load() && !sv.drainer.Leaving() && sv.Revision() > 0
}
