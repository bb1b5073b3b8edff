package announcer

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// Path is the URL path to which an upstream posts its announcements, on the listener that also takes its outbound requests.
const Path = "/gypsumhoist/announce"

const expiryCheckInterval = 250 * time.Millisecond

var (
	eventAnnounced = logger.Define(1001, logger.LevelInfo, "upstream_announced",
		"The upstream beside this node announced itself, or changed its state.")
	eventExpired = logger.Define(1002, logger.LevelWarn, "upstream_lapsed",
		"The upstream beside this node stopped repeating its announcement; it gets no new requests until it announces itself again.")
	eventRefused = logger.Define(1003, logger.LevelWarn, "announcement_refused",
		"An announcement was malformed or had a value that is not allowed; the upstream must correct it.")
)

// Announcer holds the current announcement of the single upstream beside its node.
// It is safe for concurrent use. The zero value is not usable; call New.
type Announcer struct {
	tmb    tomb.Tomb
	logger *logger.Logger
	notify func(Announcement, Cause)
	expiry time.Duration

	mu        sync.Mutex
	current   Announcement
	expiresAt time.Time
}

// Option sets one part of an Announcer.
type Option func(*Announcer)

// WithLogger sets where events are logged; nil logs nothing.
func WithLogger(lg *logger.Logger) Option { return func(an *Announcer) { an.logger = lg } }

// Cause is why the current announcement has changed.
type Cause uint8

// Causes.
const (
	CauseAnnounced Cause = iota // the upstream announced itself
	CauseExpired                // the announcement was not repeated in time
	CauseWithdrawn              // the upstream or its node withdrew the announcement
)

// WithNotify sets a function to be called with each announcement, and with the zero value once an announcement expires or is withdrawn.
// Calls are not concurrent.
func WithNotify(fn func(Announcement, Cause)) Option { return func(an *Announcer) { an.notify = fn } }

// WithExpiry sets how long an announcement is valid without being repeated; zero or less keeps DefaultExpiry.
func WithExpiry(expiry time.Duration) Option {
	return func(an *Announcer) {
		if expiry > 0 {
			an.expiry = expiry
		}
	}
}

// New returns an announcer without an upstream.
func New(opts ...Option) *Announcer {
	an := &Announcer{notify: func(Announcement, Cause) {}, expiry: DefaultExpiry}
	for _, opt := range opts {
		opt(an)
	}
	return an
}

// Start starts checking for an expired announcement.
func (an *Announcer) Start() { an.tmb.Go(an.run) }

// Stop stops checking for an expired announcement.
func (an *Announcer) Stop() {
	an.tmb.Kill(nil)
	_ = an.tmb.Wait() // run returns no error
}

func (an *Announcer) run() error {
	tk := time.NewTicker(expiryCheckInterval)
	defer tk.Stop()
	for {
		select {
		case <-an.tmb.Dying():
			return nil
		case <-tk.C:
			an.expire(time.Now())
		}
	}
}

func (an *Announcer) expire(now time.Time) {
	an.mu.Lock()
	defer an.mu.Unlock()
	if an.current == (Announcement{}) || now.Before(an.expiresAt) {
		return
	}
	an.logger.Log(eventExpired, "service", an.current.Service, "address", an.current.Address)
	an.current = Announcement{}
	an.notify(an.current, CauseExpired)
}

// Accept makes an announcement the current one, until it expires.
func (an *Announcer) Accept(nw Announcement) {
	an.mu.Lock()
	defer an.mu.Unlock()
	old := an.current
	an.current = nw
	an.expiresAt = time.Now().Add(an.expiry)
	if !old.SameUpstream(nw) || old.State != nw.State {
		an.logger.Log(eventAnnounced, "service", nw.Service, "address", nw.Address, "state", nw.State, "slots", nw.Slots)
	}
	an.notify(nw, CauseAnnounced)
}

// Withdraw ends the current announcement.
func (an *Announcer) Withdraw() {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.current = Announcement{}
	an.notify(an.current, CauseWithdrawn)
}

// Current returns the current announcement; the zero value means that there is no upstream.
func (an *Announcer) Current() Announcement {
	an.mu.Lock()
	defer an.mu.Unlock()
	return an.current
}

// response is the body of the response to an announcement.
type response struct {
	ExpiresAfterMs int64 `json:"lapses_after_ms"`
}

// Handler returns a handler for Path, where POST makes an announcement and DELETE withdraws it.
// Requests to other paths are passed to next.
func (an *Announcer) Handler(next http.Handler) http.Handler {
	rt := bunrouter.New()
	rt.Compat().POST(Path, an.post)
	rt.Compat().DELETE(Path, func(wr http.ResponseWriter, _ *http.Request) {
		an.Withdraw()
		wr.WriteHeader(http.StatusNoContent)
	})
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if req.URL.Path == Path {
			rt.ServeHTTP(wr, req)
			return
		}
		next.ServeHTTP(wr, req)
	})
}

func (an *Announcer) post(wr http.ResponseWriter, req *http.Request) {
	nw, err := Read(req.Body)
	if err != nil {
		an.logger.Log(eventRefused, "err", err)
		http.Error(wr, err.Error(), http.StatusBadRequest)
		return
	}
	an.Accept(nw)
	wr.Header().Set("Content-Type", "application/json")
	// After a failed write the upstream announces itself again.
	_ = json.NewEncoder(wr).Encode(response{ExpiresAfterMs: an.expiry.Milliseconds()})
}
