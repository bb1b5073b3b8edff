package replicator

import (
	"slices"
	"time"
)

// config returns the newest configuration, committed or not. As in Raft, it takes effect when it is appended.
func (co *Core) config() Configuration {
	if len(co.configs) == 0 {
		return nil
	}
	return co.configs[len(co.configs)-1].config
}

// configAt returns the configuration in effect at an index.
func (co *Core) configAt(index uint64) Configuration {
	var cf Configuration
	for _, ce := range co.configs {
		if ce.index <= index {
			cf = ce.config
		}
	}
	return cf
}

// addConfigs records the configurations in appended entries.
func (co *Core) addConfigs(ens []Entry) {
	for _, en := range ens {
		if en.Kind == KindConfiguration {
			co.configs = append(co.configs, configEntry{index: en.Index, config: en.Configuration})
		}
	}
}

// truncateConfigs drops the configurations from an index on, whose entries were overwritten.
func (co *Core) truncateConfigs(from uint64) {
	co.configs = slices.DeleteFunc(co.configs, func(ce configEntry) bool { return ce.index >= from })
}

// pruneConfigs drops those configurations that a newer one replaced at or before an index.
func (co *Core) pruneConfigs(index uint64) {
	for len(co.configs) > 1 && co.configs[1].index <= index {
		co.configs = co.configs[1:]
	}
}

func (co *Core) installConfig(sn Snapshot) {
	own := co.self.ID()
	_, had := co.config().Find(own)
	co.truncateConfigs(sn.Index + 1)
	co.configs = slices.DeleteFunc(co.configs, func(ce configEntry) bool { return ce.index <= sn.Index })
	co.configs = slices.Insert(co.configs, 0, configEntry{index: sn.Index, config: sn.Configuration})
	if _, has := sn.Configuration.Find(own); had && !has {
		co.becomeRemoved()
	}
}

// commitConfigs drops configurations that a committed one has replaced, and makes the member inactive if it was removed.
func (co *Core) commitConfigs() {
	for len(co.configs) > 1 && co.configs[1].index <= co.commit {
		_, had := co.configs[0].config.Find(co.self.ID())
		_, has := co.configs[1].config.Find(co.self.ID())
		co.configs = co.configs[1:]
		if had && !has {
			co.becomeRemoved()
		}
	}
}

// becomeRemoved makes the member inactive after its removal from the group.
func (co *Core) becomeRemoved() {
	if co.role == RoleLeader {
		co.sendAll(co.lead.now)
		co.failReads()
		co.lead = leaderState{}
	}
	co.role, co.leader = RoleRemoved, Member{}
}

// Change proposes a change of the configuration and returns the index of its entry.
// Only a leader that has committed an entry of its term accepts changes, and only one at a time.
func (co *Core) Change(now time.Time, ch Change) (uint64, error) {
	if detail := co.changeRefusal(now, ch); detail != "" {
		return 0, &ErrChange{Change: ch, Detail: detail}
	}
	next, detail := ch.apply(co.config())
	if detail != "" {
		return 0, &ErrChange{Change: ch, Detail: detail}
	}
	en := co.appendEntry(now, Entry{Kind: KindConfiguration, Configuration: next})
	co.addConfigs([]Entry{en})
	co.lead.setPeers(now, next, co.self.ID(), co.log.last())
	co.sendAll(now)
	co.advanceCommit()
	return en.Index, nil
}

func (co *Core) changeRefusal(now time.Time, ch Change) string {
	switch {
	case !co.acceptsProposals():
		return "this member is not the leader"
	case co.commit < co.lead.termStart:
		return "the leader has not committed an entry of its term yet"
	case co.configs[len(co.configs)-1].index > co.commit:
		return "another change is not committed yet"
	case ch.Kind == ChangePromote && !co.caughtUp(now, ch.Member.ID()):
		return "not caught up yet"
	case ch.Kind == ChangeDemote && ch.Member.ID() == co.self.ID():
		return "the leader can't be demoted"
	default:
		return ""
	}
}

// caughtUp reports whether a member holds all committed entries and still answers.
func (co *Core) caughtUp(now time.Time, id MemberID) bool {
	pg := co.lead.peer(id)
	return pg != nil && pg.match >= co.commit && co.responsive(now, pg)
}
