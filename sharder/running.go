package sharder

import (
	"errors"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// run opens and closes groups as placements and leaders require.
func (sh *Sharder) run() error {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-sh.tb.Dying():
			return nil
		case <-sh.ring.Ready():
			sh.handleEvents()
		case <-ticker.C:
			sh.applyPlacements()
		}
	}
}

func (sh *Sharder) handleEvents() {
	for {
		ev, ok := sh.ring.Pop()
		if !ok {
			return
		}
		switch ev := ev.(type) {
		case placementsChanged:
			sh.applyPlacements()
		case joinRequested:
			sh.handleJoin(ev)
		}
	}
}

// applyPlacements closes groups of old generations and opens those that have this process as an initial member.
func (sh *Sharder) applyPlacements() {
	for key, pl := range *sh.placements.Load() {
		if key.Domain != sh.domain {
			continue
		}
		if gr := sh.runner(key); gr != nil {
			if gr.generation < pl.Generation {
				gr.tb.Kill(nil)
			}
			continue
		}
		for _, mb := range pl.InitialMembers {
			if mb.ID() == sh.self.ID() {
				sh.openGroup(pl, sh.self, replicator.WithInitialMembers(pl.InitialMembers...))
			}
		}
	}
}

// handleJoin opens a group whose leader added this process as a member.
func (sh *Sharder) handleJoin(jr joinRequested) {
	key, generation, ok := parseGroupName(jr.group)
	mine := jr.member.Instance == sh.self.Instance && strings.HasPrefix(jr.member.Boot, sh.self.Boot+memberMark)
	pl, placed := (*sh.placements.Load())[key]
	if !ok || !mine || !placed || key.Domain != sh.domain || generation != pl.Generation {
		return
	}
	if gr := sh.runner(key); gr != nil {
		if gr.group.Self().ID() != jr.member.ID() {
			gr.closeIfNotMember()
		}
		return
	}
	mb := jr.member
	mb.Peer = sh.self.Peer
	sh.openGroup(pl, mb)
}

func (sh *Sharder) openGroup(pl Placement, self replicator.Member, opts ...replicator.GroupOption) {
	if sh.leaving.Load() || sh.closedMembers[pl.Group()] == self.ID() {
		return
	}
	opts = append(opts, replicator.WithTimings(sh.timings), replicator.WithSeed(sh.seed+uint64(pl.Shard)))
	mc := sh.newMachine(pl.Key(), pl.Generation, pl.FormedAt)
	gp, err := sh.host.Open(pl.Group(), self, mc, opts...)
	if err != nil {
		if errors.Is(err, replicator.ErrReopened) {
			sh.closedMembers[pl.Group()] = self.ID()
		}
		sh.lg.Log(eventOpenFailed, "group", pl.Group(), "seat", self.ID(), "error", err)
		return
	}
	gr := &groupRunner{sharder: sh, key: pl.Key(), generation: pl.Generation, group: gp}
	sh.mu.Lock()
	sh.runners[pl.Key()] = gr
	sh.mu.Unlock()
	sh.lg.Log(eventOpened, "group", pl.Group(), "seat", self.ID())
	gr.tb.Go(gr.run)
}

// fallback answers the host's queries about groups that are not open here.
type fallback struct{ sharder *Sharder }

// Unknown handles a message to this instance for a group that is not open here: its leader has added this process.
func (fb fallback) Unknown(group string, to, _ replicator.Member) {
	if to.Instance == fb.sharder.self.Instance {
		fb.sharder.ring.Push(joinRequested{group: group, member: to})
	}
}

// Leader returns the leader of a group as far as it is known.
func (fb fallback) Leader(group string) (replicator.Member, bool) {
	key, _, ok := parseGroupName(group)
	if !ok {
		return replicator.Member{}, false
	}
	return fb.sharder.leader(key)
}
