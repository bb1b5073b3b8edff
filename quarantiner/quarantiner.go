package quarantiner

import (
	"context"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

// Log events.
var (
	eventUpstreamDied = logger.Define(1900, logger.LevelWarn, "upstream_died_with_requests",
		"The upstream died with requests in flight; each of them is a suspect, which runs only with a permit, until it completes.")
	eventQuarantined = logger.Define(1901, logger.LevelError, "request_quarantined",
		"A request was in flight when two upstreams died, and is now refused; list and lift it with the quarantine command.")
	eventLifted = logger.Define(1902, logger.LevelInfo, "suspect_lifted",
		"A suspect has completed, or an operator has lifted it; it runs without a permit again.")
	eventNotifyFailed = logger.Define(1903, logger.LevelWarn, "suspects_not_told",
		"A node of the service could not be notified of suspects directly; it will learn of them by gossip.")
)

// Bounds and intervals of a Quarantiner.
const (
	suspectWait         = time.Second            // how long a suspect waits for the suspect slot and its permit
	suspectQueueMax     = 64                     // suspects that wait for the slot at a node
	permitRetryInterval = 20 * time.Millisecond  // between two requests for a permit
	messageTimeout      = 200 * time.Millisecond // for one message to another node
	notifyWait          = 50 * time.Millisecond  // how long UpstreamDied waits for the nodes that it notifies
	tickInterval        = time.Second
	messageQueueMax     = 1024 // messages waiting to be sent
	retryAfter          = time.Second
)

// Quarantiner protects the upstream of its node from requests that crash it.
// It is safe for concurrent use. The zero value is not usable; call New.
type Quarantiner struct {
	self    Process
	start   time.Time
	logger  *logger.Logger
	peers   connector.Peers
	publish func(Rumor)
	tomb    tomb.Tomb
	out     *ringer.Ring[message]

	refused, granted *metrics.Counter

	mu        sync.Mutex
	core      *Core
	slotFreed chan struct{} // closed when the suspect slot becomes free
	waiting   int           // suspects that wait for the slot
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithLogger sets the logger; nil disables logging.
func WithLogger(lg *logger.Logger) Option { return func(qr *Quarantiner) { qr.logger = lg } }

// WithPeers sets the connections to other nodes; without it the node sends them no messages.
func WithPeers(ps connector.Peers) Option { return func(qr *Quarantiner) { qr.peers = ps } }

// WithPublish sets the function that distributes rumors to the fleet. It must not block or call the Quarantiner.
func WithPublish(publish func(Rumor)) Option {
	return func(qr *Quarantiner) { qr.publish = publish }
}

// WithMetrics registers metrics in a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(qr *Quarantiner) {
		if set == nil {
			set = metrics.NewSet()
		}
		qr.refused = set.NewCounter("gypsumhoist_quarantiner_refused_requests_total")
		qr.granted = set.NewCounter("gypsumhoist_quarantiner_permits_total")
		set.NewGauge("gypsumhoist_quarantiner_known_suspects", func() float64 { return float64(len(qr.List())) })
	}
}

// New returns a quarantiner for the node that runs as process self.
func New(self Process, opts ...Option) *Quarantiner {
	qr := &Quarantiner{
		self:      self,
		start:     time.Now(),
		publish:   func(Rumor) {},
		out:       ringer.New[message](messageQueueMax),
		slotFreed: make(chan struct{}),
		core:      NewCore(self, 0),
	}
	for _, opt := range append([]Option{WithMetrics(nil)}, opts...) {
		opt(qr)
	}
	return qr
}

// Start starts sending messages to other nodes.
func (qr *Quarantiner) Start() { qr.tomb.Go(qr.run) }

// Stop stops what Start started and waits until it has ended.
func (qr *Quarantiner) Stop() {
	qr.tomb.Kill(nil)
	_ = qr.tomb.Wait()
}

// SetMembers replaces the view of the nodes of this node's service. This node itself is always added.
func (qr *Quarantiner) SetMembers(others []Member) {
	qr.mu.Lock()
	defer qr.mu.Unlock()
	qr.core.SetMembers(qr.now(), append([]Member{{Process: qr.self}}, others...))
}

// InstanceFailed records that an instance of the service has failed, as opposed to having left.
func (qr *Quarantiner) InstanceFailed(in gypsumhoist.Instance) {
	qr.mu.Lock()
	qr.core.InstanceFailed(qr.now(), in)
	qr.unlockAndApply(nil)
}

// NeedsBody returns how many of the first bytes of the body Begin needs, 0 for most requests.
// The caller reads that many, or the whole body if it is shorter.
func (qr *Quarantiner) NeedsBody(fp *Fingerprint) int {
	qr.mu.Lock()
	defer qr.mu.Unlock()
	return qr.core.NeedsBody(qr.now(), fp.Head())
}

// UpstreamDied records that one process of this node's upstream has died: a connection was refused
// after one broke, the upstream has a new boot id, or its announcement expired. It returns when the other
// nodes of the service have been notified, or after 50 ms. Responses to the requests in flight should wait
// for it, so that no resend reaches another node before the notice does.
func (qr *Quarantiner) UpstreamDied(ctx context.Context, boot uint64) {
	pending := newPendingMessages()
	qr.mu.Lock()
	qr.core.UpstreamDied(qr.now(), Process{Instance: qr.self.Instance, Boot: boot})
	qr.unlockAndApply(pending)
	pending.finish()
	timer := time.NewTimer(notifyWait)
	defer timer.Stop()
	select {
	case <-pending.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// UpstreamAlive records that the upstream is alive, so the connections that broke so far were not a death.
func (qr *Quarantiner) UpstreamAlive() {
	qr.mu.Lock()
	if len(qr.core.broken) == 0 {
		qr.mu.Unlock()
		return
	}
	qr.core.UpstreamAlive()
	qr.unlockAndApply(nil)
}

// MergeRumor merges the payload of a rumor. ttl is how long the rumor still counts.
func (qr *Quarantiner) MergeRumor(payload []byte, ttl time.Duration) error {
	nt, err := Decode(payload)
	if err != nil {
		return err
	}
	qr.mu.Lock()
	qr.core.Merge(qr.now(), nt, ttl)
	qr.unlockAndApply(nil)
	return nil
}

// Entry describes one suspect to operators.
type Entry struct {
	ID        string
	Request   RequestInfo
	Status    Status
	Deaths    []Process
	ExpiresIn time.Duration // until its deaths no longer count
}

// List returns all suspects with at least one death, the quarantined first.
func (qr *Quarantiner) List() []Entry {
	qr.mu.Lock()
	defer qr.mu.Unlock()
	return qr.core.List(qr.now())
}

// Lift ends the suspicion or quarantine that an entry of List names, at every node.
func (qr *Quarantiner) Lift(id string) error {
	bytes, err := hex.DecodeString(id)
	if err != nil || len(bytes) != sumSize {
		return fmt.Errorf("suspect %.40q: want %d hexadecimal digits", id, 2*sumSize)
	}
	qr.mu.Lock()
	found := qr.core.Lift(qr.now(), SuspectID(bytes))
	qr.unlockAndApply(nil)
	if !found {
		return fmt.Errorf("suspect %s is not known here or not suspected any more", id)
	}
	return nil
}

// unlockAndApply releases the mutex, then applies the core's effects.
// pending, if not nil, counts the messages to other nodes until each is answered or has failed.
func (qr *Quarantiner) unlockAndApply(pending *pendingMessages) {
	if !qr.core.suspectSlot.taken && qr.waiting > 0 {
		close(qr.slotFreed)
		qr.slotFreed = make(chan struct{})
	}
	effects := qr.core.Effects()
	if len(effects) == 0 {
		qr.mu.Unlock()
		return
	}
	others := qr.core.otherMembers()
	qr.releaseOwnPermits(effects)
	qr.mu.Unlock()
	notices := noticesOf(effects)
	for _, nt := range notices {
		qr.publishNotice(nt)
	}
	qr.notify(others, notices, pending)
	for _, ef := range effects {
		switch ef := ef.(type) {
		case Release:
			if ef.Permit.Arbiter.Process != qr.self {
				qr.send(message{to: ef.Permit.Arbiter, release: &ef.Permit, notices: notices}, pending)
			}
		case Report:
			qr.log(ef)
		case Publish:
		}
	}
}

// releaseOwnPermits takes back permits that this node granted to itself. The caller holds the mutex.
func (qr *Quarantiner) releaseOwnPermits(effects []Effect) {
	for _, ef := range effects {
		if rl, ok := ef.(Release); ok && rl.Permit.Arbiter.Process == qr.self {
			qr.core.permits.release(rl.Permit.Head, rl.Permit.Number)
		}
	}
}

func (qr *Quarantiner) log(rp Report) {
	event := eventLifted
	if rp.Status == StatusQuarantined {
		event = eventQuarantined
	}
	info := rp.Request
	qr.logger.Log(event, "suspect", rp.ID, "workspace", info.Workspace, "route", info.Route, "method", info.Method)
}

func noticesOf(effects []Effect) []Notice {
	var out []Notice
	for _, ef := range effects {
		if pb, ok := ef.(Publish); ok {
			out = append(out, pb.Notice)
		}
	}
	return out
}

func (qr *Quarantiner) publishNotice(nt Notice) {
	switch nt := nt.(type) {
	case Death:
		qr.logger.Log(eventUpstreamDied, "upstream", nt.Process.Instance, "boot", nt.Process.Boot, "suspects", len(nt.Suspects))
		for _, rm := range nt.rumors(quarantineTTL) {
			qr.publish(rm)
		}
	case Lift:
		qr.publish(nt.rumor(quarantineTTL))
	}
}

func (qr *Quarantiner) now() time.Duration { return time.Since(qr.start) }
