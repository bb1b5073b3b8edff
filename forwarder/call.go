package forwarder

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// call is one request that came to this node from a caller or from the node's own upstream.
type call struct {
	id        gypsumhoist.RequestID
	workspace gypsumhoist.Workspace
	keyID     registrar.KeyID
	row       *registrar.Row
	// bounds is what bounds all routes of the workspace together; nil for nothing.
	bounds *registrar.Row
	// service is where the request goes, which a row with a split decides for each request.
	service    gypsumhoist.Service
	revision   uint64
	importance gypsumhoist.Importance
	depth      int
	deadline   time.Time
	budget     *retrier.Budget
	nested     bool
	// admitted tells that the throttler let the request in, childRefused that a call of its upstream's own was refused.
	admitted     bool
	childRefused bool
	idempotent   bool
	started      time.Time
	body         *body
	print        [sha256.Size]byte
	record       *explainer.Record
	// parent is the call in flight that a nested call belongs to; nil for others.
	parent *authenticator.Call[*retrier.Budget]
}

func newRequestID() gypsumhoist.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		// Only a failing source of randomness gets here, which the runtime treats as fatal too.
		id = uuid.New()
	}
	return gypsumhoist.RequestID(id.String())
}

// freshFor is how old a table may be for a node to say what it does not hold: an older one may lack the row or key.
const freshFor = 2 * time.Second

// enter finds out for whom a caller's request runs and by which row.
func (fw *Forwarder) enter(req *http.Request, cl *call) *gypsumhoist.Refusal {
	key, found := authenticator.TakeKey(req.Header)
	if rf := checkTarget(req); rf != nil {
		return rf
	}
	tb := fw.holder.Current()
	cl.revision = tb.Revision()
	if cl.revision == 0 {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, time.Second, "this node has no table yet")
	}
	if !found {
		return fw.enterOpen(tb, req, cl, gypsumhoist.ReasonNoKey)
	}
	gr, ok := tb.Authenticate(key)
	if !ok {
		return fw.absent(gypsumhoist.ReasonBadKey, "the key is unknown or withdrawn")
	}
	cl.keyID = gr.KeyID
	rw, ok := tb.Lookup(gr.Workspace, req.Host, req.URL.Path)
	if !ok {
		return fw.enterOpen(tb, req, cl, gypsumhoist.ReasonNoRow)
	}
	fw.fresh(cl, tb, rw, gr.Workspace, req.Method)
	return fw.checkAge(rw)
}

// enterOpen takes a request in on a route open to all; without one it refuses with the given reason.
func (fw *Forwarder) enterOpen(tb *registrar.Table, req *http.Request, cl *call, rs gypsumhoist.Reason) *gypsumhoist.Refusal {
	rw, ok := tb.LookupOpen(req.Host, req.URL.Path)
	if !ok {
		return fw.absent(rs, "the table has no row that lets this request in")
	}
	fw.fresh(cl, tb, rw, rw.Workspace, req.Method)
	return fw.checkAge(rw)
}

// absent refuses what the table does not hold; an old table can't tell.
func (fw *Forwarder) absent(rs gypsumhoist.Reason, detail string) *gypsumhoist.Refusal {
	if fw.holder.Age() > freshFor {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, freshFor, detail+", but the table is old")
	}
	return gypsumhoist.NotRun(rs, 0, detail)
}

// enterNested finds the call in flight that an upstream's own call belongs to.
func (fw *Forwarder) enterNested(req *http.Request, cl *call) *gypsumhoist.Refusal {
	tok := req.Header.Get(gypsumhoist.HeaderCall)
	if tok == "" {
		return fw.enter(req, cl)
	}
	key, found := authenticator.TakeKey(req.Header)
	if rf := checkTarget(req); rf != nil {
		return rf
	}
	tb := fw.holder.Current()
	cl.revision = tb.Revision()
	parent, ok := fw.calls.Find(tok)
	if !ok {
		return fw.enterOpen(tb, req, cl, gypsumhoist.ReasonBadCall)
	}
	if rf := checkParent(tb, parent, key, found); rf != nil {
		return rf
	}
	rw, ok := tb.Lookup(parent.Workspace, req.Host, req.URL.Path)
	if !ok {
		return fw.enterOpen(tb, req, cl, gypsumhoist.ReasonNoRow)
	}
	fw.fresh(cl, tb, rw, parent.Workspace, req.Method)
	cl.inherit(parent)
	return fw.checkAge(rw)
}

// checkParent refuses a nested call whose key was withdrawn since, or that shows another workspace's key.
func checkParent(tb *registrar.Table, parent *authenticator.Call[*retrier.Budget], key string, found bool) *gypsumhoist.Refusal {
	if parent.KeyID != "" && !tb.Granted(registrar.KeyID(parent.KeyID)) {
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadKey, 0, "the key that the request came with is withdrawn")
	}
	if !found {
		return nil
	}
	if gr, ok := tb.Authenticate(key); !ok || gr.Workspace != parent.Workspace {
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadCall, 0, "the key and the call token belong to different workspaces")
	}
	return nil
}

// fresh sets what a request takes from its row and its workspace.
func (fw *Forwarder) fresh(cl *call, tb *registrar.Table, rw *registrar.Row, ws gypsumhoist.Workspace, method string) {
	cl.row = rw
	cl.workspace = ws
	cl.service = fw.splitter.service(rw)
	cl.importance = rw.Importance
	if bd, ok := tb.Bounds(ws); ok {
		cl.bounds = bd
		if bd.Importance != registrar.ImportanceOfRoute {
			cl.importance = ranked(bd.Importance, rw.Importance)
		}
	}
	cl.deadline = cl.started.Add(rw.Deadline)
	cl.budget = retrier.NewBudget(rw.Retries)
	cl.idempotent = idempotent(rw.Idempotent, method)
}

// routeSteps is into how many steps the importance of routes is cut that orders the requests of workspaces
// of one importance.
const routeSteps = 10

// ranked returns the importance of a request whose workspace has one of its own: that one goes first, and among workspaces
// whose importance differs by less than routeSteps the routes decide.
func ranked(workspace, route gypsumhoist.Importance) gypsumhoist.Importance {
	return min(workspace+route*(routeSteps-1)/gypsumhoist.ImportanceMax, gypsumhoist.ImportanceMax)
}

// weight returns the workspace's share of a queue.
func (cl *call) weight() int {
	if cl.bounds != nil {
		return cl.bounds.Weight
	}
	return cl.row.Weight
}

// limit takes over the time that the caller will wait, where that is shorter than the row's.
// What can't be read counts as nothing said.
func (cl *call) limit(hd http.Header) {
	ms, err := strconv.ParseInt(hd.Get(gypsumhoist.HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > int64(registrar.DeadlineLongest/time.Millisecond) {
		return
	}
	if at := cl.started.Add(time.Duration(ms) * time.Millisecond); at.Before(cl.deadline) {
		cl.deadline = at
	}
}

// inherit sets what a nested call takes from the call that it belongs to.
func (cl *call) inherit(parent *authenticator.Call[*retrier.Budget]) {
	cl.id = parent.Request
	cl.keyID = registrar.KeyID(parent.KeyID)
	cl.importance = parent.Importance
	cl.depth = parent.Depth + 1
	cl.budget = parent.Budget
	cl.nested = true
	cl.parent = parent
	parent.NoteNested()
	if parent.Deadline.Before(cl.deadline) {
		cl.deadline = parent.Deadline
	}
}

// checkAge refuses rows that must not be served under an old table.
func (fw *Forwarder) checkAge(rw *registrar.Row) *gypsumhoist.Refusal {
	age := fw.holder.Age()
	switch {
	case rw.CutOff != registrar.CutOffRefuse || age <= registrar.CutOffLease:
		return nil
	case age == registrar.AgeUnknown:
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, soon(),
			"nobody has confirmed the table since this node started, and the row is not served then")
	default:
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, registrar.CutOffLease,
			"this failure domain is cut off from the table, and the row is not served then")
	}
}

// checkTarget refuses targets that could mean another route at the upstream than in the table,
// and those that hold a key.
func checkTarget(req *http.Request) *gypsumhoist.Refusal {
	switch {
	case req.Method == http.MethodConnect || req.Header.Get("Upgrade") != "":
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "tunnels and upgrades are not served")
	case authenticator.KeyInURL(req.URL):
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "a key must not stand in the URL; it goes into a header")
	case !plainPath(req.URL.Path):
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "the path must begin with / and have no empty or dot segments")
	default:
		return nil
	}
}

// plainPath reports whether a path means the same to every reader.
func plainPath(path string) bool {
	if path == "" || path[0] != '/' || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	rest := path[1:]
	for rest != "" {
		seg, after, more := strings.Cut(rest, "/")
		if seg == "." || seg == ".." || seg == "" {
			return false
		}
		if !more {
			break
		}
		rest = after
	}
	return true
}

func idempotent(id registrar.Idempotence, method string) bool {
	switch id {
	case registrar.IdempotenceAll:
		return true
	case registrar.IdempotenceNone:
		return false
	default:
		return idempotentMethod(method)
	}
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

// fingerprint sets what makes the request the same when it is sent again.
func (cl *call) fingerprint(req *http.Request) {
	hs := sha256.New()
	for _, part := range []string{string(cl.workspace), cl.row.Route, req.Method, req.URL.RequestURI()} {
		hs.Write([]byte(part))
		hs.Write([]byte{0})
	}
	cl.body.hashInto(hs)
	hs.Sum(cl.print[:0])
}
