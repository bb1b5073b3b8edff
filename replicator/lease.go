package replicator

import "time"

// Lease states whether and since when a member is the only one that may act as the leader.
type Lease struct {
	Held  bool
	Epoch uint64 // the leader's term, which increases with each new holder
	// Since is the time at which the holder first held the lease in this term. Until is the time at which it expires unless renewed.
	Since, Until time.Time
}

// Lease returns the member's lease. It is held only after the leader has committed an entry of its
// term, and thus everything that earlier leaders committed.
func (co *Core) Lease(now time.Time) Lease {
	ls := Lease{Epoch: co.state.Term, Since: co.lead.leaseSince}
	if !co.acceptsProposals() || co.commit < co.lead.termStart {
		return ls
	}
	qu, ok := co.quorumAcked(now)
	if !ok {
		return ls
	}
	ls.Until = co.start.Add(qu).Add(co.tm.Lease)
	if !now.Before(ls.Until) {
		return ls
	}
	ls.Held = true
	if ls.Since.IsZero() {
		ls.Since = now
	}
	return ls
}

// recordLease records the time at which the lease is first held in this term.
func (co *Core) recordLease(now time.Time) {
	if co.lead.leaseSince.IsZero() {
		if ls := co.Lease(now); ls.Held {
			co.lead.leaseSince = now
		}
	}
}

// Transfer makes the leader give up its lease for good and transfer leadership to a voter as soon as that
// voter holds the whole log. It reports whether there is a responsive voter to transfer to.
func (co *Core) Transfer(now time.Time) bool {
	if !co.acceptsProposals() {
		return false
	}
	var best *progress
	for _, pg := range co.lead.peers {
		if !co.config().votes(pg.member.ID()) || !co.responsive(now, pg) {
			continue
		}
		if best == nil || pg.match > best.match {
			best = pg
		}
	}
	if best == nil {
		return false
	}
	co.lead.transferDeadline = now.Add(co.tm.ElectionMin)
	co.lead.transferTo = best.member.ID()
	co.failReads()
	co.sendTimeoutNow()
	return true
}

// sendTimeoutNow makes the transfer's target start an election as soon as it holds the whole log.
func (co *Core) sendTimeoutNow() {
	if co.lead.transferDeadline.IsZero() {
		return
	}
	pg := co.lead.peer(co.lead.transferTo)
	if pg != nil && pg.match == co.log.last() {
		co.send(pg.member, TimeoutNow{})
	}
}

// pendingRead is a read that waits for the confirmation of leadership.
type pendingRead struct {
	id          uint64
	from        Member // the zero value means this member itself
	requestedAt time.Duration
}

// Read begins a linearizable read with an ID of the caller's choice; Output.Reads holds its result.
// A read that was sent to a leader which then fails gets no result: the caller must repeat it.
func (co *Core) Read(now time.Time, id uint64) {
	switch {
	case co.acceptsProposals():
		co.lead.reads = append(co.lead.reads, pendingRead{id: id, requestedAt: now.Sub(co.start)})
		co.completeReads(now)
	case co.role == RoleFollower && co.leader != Member{}:
		co.send(co.leader, ReadIndexRequest{ID: id})
	default:
		co.reads = append(co.reads, ReadDone{ID: id})
	}
}

func (co *Core) stepReadRequest(now time.Time, ms Message, req ReadIndexRequest) {
	if co.acceptsProposals() {
		co.lead.reads = append(co.lead.reads, pendingRead{id: req.ID, from: ms.From, requestedAt: now.Sub(co.start)})
		co.completeReads(now)
	}
}

// completeReads completes those reads for which a majority has acknowledged a message sent since the request,
// or all reads if the lease is held.
func (co *Core) completeReads(now time.Time) {
	if len(co.lead.reads) == 0 || co.commit < co.lead.termStart {
		return
	}
	held := co.Lease(now).Held
	qu, ok := co.quorumAcked(now)
	rest := co.lead.reads[:0]
	for _, rd := range co.lead.reads {
		switch {
		case !held && (!ok || qu < rd.requestedAt):
			rest = append(rest, rd)
		case rd.from == Member{}:
			co.reads = append(co.reads, ReadDone{ID: rd.id, Index: co.commit, OK: true})
		default:
			co.send(rd.from, ReadIndexResponse{ID: rd.id, Index: co.commit})
		}
	}
	co.lead.reads = rest
}

// failReads fails the member's own pending reads and drops those of others.
func (co *Core) failReads() {
	for _, rd := range co.lead.reads {
		if rd.from == (Member{}) {
			co.reads = append(co.reads, ReadDone{ID: rd.id})
		}
	}
	co.lead.reads = nil
}
