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
	// workspaceRow limits all routes of the workspace together; nil if nothing does.
	workspaceRow *registrar.Row
	// service is the destination of the request; a row with a split chooses it for each request.
	service    gypsumhoist.Service
	revision   uint64
	importance gypsumhoist.Importance
	depth      int
	deadline   time.Time
	budget     *retrier.Budget
	nested     bool
	// targetAt is when the request at the entry of the call chain is due to meet its target; zero if it is patient or that is not known.
	targetAt time.Time
	// throttlerAdmitted is set if the throttler let the request in, childOverloaded if a nested call of its upstream was refused for
	// lack of room.
	throttlerAdmitted bool
	childOverloaded   bool
	idempotent        bool
	started           time.Time
	body              *body
	fingerprint       [sha256.Size]byte
	record            *explainer.Record
	// parent is the call in flight that a nested call belongs to; nil for others.
	parent *authenticator.Call[*retrier.Budget]
	// fromHTTP10 is set if the end of the connection may mark the end of the answer.
	fromHTTP10 bool
}

func newRequestID() gypsumhoist.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		// NewV7 fails only with the system's source of randomness, a failure that the runtime treats as fatal too.
		id = uuid.New()
	}
	return gypsumhoist.RequestID(id.String())
}

// resolve finds the workspace and the row of a caller's request.
func (fw *Forwarder) resolve(req *http.Request, cl *call) *gypsumhoist.Refusal {
	key, found := authenticator.ExtractKey(req.Header)
	if rf := checkTarget(req); rf != nil {
		return rf
	}
	tb := fw.holder.Current()
	cl.revision = tb.Revision()
	if cl.revision == 0 {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, time.Second, "this node has no table yet")
	}
	if !found {
		return fw.resolveOpen(tb, req, cl, gypsumhoist.ReasonNoKey)
	}
	gr, ok := tb.Authenticate(key)
	if !ok {
		return fw.refuseUnknown(gypsumhoist.ReasonBadKey, "the key is unknown or withdrawn")
	}
	cl.keyID = gr.KeyID
	rw, ok := tb.Lookup(gr.Workspace, req.Host, req.URL.Path)
	if !ok {
		return fw.resolveOpen(tb, req, cl, gypsumhoist.ReasonNoRow)
	}
	fw.initFromRow(cl, tb, rw, gr.Workspace, req.Method)
	return fw.checkTableAge(rw)
}

// resolveOpen finds a row for a request on a route open to all; without one it refuses with the given reason.
func (fw *Forwarder) resolveOpen(tb *registrar.Table, req *http.Request, cl *call, rs gypsumhoist.Reason) *gypsumhoist.Refusal {
	rw, ok := tb.LookupOpen(req.Host, req.URL.Path)
	if !ok {
		return fw.refuseUnknown(rs, "the table has no row that lets this request in")
	}
	fw.initFromRow(cl, tb, rw, rw.Workspace, req.Method)
	return fw.checkTableAge(rw)
}

// refuseUnknown refuses a request whose key or row the table does not hold; under an old table
// the reason is table_stale, as a newer one may hold it.
func (fw *Forwarder) refuseUnknown(rs gypsumhoist.Reason, detail string) *gypsumhoist.Refusal {
	if fw.holder.Age() > registrar.ApplyWithin {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, registrar.ApplyWithin, detail+", but the table is old")
	}
	return gypsumhoist.NotRun(rs, 0, detail)
}

// resolveNested finds the workspace and the row of an upstream's own call by the call in flight that its token names.
func (fw *Forwarder) resolveNested(req *http.Request, cl *call) *gypsumhoist.Refusal {
	tok := req.Header.Get(gypsumhoist.HeaderCall)
	if tok == "" {
		return fw.resolve(req, cl)
	}
	key, found := authenticator.ExtractKey(req.Header)
	if rf := checkTarget(req); rf != nil {
		return rf
	}
	tb := fw.holder.Current()
	cl.revision = tb.Revision()
	parent, ok := fw.calls.Find(tok)
	if !ok && fw.calls.IsAbandoned(tok) {
		return gypsumhoist.NotRun(gypsumhoist.ReasonCanceled, 0, "nobody waits for the request that this call belongs to")
	}
	if !ok {
		return fw.resolveOpen(tb, req, cl, gypsumhoist.ReasonBadCall)
	}
	if rf := checkParent(tb, parent, key, found); rf != nil {
		return rf
	}
	rw, ok := tb.Lookup(parent.Workspace, req.Host, req.URL.Path)
	if !ok {
		return fw.resolveOpen(tb, req, cl, gypsumhoist.ReasonNoRow)
	}
	fw.initFromRow(cl, tb, rw, parent.Workspace, req.Method)
	cl.inherit(parent)
	return fw.checkTableAge(rw)
}

// checkParent refuses a nested call whose parent's key has been withdrawn since, or that carries another workspace's key.
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

// initFromRow sets what a request takes from its row and its workspace.
func (fw *Forwarder) initFromRow(cl *call, tb *registrar.Table, rw *registrar.Row, ws gypsumhoist.Workspace, method string) {
	cl.service = fw.splitter.service(rw)
	cl.setRow(tb, rw, ws, method)
}

// setRow sets what a request takes from its row and its workspace, but for the service.
func (cl *call) setRow(tb *registrar.Table, rw *registrar.Row, ws gypsumhoist.Workspace, method string) {
	cl.row = rw
	cl.workspace = ws
	cl.importance = rw.Importance
	if wsRow, ok := tb.WorkspaceRow(ws); ok {
		cl.workspaceRow = wsRow
		if wsRow.Importance != registrar.ImportanceOfRoute {
			cl.importance = combinedImportance(wsRow.Importance, rw.Importance)
		}
	}
	cl.deadline = cl.started.Add(rw.Deadline)
	cl.budget = retrier.NewBudget(rw.Retries)
	cl.idempotent = idempotent(rw.Idempotent, method)
}

// routeLevels is how many levels the importance of a route is scaled to when it is added to that of a workspace.
const routeLevels = 10

// combinedImportance returns the importance of a request whose workspace has one of its own: that one takes precedence,
// and routes decide only among workspaces whose importance differs by less than routeLevels.
func combinedImportance(workspace, route gypsumhoist.Importance) gypsumhoist.Importance {
	return min(workspace+route*(routeLevels-1)/gypsumhoist.ImportanceMax, gypsumhoist.ImportanceMax)
}

// weight returns the weight of the workspace in an upstream's queue.
func (cl *call) weight() int {
	if cl.workspaceRow != nil {
		return cl.workspaceRow.Weight
	}
	return cl.row.Weight
}

// applyCallerDeadline applies the deadline in the caller's header if it is earlier than the row's.
// An invalid value is ignored.
func (cl *call) applyCallerDeadline(hd http.Header) {
	ms, err := strconv.ParseInt(hd.Get(gypsumhoist.HeaderDeadline), 10, 64)
	if err != nil || ms < 0 || ms > int64(registrar.DeadlineLongest/time.Millisecond) {
		return
	}
	if at := cl.started.Add(time.Duration(ms) * time.Millisecond); at.Before(cl.deadline) {
		cl.deadline = at
	}
}

// committed reports whether an earlier nested call of the same request, at this step of its call chain or further up, was answered.
func (cl *call) committed() bool {
	return cl.parent != nil && (cl.parent.Committed || cl.parent.Answered() > 0)
}

// inherit sets what a nested call takes from its parent.
func (cl *call) inherit(parent *authenticator.Call[*retrier.Budget]) {
	cl.id = parent.Request
	cl.keyID = registrar.KeyID(parent.KeyID)
	cl.importance = parent.Importance
	cl.depth = parent.Depth + 1
	cl.budget = parent.Budget
	cl.nested = true
	cl.parent = parent
	cl.targetAt = parent.Target
	parent.RecordNested()
	if parent.Deadline.Before(cl.deadline) {
		cl.deadline = parent.Deadline
	}
}

// checkTableAge refuses a row with cut_off=refuse while the table is older than registrar.CutOffLease or of unknown age.
func (fw *Forwarder) checkTableAge(rw *registrar.Row) *gypsumhoist.Refusal {
	return fw.tableAgeRefusal(rw, unconfirmedRetryAfter)
}

// tableAgeRefusal is checkTableAge with the source of the time after which a caller should come back to a node without a confirmed table.
func (fw *Forwarder) tableAgeRefusal(rw *registrar.Row, retryAfter func() time.Duration) *gypsumhoist.Refusal {
	age := fw.holder.Age()
	switch {
	case rw.CutOff != registrar.CutOffRefuse || age <= registrar.CutOffLease:
		return nil
	case age == registrar.AgeUnknown:
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, retryAfter(),
			"nobody has confirmed the table since this node started, and the row is not served then")
	default:
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, registrar.CutOffLease,
			"this failure domain is cut off from the table, and the row is not served then")
	}
}

// checkTarget refuses targets that the upstream could read as another route than the table does,
// those that contain a key, and tunnels and upgrades.
func checkTarget(req *http.Request) *gypsumhoist.Refusal {
	switch {
	case req.Method == http.MethodConnect || req.Header.Get("Upgrade") != "":
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "tunnels and upgrades are not served")
	case authenticator.KeyInURL(req.URL):
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "a key must not stand in the URL; it goes into a header")
	case !unambiguousPath(req.URL.Path):
		return gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, "the path must begin with / and have no empty or dot segments")
	default:
		return nil
	}
}

// unambiguousPath reports whether every server reads a path alike: it is absolute, without backslash and NUL,
// and has no dot segments and no empty ones but the last.
func unambiguousPath(path string) bool {
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

// setFingerprint sets the hash by which a request that is sent again is recognized.
func (cl *call) setFingerprint(req *http.Request) {
	hs := sha256.New()
	for _, part := range []string{string(cl.workspace), cl.row.Route, req.Method, req.URL.RequestURI()} {
		hs.Write([]byte(part))
		hs.Write([]byte{0})
	}
	cl.body.hashInto(hs)
	hs.Sum(cl.fingerprint[:0])
}
