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

// Times of the control role.
const (
	formPatience   = time.Minute // for the founders to come up, before the log says that they have not
	repairEvery    = time.Second
	controlMost    = 11 // control instances that get a seat by themselves
	repairPatience = 5 * time.Second
	reopenEvery    = time.Second // between two tries to open a journal that has failed
)

var (
	eventFormed     = logger.Define(1021, logger.LevelInfo, "control_formed", "This instance has its seat in the table's log.")
	eventFormFailed = logger.Define(1022, logger.LevelError, "control_not_formed",
		"The founders of the table's log were not all up in time; start all that the settings name.")
	eventReplaced = logger.Define(1023, logger.LevelWarn, "control_member_replaced",
		"A control instance came back without its disk and has a new seat; the old one is gone.")
	eventSeatTaken = logger.Define(1025, logger.LevelWarn, "control_seat_taken",
		"A control instance said farewell and did not come back while another one of its failure domain votes; its seat is gone.")
	eventReopened = logger.Define(1024, logger.LevelWarn, "control_reopened",
		"The journal of the table's log had failed and was opened anew; err says why it can't be opened yet.")
)

// control is the control role of a process: its member of the replicated log and the state behind it.
type control struct {
	sv     *Server
	holder *registrar.Holder
	state  *registrar.State
	group  atomic.Pointer[replicator.Group]
	wanted chan replicator.Member
	// introduced and gone belong to loop.
	introduced introductions
	gone       farewells
	sheet      atomic.Pointer[registrar.Sheet]
}

// sheetNow returns the sheet in force in the state that this instance has applied.
func (ct *control) sheetNow() registrar.Sheet {
	if sh := ct.sheet.Load(); sh != nil {
		return *sh
	}
	return registrar.Sheet{}
}

// publish shows what was applied to readers.
func (ct *control) publish() {
	sh := ct.state.Sheet()
	ct.sheet.Store(&sh)
	ct.holder.Take(ct.state.Table())
}

func newControl(sv *Server, holder *registrar.Holder) *control {
	return &control{sv: sv, holder: holder, state: registrar.NewState(), wanted: make(chan replicator.Member, 16), introduced: introductions{}, gone: farewells{}}
}

// Apply implements replicator.Machine.
func (ct *control) Apply(en replicator.Entry) []byte {
	out := ct.state.Apply(en.Command, en.Proposed)
	ct.publish()
	return out
}

// Snapshot implements replicator.Machine.
func (ct *control) Snapshot() []byte { return ct.state.Snapshot() }

// Restore implements replicator.Machine.
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
		return nil, fmt.Errorf("the table's log is not formed yet: %w", registrar.ErrNotProposed)
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
		return errors.New("the table's log is not formed yet")
	}
	return gp.Barrier(ctx)
}

// start opens the journal and takes this instance's seat, at once if it had one before.
func (ct *control) start() error {
	fd, err := ct.sv.disk(ct.sv.settings.DataFolder)
	if err != nil {
		return TagData.Wrap(err)
	}
	jn, err := journaler.Open(fd)
	if err != nil {
		// Or the next try would find the folder taken.
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

// run waits until it is known how a member with an empty journal comes into the log.
func (ct *control) run(self replicator.Member, jn replicator.Journal) error {
	for ct.sv.tmb.Alive() {
		first, err := ct.form(self)
		if err == nil {
			return ct.open(self, jn, first)
		}
		if ct.sv.tmb.Alive() {
			ct.sv.logger.Log(eventFormFailed, "err", err)
		}
	}
	return nil
}

func (ct *control) form(self replicator.Member) ([]replicator.Member, error) {
	ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), formPatience)
	defer cancel()
	return ct.sv.host.Form(ctx, controlGroup, self, founders(ct.sv.settings))
}

func (ct *control) open(self replicator.Member, jn replicator.Journal, first []replicator.Member) error {
	opts := []replicator.GroupOption{replicator.WithJournal(jn), replicator.WithSeed(ct.sv.random.Uint64())}
	if len(first) > 0 {
		opts = append(opts, replicator.WithFirst(first...))
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

// introduced hears of a member that came up with an empty journal.
func (sv *Server) introduced(group string, mb replicator.Member) {
	if sv.control == nil || group != controlGroup {
		return
	}
	select {
	case sv.control.wanted <- mb:
	default:
		// It introduces itself again.
	}
}

// loop asks for this instance's seat until it has one that votes, and while it leads
// gives seats to members that lost their disk.
func (ct *control) loop() error {
	tk := time.NewTicker(repairEvery)
	defer tk.Stop()
	for {
		select {
		case <-ct.sv.tmb.Dying():
			return nil
		case <-ct.group.Load().Dead():
			ct.reopen()
			return nil
		case mb := <-ct.wanted:
			ct.seat(mb)
		case <-tk.C:
			ct.introduce()
			ct.list()
		}
	}
}

// reopen takes the seat again after the journal has failed, as a disk that was full or broken for a while may serve again.
// It begins from what the disk holds, as a process that starts does, and goes on trying until the process stops.
func (ct *control) reopen() {
	ct.group.Load().Stop()
	for ct.sv.tmb.Alive() {
		select {
		case <-ct.sv.tmb.Dying():
			return
		case <-time.After(reopenEvery):
		}
		ct.state = registrar.NewState()
		err := ct.start()
		ct.sv.logger.Log(eventReopened, "err", err)
		if err == nil {
			return
		}
	}
}

// introduce tells the founders about this member while it has no vote, or while an earlier identity of it has a seat.
func (ct *control) introduce() {
	gp := ct.group.Load()
	_, replaces := oldSeat(gp.Members(), gp.Self())
	if se, ok := gp.Members().Find(gp.Self().ID()); ok && se.Voter && !replaces {
		return
	}
	for _, addr := range ct.others() {
		ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), repairEvery)
		// One that does not answer is asked again at the next beat.
		_, _ = ct.sv.host.Introduce(ctx, addr, controlGroup, gp.Self())
		cancel()
	}
}

// others returns the founders and the control instances in view, each once, but this one.
func (ct *control) others() []netip.AddrPort {
	addrs := founders(ct.sv.settings)
	for _, mb := range ct.sv.gossiper.View().Members() {
		if mb.Roles.Has(gossiper.RoleControl) && mb.Status == gossiper.StatusAlive {
			addrs = append(addrs, mb.Peer)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(addrs), func(ap netip.AddrPort) bool { return ap == ct.sv.settings.Listen.Peers })
}

// seat gives a member that introduced itself a seat or a vote, a step at a time. What can't be done in time is taken up when it
// introduces itself again.
func (ct *control) seat(mb replicator.Member) {
	gp := ct.group.Load()
	if gp == nil {
		return
	}
	if _, _, held := gp.Lease(); !held {
		return
	}
	ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), repairPatience)
	defer cancel()
	step, old := seating{
		seats: gp.Members(), member: mb, find: ct.find, waited: ct.introduced.waited(mb, time.Now()),
	}.next()
	switch step {
	case seatReplace:
		if gp.Replace(ctx, old, mb) == nil {
			ct.sv.logger.Log(eventReplaced, "member", mb.Instance, "boot", mb.Boot, "old", old.Instance)
		}
	case seatAdd:
		_ = gp.Add(ctx, mb)
	case seatPromote:
		_ = gp.Promote(ctx, mb)
	}
}

// find returns what gossip knows of a control instance, or its last known domain where it has left.
func (ct *control) find(in gypsumhoist.Instance) (gossiper.Member, bool) {
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

// list notes in the table who has a seat, for operators and for nodes that look for control instances.
func (ct *control) list() {
	gp := ct.group.Load()
	if _, _, held := gp.Lease(); !held {
		return
	}
	ctx, cancel := context.WithTimeout(ct.sv.tmb.Context(nil), repairPatience)
	defer cancel()
	if mb, over := ct.gone.over(gp.Members(), ct.find, time.Now()); over && gp.Remove(ctx, mb) == nil {
		ct.sv.logger.Log(eventSeatTaken, "member", mb.Instance, "boot", mb.Boot)
	}
	listed := ct.holder.Current().Controls()
	for _, se := range gp.Members() {
		mb, known := ct.sv.gossiper.View().Member(se.Member.Instance)
		want := registrar.ControlMember{Instance: se.Member.Instance, Domain: mb.Domain, Peer: se.Member.Peer, Voter: se.Voter}
		if known && !slices.Contains(listed, want) {
			ct.propose(ctx, registrar.SetControl{Member: want})
		}
	}
	for _, cm := range listed {
		seated := slices.ContainsFunc(gp.Members(), func(se replicator.Seat) bool { return se.Member.Instance == cm.Instance })
		if !seated {
			ct.propose(ctx, registrar.SetControl{Member: cm, Remove: true})
		}
	}
}

// propose puts one change of the list of control instances into the log; what fails is tried again at the next beat.
func (ct *control) propose(ctx context.Context, cmd registrar.Command) {
	id := registrar.EditID("control/" + rand.Text())
	_, _ = ct.Propose(ctx, registrar.EncodeCommand(id, cmd))
}
