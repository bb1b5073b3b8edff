package replicator

import "time"

// sendAll sends every member the entries that it lacks, or a heartbeat.
func (co *Core) sendAll(now time.Time) {
	for _, pg := range co.lead.peers {
		co.sendAppend(now, pg, co.responsive(now, pg))
	}
}

// responsive reports whether a member responded within ElectionMin. Others get only heartbeats, as entries would be wasted on them.
func (co *Core) responsive(now time.Time, pg *progress) bool {
	return pg.answered && now.Sub(co.start)-pg.ackedSent <= co.tm.ElectionMin
}

// sendAppend sends a member the entries from its next index on, or only a heartbeat if full is false.
func (co *Core) sendAppend(now time.Time, pg *progress, full bool) {
	co.lead.now = now
	if pg.snapshot != nil || pg.next-1 < co.log.base {
		co.sendSnapshot(now, pg, full)
		return
	}
	req := AppendRequest{PrevIndex: pg.next - 1, Commit: co.commit, Sent: now.Sub(co.start)}
	req.PrevTerm, _ = co.log.term(req.PrevIndex)
	if full && pg.next-pg.match <= maxInFlight {
		req.Entries = co.log.after(req.PrevIndex, maxAppendBytes)
	}
	if pg.probing {
		pg.probeSent = true
	} else {
		pg.next += uint64(len(req.Entries))
	}
	if len(req.Entries) == 0 && !pg.probing {
		co.sendLazy(pg.member, req)
		return
	}
	co.send(pg.member, req)
}

// sendSnapshot sends the next chunk of a snapshot, or an empty one if full is false.
func (co *Core) sendSnapshot(now time.Time, pg *progress, full bool) {
	if pg.snapshot == nil {
		sn := co.log.snapshot
		pg.snapshot, pg.offset = &sn, 0
	}
	chunk := *pg.snapshot
	total := uint64(len(chunk.Data))
	end := min(pg.offset+snapshotChunk, total)
	if !full {
		end = pg.offset
	}
	chunk.Data = chunk.Data[pg.offset:end]
	co.send(pg.member, SnapshotRequest{Snapshot: chunk, Offset: pg.offset, Total: total, Sent: now.Sub(co.start)})
}

// recordResponse records a response and returns its sender's progress, or nil if there is none.
func (co *Core) recordResponse(now time.Time, ms Message, sent time.Duration) *progress {
	if co.role != RoleLeader {
		return nil
	}
	co.lead.now = now
	pg := co.lead.peer(ms.From.ID())
	if pg == nil {
		return nil
	}
	pg.ackedSent, pg.answered = max(pg.ackedSent, sent), true
	return pg
}

func (co *Core) stepSnapshotResponse(now time.Time, ms Message, resp SnapshotResponse) {
	pg := co.recordResponse(now, ms, resp.Sent)
	if pg == nil || pg.snapshot == nil || pg.snapshot.Index != resp.Index || resp.Next == pg.offset {
		return
	}
	if resp.Next > uint64(len(pg.snapshot.Data)) {
		return
	}
	pg.offset = resp.Next
	co.sendSnapshot(now, pg, true)
	co.completeReads(now)
}

func (co *Core) stepAppendResponse(now time.Time, ms Message, resp AppendResponse) {
	pg := co.recordResponse(now, ms, resp.Sent)
	if pg == nil {
		return
	}
	if resp.Reject {
		co.rewindNext(now, pg, resp)
	} else {
		co.advanceMatch(now, pg, resp)
	}
	if co.role != RoleLeader {
		return
	}
	co.recordLease(now)
	co.completeReads(now)
	co.sendTimeoutNow()
}

func (co *Core) rewindNext(now time.Time, pg *progress, resp AppendResponse) {
	if pg.snapshot != nil || resp.PrevIndex <= pg.match || pg.probing && resp.PrevIndex != pg.next-1 {
		return
	}
	pg.next = max(pg.match, min(resp.Match, resp.PrevIndex-1)) + 1
	pg.probing = true
	co.sendAppend(now, pg, true)
}

func (co *Core) advanceMatch(now time.Time, pg *progress, resp AppendResponse) {
	if pg.snapshot != nil && resp.Match >= pg.snapshot.Index {
		pg.snapshot = nil
		pg.next = resp.Match + 1
	}
	if resp.Match > co.log.last() {
		return
	}
	pg.match = max(pg.match, resp.Match)
	pg.next = max(pg.next, pg.match+1)
	if pg.probing {
		pg.probing, pg.probeSent = false, false
		pg.next = pg.match + 1
	}
	co.advanceCommit()
	if co.role == RoleLeader && pg.snapshot == nil && pg.next <= co.log.last() {
		co.sendAppend(now, pg, true)
	}
}
