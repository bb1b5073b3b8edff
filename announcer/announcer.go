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

// Path is where an upstream posts its announcements, on its own side of the node.
const Path = "/gypsumhoist/announce"

// lapseCheck is how often a node looks for a lapsed announcement.
const lapseCheck = 250 * time.Millisecond

var (
	eventAnnounced = logger.Define(1001, logger.LevelInfo, "upstream_announced",
		"An upstream announced itself beside this node, or changed its state.")
	eventLapsed = logger.Define(1002, logger.LevelWarn, "upstream_lapsed",
		"The upstream beside this node stopped repeating its announcement; it gets no new work until it does.")
	eventRefused = logger.Define(1003, logger.LevelWarn, "announcement_refused",
		"An announcement had a value that is not allowed; the upstream must correct it.")
)

// Announcer keeps the announcement of the one upstream beside its node.
// It is safe for concurrent use. The zero value is not usable; call New.
type Announcer struct {
	tmb    tomb.Tomb
	logger *logger.Logger
	notify func(Announcement, Cause)
	lasts  time.Duration

	mu    sync.Mutex
	now   Announcement
	until time.Time
}

// Option sets one part of an Announcer.
type Option func(*Announcer)

// WithLogger writes log events; nil writes none.
func WithLogger(lg *logger.Logger) Option { return func(an *Announcer) { an.logger = lg } }

// Cause says why the announcement that holds is another one now.
type Cause uint8

// Causes.
const (
	CauseAnnounced Cause = iota // the upstream spoke
	CauseLapsed                 // it stopped speaking
	CauseEnded                  // it, or its node, said that it is gone
)

// WithNotify calls a function with each announcement, and with the zero one when it lapses or ends.
// Calls come one after the other.
func WithNotify(fn func(Announcement, Cause)) Option { return func(an *Announcer) { an.notify = fn } }

// WithLapse sets how long an announcement holds that is not repeated; zero or less keeps Lapse.
func WithLapse(lapse time.Duration) Option {
	return func(an *Announcer) {
		if lapse > 0 {
			an.lasts = lapse
		}
	}
}

// New returns an announcer without an upstream.
func New(opts ...Option) *Announcer {
	an := &Announcer{notify: func(Announcement, Cause) {}, lasts: Lapse}
	for _, opt := range opts {
		opt(an)
	}
	return an
}

// Start begins the watch for lapsed announcements.
func (an *Announcer) Start() { an.tmb.Go(an.run) }

// Stop ends the watch.
func (an *Announcer) Stop() {
	an.tmb.Kill(nil)
	// The watch has no error of its own.
	_ = an.tmb.Wait()
}

func (an *Announcer) run() error {
	tk := time.NewTicker(lapseCheck)
	defer tk.Stop()
	for {
		select {
		case <-an.tmb.Dying():
			return nil
		case <-tk.C:
			an.lapse(time.Now())
		}
	}
}

func (an *Announcer) lapse(now time.Time) {
	an.mu.Lock()
	defer an.mu.Unlock()
	if an.now == (Announcement{}) || now.Before(an.until) {
		return
	}
	an.logger.Log(eventLapsed, "service", an.now.Service, "address", an.now.Address)
	an.now = Announcement{}
	an.notify(an.now, CauseLapsed)
}

// Take takes an announcement; it holds until it lapses.
func (an *Announcer) Take(nw Announcement) {
	an.mu.Lock()
	defer an.mu.Unlock()
	old := an.now
	an.now = nw
	an.until = time.Now().Add(an.lasts)
	if !old.SameUpstream(nw) || old.State != nw.State {
		an.logger.Log(eventAnnounced, "service", nw.Service, "address", nw.Address, "state", nw.State, "slots", nw.Slots)
	}
	an.notify(nw, CauseAnnounced)
}

// End forgets the upstream at once.
func (an *Announcer) End() {
	an.mu.Lock()
	defer an.mu.Unlock()
	an.now = Announcement{}
	an.notify(an.now, CauseEnded)
}

// Current returns the announcement that holds; the zero one means no upstream.
func (an *Announcer) Current() Announcement {
	an.mu.Lock()
	defer an.mu.Unlock()
	return an.now
}

// answer is what an upstream reads after its announcement.
type answer struct {
	LapsesAfterMs int64 `json:"lapses_after_ms"`
}

// Handler returns the handler of Path: POST announces, DELETE ends.
// Requests to other paths go to next.
func (an *Announcer) Handler(next http.Handler) http.Handler {
	rt := bunrouter.New()
	rt.Compat().POST(Path, an.post)
	rt.Compat().DELETE(Path, func(wr http.ResponseWriter, _ *http.Request) {
		an.End()
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
	an.Take(nw)
	wr.Header().Set("Content-Type", "application/json")
	// An upstream that has gone announces itself again.
	_ = json.NewEncoder(wr).Encode(answer{LapsesAfterMs: an.lasts.Milliseconds()})
}
