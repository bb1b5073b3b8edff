package forwarder

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// RouteQuery describes a caller's request of which Route says where it would go.
type RouteQuery struct {
	Method, Host string
	// Target is the path and query.
	Target string
	// Workspace is that of the key of the request; empty for a request without a key.
	Workspace gypsumhoist.Workspace
	// Importance replaces that of the row; nil keeps it.
	Importance *gypsumhoist.Importance
	// TimeLeft is what the caller says that it has left; zero if it does not say.
	TimeLeft time.Duration
}

// RouteAnswer says where a caller's request would go now from one node, and why.
type RouteAnswer struct {
	Instance gypsumhoist.Instance `json:"instance"`
	Revision uint64               `json:"revision"`
	// TableAge is the time since the table was confirmed to be the newest one, -1 if it never was.
	TableAge time.Duration `json:"table_age_ns"`
	// Refusal is set if the request is refused before a row is found or because of the row; the fields below are empty without a row.
	Refusal    *RouteRefusal          `json:"refusal,omitempty"`
	Workspace  gypsumhoist.Workspace  `json:"workspace,omitempty"`
	Route      string                 `json:"route,omitempty"`
	RowNumber  uint64                 `json:"row_number,omitempty"`
	Importance gypsumhoist.Importance `json:"importance"`
	Idempotent bool                   `json:"idempotent"`
	// Deadline is the time that the request would have, Retries its retry budget over the whole call chain.
	Deadline time.Duration     `json:"deadline_ns,omitempty"`
	Retries  int               `json:"retries"`
	Throttle throttler.Outlook `json:"throttle"`
	// Limits are the rates that the request would spend a token of, in order.
	Limits []RouteLimit `json:"limits"`
	// Services has one entry, or one for each part of a row with a split.
	Services []RouteService `json:"services"`
}

// RouteLimit is the rate of a row at one node.
type RouteLimit struct {
	Route string `json:"route"`
	// RatePerS and Burst are the limit over the whole fleet, Tokens what the node holds in advance.
	RatePerS float64                  `json:"rate_per_s"`
	Burst    int64                    `json:"burst"`
	Tokens   int64                    `json:"tokens"`
	Outlook  gypsumhoist.SpendOutlook `json:"outlook"`
}

// RouteService says what happens to a request that goes to one service.
type RouteService struct {
	Service gypsumhoist.Service `json:"service"`
	// Share is the share of the row's requests that goes to the service, Next is true if the next one does.
	Share float64 `json:"share"`
	Next  bool    `json:"next"`
	// Forecast is by the cut-offs of the service's upstreams, ForecastFurther by those of services further down the route's chain of calls.
	Forecast        admitter.Outlook `json:"forecast"`
	ForecastFurther admitter.Outlook `json:"forecast_further"`
	// RetriesLeft is how many retries the row's share allows now, RetryCredit how many the service can pay for.
	RetriesLeft int64 `json:"retries_left"`
	RetryCredit int64 `json:"retry_credit"`
	// Refusal is what the next request would get; nil if it would be sent to one of the candidates.
	Refusal *RouteRefusal      `json:"refusal,omitempty"`
	Routing router.Explanation `json:"routing"`
}

// RouteRefusal is a refusal that a request would get.
type RouteRefusal struct {
	Component string             `json:"component"`
	Reason    gypsumhoist.Reason `json:"reason"`
	Status    int                `json:"status"`
	// RetryAfter is the shortest time that the caller may be told, RetryAfterMax the longest; zero for none.
	RetryAfter    time.Duration `json:"retry_after_ns"`
	RetryAfterMax time.Duration `json:"retry_after_max_ns"`
	Detail        string        `json:"detail"`
}

func routeRefusal(component string, rf *gypsumhoist.Refusal) *RouteRefusal {
	if rf == nil {
		return nil
	}
	return &RouteRefusal{
		Component: component, Reason: rf.Reason, Status: rf.Reason.Status(), RetryAfter: rf.RetryAfter, RetryAfterMax: rf.RetryAfter, Detail: rf.Detail,
	}
}

// tokenHolder is a Spender that says what it holds of a row.
type tokenHolder interface {
	Held(rw *registrar.Row) (int64, gypsumhoist.SpendOutlook)
}

// Route says where a caller's request would go now. It makes the decisions of a request in their order on copies: it sends nothing,
// spends no token, counts nothing and changes no later decision. It does not look at idempotency keys.
func (fw *Forwarder) Route(rq RouteQuery) RouteAnswer {
	ra := RouteAnswer{Instance: fw.instance, TableAge: -1, Limits: []RouteLimit{}, Services: []RouteService{}, Throttle: throttler.Outlook{Share: 1, Chance: 1}}
	cl := &call{started: time.Now(), body: &body{}}
	rf := fw.resolveRoute(rq, cl)
	ra.Revision = cl.revision
	if age := fw.holder.Age(); age != registrar.AgeUnknown {
		ra.TableAge = age
	}
	ra.Refusal = routeRefusal("authenticator", rf)
	if rf != nil && rf.Reason == gypsumhoist.ReasonTableStale && ra.TableAge < 0 && cl.row != nil {
		ra.Refusal.RetryAfterMax = unconfirmedRetryLongest
	}
	if cl.row == nil {
		return ra
	}
	if rq.Importance != nil {
		cl.importance = *rq.Importance
	}
	if rq.TimeLeft > 0 {
		cl.applyCallerDeadline(http.Header{gypsumhoist.HeaderDeadline: {strconv.FormatInt(rq.TimeLeft.Milliseconds(), 10)}})
	}
	ra.Workspace, ra.Route, ra.RowNumber = cl.workspace, cl.row.Route, cl.row.Number
	ra.Importance, ra.Idempotent, ra.Deadline, ra.Retries = cl.importance, cl.idempotent, cl.deadline.Sub(cl.started), cl.budget.Left()
	if fw.throttler != nil {
		ra.Throttle = fw.throttler.Peek(cl.throttleKey(), cl.workspace)
	}
	ra.Limits = fw.routeLimits(cl)
	for _, rs := range fw.splitter.routes(cl.row) {
		cl.service = rs.Service
		fw.explainService(cl, &ra, &rs)
		ra.Services = append(ra.Services, rs)
	}
	return ra
}

// resolveRoute finds the row as resolve does for a request with a valid key of the workspace, or without one.
func (fw *Forwarder) resolveRoute(rq RouteQuery, cl *call) *gypsumhoist.Refusal {
	target, err := url.ParseRequestURI(rq.Target)
	if err != nil {
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "the path is not valid")
	}
	if rf := checkTarget(&http.Request{Method: rq.Method, Host: rq.Host, URL: target, Header: http.Header{}}); rf != nil {
		return rf
	}
	tb := fw.holder.Current()
	cl.revision = tb.Revision()
	if cl.revision == 0 {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, time.Second, "this node has no table yet")
	}
	ws, reason := rq.Workspace, gypsumhoist.ReasonNoRow
	var rw *registrar.Row
	found := false
	if ws == "" {
		reason = gypsumhoist.ReasonNoKey
	} else {
		rw, found = tb.Lookup(ws, rq.Host, target.Path)
	}
	if !found {
		if rw, found = tb.LookupOpen(rq.Host, target.Path); !found {
			return fw.refuseUnknown(reason, "the table has no row that lets this request in")
		}
		ws = rw.Workspace
	}
	cl.setRow(tb, rw, ws, rq.Method)
	return fw.tableAgeRefusal(rw, func() time.Duration { return unconfirmedRetryShortest })
}

// routeLimits returns the rates that a request would spend tokens of.
func (fw *Forwarder) routeLimits(cl *call) []RouteLimit {
	out := []RouteLimit{}
	for _, rw := range []*registrar.Row{cl.workspaceRow, cl.row} {
		if rw == nil || !rw.RateLimited() || fw.spender == nil {
			continue
		}
		rl := RouteLimit{Route: rw.Route, RatePerS: float64(rw.Rate) / float64(registrar.RateOne), Burst: rw.Burst, Outlook: gypsumhoist.SpendUnknown}
		if th, ok := fw.spender.(tokenHolder); ok {
			rl.Tokens, rl.Outlook = th.Held(rw)
		}
		out = append(out, rl)
	}
	return out
}

// routes returns the services of a row with their shares, and which is next if that is known.
func (sp *splitter) routes(rw *registrar.Row) []RouteService {
	if rw.Split.Len() == 0 {
		return []RouteService{{Service: rw.Service, Share: 1, Next: true}}
	}
	sp.mu.Lock()
	pos, known := sp.positions[rw.Split]
	sp.mu.Unlock()
	sum := 0
	for _, pt := range rw.Split.Parts() {
		sum += pt.Weight
	}
	var out []RouteService
	for _, pt := range rw.Split.Parts() {
		next := known && rw.Split.At(following(pos)) == pt.Service
		out = append(out, RouteService{Service: pt.Service, Share: float64(pt.Weight) / float64(max(sum, 1)), Next: next})
	}
	return out
}

// explainService fills in what happens to a request that goes to the call's service: the decisions of admitAtEntry and pick, in their order.
func (fw *Forwarder) explainService(cl *call, ra *RouteAnswer, rs *RouteService) {
	count := fw.router.View(cl.service).Upstreams
	rs.Forecast = fw.forecaster.Peek(cl.target(), cl.importance, count)
	rs.ForecastFurther = fw.forecaster.Peek(cl.routeTarget(), cl.importance, count)
	key := retrier.RowKey{Workspace: cl.workspace, Route: cl.row.Route, Service: cl.service}
	retries := fw.retrier.Peek(key, cl.row.RetryPercent)
	rs.RetriesLeft, rs.RetryCredit = retries.Left, retries.Credit
	rs.Routing = fw.router.Explain(cl.service, fw.routingRequest(cl))
	switch {
	case ra.Refusal != nil:
		rs.Refusal = ra.Refusal
	case rs.Forecast.Refusal != nil:
		rs.Refusal = routeRefusal("admitter", rs.Forecast.Refusal)
	case rs.ForecastFurther.Refusal != nil:
		rs.Refusal = routeRefusal("admitter", rs.ForecastFurther.Refusal)
	case ra.Throttle.Chance == 0:
		rs.Refusal = routeRefusal("throttler", gypsumhoist.NotRun(gypsumhoist.ReasonOverload, ra.Throttle.RetryAfterMin,
			"too few requests of the route are served now, here or deeper down the chain"))
		rs.Refusal.RetryAfterMax = ra.Throttle.RetryAfterMax
	case refusesToken(ra.Limits):
		rs.Refusal = routeRefusal("limiter", gypsumhoist.NotRun(gypsumhoist.ReasonRate, 0, "the workspace has spent the row's rate and burst"))
	case !rs.Routing.Routable():
		rs.Refusal = routeRefusal("router", gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, time.Second, "no upstream of the service can get the request"))
	}
}

func refusesToken(limits []RouteLimit) bool {
	for _, rl := range limits {
		if rl.Outlook == gypsumhoist.SpendRefused {
			return true
		}
	}
	return false
}
