package replicator

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const defaultStepTimeout = 300 * time.Millisecond

// Host connects the groups of this process to those of other processes over the peer port.
// It is safe for concurrent use.
type Host struct {
	peers          connector.Peers
	lg             *logger.Logger
	metrics        *metrics.Set
	stepTimeout    time.Duration
	onIntroduction func(group string, mb Member)
	meters         groupMetrics

	mu            sync.RWMutex
	fallbacks     map[string]Fallback // by prefix of group names
	groups        map[string]*Group
	lostMembers   map[groupMember]struct{} // members whose state was only in memory and is lost
	forming       map[string]Member
	senders       map[netip.AddrPort]*sender
	lastAddresses map[MemberID]netip.AddrPort // from which members last sent
	stopped       bool

	clientsMu sync.RWMutex
	clients   map[netip.AddrPort]replicatorpb.ReplicatorClient
}

// groupMember identifies a member of a group.
type groupMember struct {
	group string
	id    MemberID
}

// NewHost returns a Host without groups. It panics if WithPeers is missing.
func NewHost(opts ...HostOption) *Host {
	hs := &Host{
		metrics:       metrics.NewSet(),
		stepTimeout:   defaultStepTimeout,
		fallbacks:     map[string]Fallback{},
		groups:        map[string]*Group{},
		lostMembers:   map[groupMember]struct{}{},
		forming:       map[string]Member{},
		senders:       map[netip.AddrPort]*sender{},
		lastAddresses: map[MemberID]netip.AddrPort{},
		clients:       map[netip.AddrPort]replicatorpb.ReplicatorClient{},
	}
	for _, op := range opts {
		op(hs)
	}
	if hs.peers == nil {
		panic("replicator: NewHost needs WithPeers")
	}
	hs.meters = newGroupMetrics(hs.metrics)
	return hs
}

// Handler returns the path and the handler of the service that other hosts call; it belongs on the peer port.
func (hs *Host) Handler() (string, http.Handler) {
	return replicatorpb.NewReplicatorHandler(service{hs}, connect.WithCompressMinBytes(connector.CompressMinBytes))
}

// Open starts this process's member of a group. The error is ErrReopened if a member with this
// identity and a MemoryJournal was open here before, or else the journal's.
func (hs *Host) Open(name string, self Member, mc StateMachine, opts ...GroupOption) (*Group, error) {
	gp := &Group{
		host: hs, name: name, self: self, stateMachine: mc,
		journal: MemoryJournal{}, timings: DefaultTimings(), snapshotEvery: defaultSnapshotEvery,
		seed: rand.Uint64(), now: clocker.Now, ring: ringer.New[event](groupRingSize), meters: hs.meters,
		pending: map[uint64]*call{}, pendingReads: map[uint64]*call{},
	}
	for _, op := range opts {
		op(gp)
	}
	gp.timings = gp.timings.orDefaults()
	if err := hs.reserveName(gp); err != nil {
		return nil, errors.Join(err, gp.journal.Close())
	}
	if err := gp.start(); err != nil {
		hs.releaseName(gp)
		return nil, err
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.groups[name] = gp
	delete(hs.forming, name)
	return gp, nil
}

func (hs *Host) reserveName(gp *Group) error {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if _, ok := hs.lostMembers[groupMember{gp.name, gp.self.ID()}]; ok {
		return ErrReopened
	}
	if _, ok := hs.groups[gp.name]; ok || hs.stopped {
		return errors.New("group " + gp.name + " is open already or the host is stopped")
	}
	hs.groups[gp.name] = nil // reserved, not started yet
	return nil
}

func (hs *Host) releaseName(gp *Group) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	delete(hs.groups, gp.name)
}

// removeGroup removes a stopped group. With a MemoryJournal its state is lost, so that its identity can't be used again.
func (hs *Host) removeGroup(gp *Group) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.groups[gp.name] != gp {
		return
	}
	delete(hs.groups, gp.name)
	if _, ok := gp.journal.(MemoryJournal); ok {
		hs.lostMembers[groupMember{gp.name, gp.self.ID()}] = struct{}{}
	}
}

// Group returns an open group; the second result is false if there is none.
func (hs *Host) Group(name string) (*Group, bool) {
	hs.mu.RLock()
	defer hs.mu.RUnlock()
	gp := hs.groups[name]
	return gp, gp != nil
}

// Stop stops all groups and then the senders. No group can be opened afterwards.
func (hs *Host) Stop() {
	for _, gp := range hs.beginStop() {
		gp.tb.Kill(nil)
	}
	for _, gp := range hs.beginStop() {
		gp.Stop()
	}
	hs.stopSenders()
}

// beginStop prevents the opening of further groups and returns the open ones.
func (hs *Host) beginStop() []*Group {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.stopped = true
	var open []*Group
	for _, gp := range hs.groups {
		if gp != nil {
			open = append(open, gp)
		}
	}
	return open
}
