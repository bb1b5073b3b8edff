package server

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/journaler"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// controlGroup names the replicated log of the table.
const controlGroup = "table"

// Times and limits of the control role.
const (
	formTimeout = time.Minute // for all founders, or a member to join, to come up before event 1022 is logged
	// joinInterval is the time between two looks for further members to join; three silent seeds take 0.9 s of it.
	joinInterval      = 2 * time.Second
	reconcileInterval = time.Second
	maxControlVoters  = 11 // beyond which no further member is added automatically
	reconcileTimeout  = 5 * time.Second
	reopenInterval    = time.Second // between attempts to reopen a failed journal
)

var (
	eventFormed     = logger.Define(1021, logger.LevelInfo, "control_formed", "This instance has opened its replica of the table's log.")
	eventFormFailed = logger.Define(1022, logger.LevelError, "control_not_formed",
		"Not all founders of the table's log came up in time; start every founder that the settings name. With control.join_only, no member of the log was found; start one that still has its disk.")
	eventReplaced = logger.Define(1023, logger.LevelWarn, "control_member_replaced",
		"A control instance replaced its own earlier identity, whose disk was lost, or a lost instance of its failure domain in the table's log.")
	eventMemberRemoved = logger.Define(1025, logger.LevelWarn, "control_seat_taken",
		"A control instance that left and did not come back was removed from the table's log, as another instance of its failure domain votes.")
	eventDemoted = logger.Define(1026, logger.LevelInfo, "control_vote_dropped",
		"A control instance that left, is about to stop or is unreachable has no vote in the table's log for now, as another instance of its failure domain votes.")
	eventChangeFailed = logger.Define(1027, logger.LevelInfo, "control_change_failed",
		"A control instance could not be given its place in the table's log yet; that is tried again when it introduces itself again.")
	eventReopened = logger.Define(1024, logger.LevelWarn, "control_reopened",
		"The failed journal of the table's log was reopened; if err is set, the attempt failed and is repeated.")
)

// control is the control role of a process: its member of the table's replicated log and the state machine that the log drives.
type control struct {
	sv      *Server
	holder  *registrar.Holder
	state   *registrar.State
	group   atomic.Pointer[replicator.Group]
	joining chan replicator.Member
	// introductions and departures are used only by loop.
	introductions introductionTimes
	departures    departures
	sheet         atomic.Pointer[registrar.Sheet]
}

// currentSheet returns the sheet of the state that this instance has applied.
func (ct *control) currentSheet() registrar.Sheet {
	if sh := ct.sheet.Load(); sh != nil {
		return *sh
	}
	return registrar.Sheet{}
}

// publish makes the applied state visible to readers.
func (ct *control) publish() {
	sh := ct.state.Sheet()
	ct.sheet.Store(&sh)
	ct.holder.Update(ct.state.Table())
}

func newControl(sv *Server, holder *registrar.Holder) *control {
	return &control{
		sv: sv, holder: holder, state: registrar.NewState(), joining: make(chan replicator.Member, 16),
		introductions: introductionTimes{}, departures: departures{},
	}
}

// Apply implements replicator.StateMachine.
func (ct *control) Apply(en replicator.Entry) []byte {
	out := ct.state.Apply(en.Command, en.Proposed)
	ct.publish()
	return out
}

// Snapshot implements replicator.StateMachine.
func (ct *control) Snapshot() []byte { return ct.state.Snapshot() }

// Restore implements replicator.StateMachine.
func (ct *control) Restore(data []byte) error {
	if err := ct.state.Restore(data); err != nil {
		return err
	}
	ct.publish()
	return nil
}

// Propose implements registrar.Proposer.
func (ct *control) Propose(ctx context.Context, cmd []byte) ([]byte, error) {
	gp := ct.group.Load()
	if gp == nil {
		return nil, fmt.Errorf("replicated log of the table is not formed yet: %w", registrar.ErrNotProposed)
	}
	out, err := gp.Propose(ctx, cmd)
	var none *replicator.ErrNoLeader
	if errors.As(err, &none) {
		return nil, fmt.Errorf("%w: %w", registrar.ErrNotProposed, err)
	}
	return out, err
}

// Barrier implements registrar.Proposer.
func (ct *control) Barrier(ctx context.Context) error {
	gp := ct.group.Load()
	if gp == nil {
		return errors.New("replicated log of the table is not formed yet")
	}
	return gp.Barrier(ctx)
}

// start opens the journal. With an empty journal, run first finds out how to join the group; otherwise the group is opened at once.
func (ct *control) start() error {
	fd, err := ct.sv.disk(ct.sv.settings.DataFolder)
	if err != nil {
		return TagData.Wrap(err)
	}
	jn, err := journaler.Open(fd)
	if err != nil {
		// Releases the folder's lock, which would make the next attempt fail.
		_ = fd.Close()
		return TagData.Errorf("%s: %w", ct.sv.settings.DataFolder, err)
	}
	st := ct.sv.settings
	self := replicator.Member{Instance: st.Instance, Boot: jn.Identity(), Peer: st.Listen.Peers}
	if !jn.Fresh() {
		return ct.open(self, jn, nil)
	}
	ct.sv.tmb.Go(func() error { return ct.run(self, jn) })
	return nil
}

// run retries form until this member, whose journal is empty, can found or join the group, then opens it.
func (ct *control) run(self replicator.Member, jn replicator.Journal) error {
	for ct.sv.tmb.Alive() {
		initial, err := ct.form(self)
		if err == nil {
			return ct.open(self, jn, initial)
		}
		if ct.sv.tmb.Alive() {
			ct.sv.logger.Log(eventFormFailed, "err", err)
		}
	}
	return nil
}

func (ct *control) form(self replicator.Member) ([]replicator.Member, error) {
	ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), formTimeout)
	defer cancel()
	if ct.sv.settings.Control.JoinOnly {
		return nil, ct.awaitGroup(ctx, self)
	}
	return ct.sv.host.Form(ctx, controlGroup, self, founders(ct.sv.settings))
}

// awaitGroup returns once an instance that the settings or gossip name reports that the group exists.
func (ct *control) awaitGroup(ctx context.Context, self replicator.Member) error {
	for {
		once, cancel := context.WithTimeout(ctx, joinInterval)
		// Without its own address among them, the member founds nothing.
		_, err := ct.sv.host.Form(once, controlGroup, self, ct.introductionTargets())
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
}

func (ct *control) open(self replicator.Member, jn replicator.Journal, initial []replicator.Member) error {
	opts := []replicator.GroupOption{replicator.WithJournal(jn), replicator.WithSeed(ct.sv.random.Uint64())}
	if len(initial) > 0 {
		opts = append(opts, replicator.WithInitialMembers(initial...))
	}
	gp, err := ct.sv.host.Open(controlGroup, self, ct, opts...)
	if err != nil {
		return TagLog.Wrap(err)
	}
	ct.group.Store(gp)
	ct.sv.logger.Log(eventFormed, "boot", self.Boot)
	ct.sv.tmb.Go(ct.loop)
	return nil
}

// handleIntroduction queues the introduction of a member that started with an empty journal or has no vote.
func (sv *Server) handleIntroduction(group string, mb replicator.Member) {
	if sv.control == nil || group != controlGroup {
		return
	}
	select {
	case sv.control.joining <- mb:
	default:
		// Dropped when the queue is full: members repeat their introduction.
	}
}

// loop introduces this instance until it is a voter and, while it leads,
// adds, promotes and replaces members that introduced themselves.
func (ct *control) loop() error {
	tk := time.NewTicker(reconcileInterval)
	defer tk.Stop()
	for {
		select {
		case <-ct.sv.tmb.Dying():
			return nil
		case <-ct.group.Load().Dead():
			ct.reopen()
			return nil
		case mb := <-ct.joining:
			ct.advanceMember(mb)
		case <-tk.C:
			ct.introduce()
			ct.reconcileControls()
		}
	}
}

// reopen rejoins the group after the journal has failed, for instance because the disk was full for a while.
// It restarts from the disk's contents, as a new process does, and retries until the process stops.
func (ct *control) reopen() {
	ct.group.Load().Stop()
	for ct.sv.tmb.Alive() {
		select {
		case <-ct.sv.tmb.Dying():
			return
		case <-time.After(reopenInterval):
		}
		ct.state = registrar.NewState()
		err := ct.start()
		ct.sv.logger.Log(eventReopened, "err", err)
		if err == nil {
			return
		}
	}
}

// introduce introduces this member to the other control instances while it is no voter,
// or while an earlier identity of this instance is still a member.
func (ct *control) introduce() {
	gp := ct.group.Load()
	_, replaces := earlierIdentity(gp.Members(), gp.Self())
	if ms, ok := gp.Members().Find(gp.Self().ID()); ok && ms.Voter && !replaces {
		return
	}
	for _, addr := range ct.introductionTargets() {
		ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), reconcileInterval)
		// Failures are retried at the next tick.
		_, _ = ct.sv.host.Introduce(ctx, addr, controlGroup, gp.Self())
		cancel()
	}
}

// introductionTargets returns the peer addresses of the founders and the live control instances, without duplicates
// and without this instance.
func (ct *control) introductionTargets() []netip.AddrPort {
	addrs := founders(ct.sv.settings)
	for _, mb := range ct.sv.gossiper.View().Members() {
		if mb.Roles.Has(gossiper.RoleControl) && mb.Status == gossiper.StatusAlive {
			addrs = append(addrs, mb.Peer)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(addrs), func(ap netip.AddrPort) bool { return ap == ct.sv.settings.Listen.Peers })
}

// advanceMember takes one step towards a vote for a member that introduced itself. A step that fails or times out
// is retried when the member introduces itself again.
func (ct *control) advanceMember(mb replicator.Member) {
	gp := ct.group.Load()
	if gp == nil {
		return
	}
	if _, _, held := gp.Lease(); !held {
		return
	}
	ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), reconcileTimeout)
	defer cancel()
	step, old := joinState{
		config: gp.Members(), member: mb, gossipMember: ct.gossipMember, waited: ct.introductions.waited(mb, time.Now()),
	}.next()
	var err error
	switch step {
	case joinReplace:
		if err = gp.Replace(ctx, old, mb); err == nil {
			ct.sv.logger.Log(eventReplaced, "member", mb.Instance, "boot", mb.Boot, "old", old.Instance)
		}
	case joinAdd:
		err = gp.Add(ctx, mb)
	case joinPromote:
		err = gp.Promote(ctx, mb)
	}
	if err != nil {
		ct.sv.logger.Log(eventChangeFailed, "member", mb.Instance, "boot", mb.Boot, "err", err)
	}
}

// gossipMember returns gossip's record of a control instance. One that gossip has forgotten but the table lists counts as left,
// with the failure domain from the table.
func (ct *control) gossipMember(in gypsumhoist.Instance) (gossiper.Member, bool) {
	if mb, known := ct.sv.gossiper.View().Member(in); known {
		return mb, true
	}
	for _, cm := range ct.holder.Current().Controls() {
		if cm.Instance == in {
			return gossiper.Member{Instance: in, Domain: cm.Domain, Status: gossiper.StatusLeft}, true
		}
	}
	return gossiper.Member{}, false
}

// reconcileControls removes a member that has left for good, and updates the table's list of control instances,
// which operators and nodes read.
func (ct *control) reconcileControls() {
	gp := ct.group.Load()
	if _, _, held := gp.Lease(); !held {
		return
	}
	ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), reconcileTimeout)
	defer cancel()
	ct.dropVotes(ctx, gp)
	if mb, ok := ct.departures.removable(gp.Members(), ct.gossipMember, time.Now()); ok && gp.Remove(ctx, mb) == nil {
		ct.sv.logger.Log(eventMemberRemoved, "member", mb.Instance, "boot", mb.Boot)
	}
	listed := ct.holder.Current().Controls()
	for _, ms := range gp.Members() {
		mb, known := ct.gossipMember(ms.Member.Instance)
		want := registrar.ControlMember{Instance: ms.Member.Instance, Domain: mb.Domain, Peer: ms.Member.Peer, Voter: ms.Voter}
		if known && !slices.Contains(listed, want) {
			ct.propose(ctx, registrar.SetControl{Member: want})
		}
	}
	for _, cm := range listed {
		isMember := slices.ContainsFunc(gp.Members(), func(ms replicator.Membership) bool { return ms.Member.Instance == cm.Instance })
		if !isMember {
			ct.propose(ctx, registrar.SetControl{Member: cm, Remove: true})
		}
	}
}

// dropVotes takes the votes of members that are gone and have a successor, which would count against the majority.
func (ct *control) dropVotes(ctx context.Context, gp *replicator.Group) {
	if mb, ok := replacedIdentity(gp.Members()); ok && gp.Remove(ctx, mb) == nil {
		ct.sv.logger.Log(eventReplaced, "member", mb.Instance, "old", mb.Instance, "old_boot", mb.Boot)
	}
	if mb, ok := spareVoter(gp.Members(), gp.Self().ID(), ct.gossipMember); ok && gp.Demote(ctx, mb) == nil {
		ct.sv.logger.Log(eventDemoted, "member", mb.Instance, "boot", mb.Boot)
	}
}

// propose proposes one change of the list of control instances; failures are retried at the next tick.
func (ct *control) propose(ctx context.Context, cmd registrar.Command) {
	id := registrar.EditID("control/" + rand.Text())
	_, _ = ct.Propose(ctx, registrar.EncodeCommand(id, cmd))
}
