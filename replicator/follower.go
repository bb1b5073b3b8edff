package replicator

// stepAppend appends entries from the leader.
func (co *Core) stepAppend(ms Message, req AppendRequest) {
	if req.PrevIndex < co.commit {
		req = co.skipCommitted(req)
	}
	term, held := co.log.term(req.PrevIndex)
	if !held || term != req.PrevTerm {
		at := co.log.conflictHint(req.PrevIndex, co.commit)
		co.send(ms.From, AppendResponse{Reject: true, PrevIndex: req.PrevIndex, Match: at, Sent: req.Sent})
		return
	}
	co.appendMissing(req.Entries)
	match := req.PrevIndex + uint64(len(req.Entries))
	co.commitTo(min(req.Commit, match))
	resp := AppendResponse{PrevIndex: req.PrevIndex, Match: match, Sent: req.Sent}
	if len(req.Entries) == 0 {
		co.sendLazy(ms.From, resp)
		return
	}
	co.send(ms.From, resp)
}

// skipCommitted drops the entries of a request that are committed here, as they are identical in every leader's log.
func (co *Core) skipCommitted(req AppendRequest) AppendRequest {
	drop := min(co.commit-req.PrevIndex, uint64(len(req.Entries)))
	req.Entries = req.Entries[drop:]
	req.PrevIndex = co.commit
	req.PrevTerm, _ = co.log.term(co.commit)
	return req
}

// appendMissing appends those entries that the log lacks and truncates a conflicting tail.
func (co *Core) appendMissing(ens []Entry) {
	for ix, en := range ens {
		term, held := co.log.term(en.Index)
		if held && term == en.Term {
			continue
		}
		co.truncateConfigs(en.Index)
		co.savedIndex = min(co.savedIndex, en.Index-1)
		co.log.append(ens[ix:]...)
		co.addConfigs(ens[ix:])
		return
	}
}

func (co *Core) commitTo(index uint64) {
	if index <= co.commit {
		return
	}
	co.commit = index
	co.commitConfigs()
}

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	index, term uint64
	data        []byte
}

func (co *Core) stepSnapshot(ms Message, req SnapshotRequest) {
	sn := req.Snapshot
	if sn.Index <= co.commit {
		co.incoming = incomingSnapshot{}
		co.send(ms.From, AppendResponse{PrevIndex: co.commit, Match: co.commit, Sent: req.Sent})
		return
	}
	if co.incoming.index != sn.Index || co.incoming.term != sn.Term {
		co.incoming = incomingSnapshot{index: sn.Index, term: sn.Term}
	}
	have := uint64(len(co.incoming.data))
	if req.Offset == have && req.Total <= maxSnapshot {
		co.incoming.data = append(co.incoming.data, sn.Data...)
		have = uint64(len(co.incoming.data))
	}
	if have < req.Total {
		co.send(ms.From, SnapshotResponse{Index: sn.Index, Next: have, Sent: req.Sent})
		return
	}
	sn.Data = co.incoming.data
	co.incoming = incomingSnapshot{}
	co.installSnapshot(sn)
	co.send(ms.From, AppendResponse{PrevIndex: sn.Index, Match: sn.Index, Sent: req.Sent})
}

// installSnapshot installs a complete snapshot. Entries after it are kept if the log matches the snapshot,
// as the leader may already have counted them as replicated.
func (co *Core) installSnapshot(sn Snapshot) {
	term, held := co.log.term(sn.Index)
	if held && term == sn.Term {
		co.log.compact(sn, 0)
	} else {
		co.log.reset(sn)
		co.reset = true
		co.configs = nil
	}
	co.savedIndex = max(min(co.savedIndex, co.log.last()), sn.Index)
	co.commit, co.appliedIndex = sn.Index, sn.Index
	co.restore, co.localSnapshot = &sn, nil
	co.installConfig(sn)
}

// Compact replaces the entries up to index, which must be applied, by a snapshot of the state machine.
func (co *Core) Compact(index uint64, data []byte) {
	if index <= co.log.snapshot.Index || index > co.appliedIndex {
		return
	}
	en := co.log.at(index)
	sn := Snapshot{Index: index, Term: en.Term, Proposed: en.Proposed, Configuration: co.configAt(index), Data: data}
	co.log.compact(sn, trailingEntries)
	co.localSnapshot = &sn
	co.pruneConfigs(index)
}
