package limiter_test

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
)

const (
	callTimeout    = 150 * time.Millisecond
	failureBackoff = 20 * time.Millisecond
)

// request simulates a request that arrives at a node.
func (sim *simulation) request(nd *node, imp gypsumhoist.Importance) {
	now := nd.clock(sim.now)
	if nd.bucket.Spend(now) {
		sim.spend(nd, sim.now)
		sim.send(nd)
		return
	}
	nd.nextID++
	nd.pending[nd.nextID] = sim.now
	sim.releaseAll(nd, nd.bucket.Wait(now, nd.nextID, imp, 8), false)
	sim.send(nd)
}

func (sim *simulation) spend(_ *node, since time.Time) {
	sim.spent++
	sim.waits = append(sim.waits, sim.now.Sub(since))
	if sim.reference != nil {
		sim.reference.spend(sim.now)
	}
}

func (sim *simulation) releaseAll(nd *node, releases []limiter.Release, unavailable bool) {
	for _, rl := range releases {
		since := nd.pending[rl.ID]
		delete(nd.pending, rl.ID)
		switch {
		case rl.Granted:
			sim.spend(nd, since)
		case unavailable || rl.Unready:
			sim.unavailable++
		default:
			sim.refused++
		}
	}
}

// tickNode does what the Limiter's loop does for a node.
func (sim *simulation) tickNode(nd *node) {
	nd.bucket.Tick(nd.clock(sim.now))
	sim.releaseAll(nd, nd.bucket.Expire(nd.clock(sim.now)), false)
	sim.send(nd)
	sim.schedule(2*time.Millisecond, func() { sim.tickNode(nd) })
}

// send sends the node's request and settlements to its leader.
func (sim *simulation) send(nd *node) {
	now := nd.clock(sim.now)
	if !nd.bucket.HasWork(now) {
		return
	}
	settlements := nd.bucket.Settlements(now)
	nd.nextID++
	req, hasRequest := nd.bucket.NextRequest(now, nd.nextID)
	sim.messages["take"]++
	if nd.dm.bucket == nil || sim.messageLost() {
		sim.failLater(nd, req.ID, hasRequest)
		return
	}
	db, incarnation := nd.dm.bucket, nd.incarnation
	if sim.defect == defectTwoLeaders && len(nd.dm.staleLeaders) > 0 && nd == nd.dm.nodes[0] {
		db = nd.dm.staleLeaders[len(nd.dm.staleLeaders)-1]
	}
	if hasRequest {
		sim.schedule(callTimeout, func() {
			if nd.incarnation == incarnation {
				sim.releaseAll(nd, nd.bucket.Failed(nd.clock(sim.now), req.ID, failureBackoff), true)
			}
		})
	}
	sim.schedule(sim.jittered(sim.domainDelay), func() {
		if db != nd.dm.bucket && sim.defect != defectTwoLeaders {
			return
		}
		for _, st := range settlements {
			if sim.defect == defectDoubleCredit {
				st.Returned, st.Spent = st.Returned+st.Spent, 0
			}
			db.Settle(nd.dm.clock(sim.now), st)
		}
		if hasRequest {
			db.Take(nd.dm.clock(sim.now), req)
		}
		sim.applyEffects(nd.dm, db)
	})
}

func (sim *simulation) failLater(nd *node, id uint64, hasRequest bool) {
	incarnation := nd.incarnation
	sim.schedule(callTimeout, func() {
		if nd.incarnation != incarnation {
			return
		}
		now := nd.clock(sim.now)
		if hasRequest {
			sim.releaseAll(nd, nd.bucket.Failed(now, id, failureBackoff), true)
		}
	})
}

// tickLeader does what the keeper does for a leader.
func (sim *simulation) tickLeader(dm *domain) {
	if dm.bucket != nil {
		if _, waits := dm.bucket.NextTick(); waits {
			dm.bucket.Tick(dm.clock(sim.now))
			sim.applyEffects(dm, dm.bucket)
		}
	}
	for _, db := range dm.staleLeaders {
		db.Tick(dm.clock(sim.now))
		sim.applyEffects(dm, db)
	}
	sim.schedule(time.Millisecond, func() { sim.tickLeader(dm) })
}

func (sim *simulation) applyEffects(dm *domain, db *limiter.DomainBucket) {
	for _, ef := range db.Effects() {
		switch ef := ef.(type) {
		case limiter.GrantEffect:
			sim.answerTake(dm, db, ef.Grant)
		case limiter.TransferEffect:
			sim.transfer(dm, db, ef)
		case limiter.SettleEffect:
			sim.settleTransfer(dm, ef)
		}
	}
}

func (sim *simulation) answerTake(dm *domain, db *limiter.DomainBucket, gr limiter.Grant) {
	if sim.defect == defectOutstandingIgnored && gr.Amount > 0 {
		db.Settle(dm.clock(sim.now), limiter.Settlement{Key: gr.Key, Node: gr.Node, Epoch: db.Epoch(), ID: gr.ID, Spent: gr.Amount})
	}
	if sim.messageLost() {
		return
	}
	for _, nd := range dm.nodes {
		if nd.name != gr.Node {
			continue
		}
		incarnation := nd.incarnation
		deliver := func() {
			if nd.incarnation != incarnation {
				return
			}
			sim.releaseAll(nd, nd.bucket.Granted(nd.clock(sim.now), db.Epoch(), gr), false)
			sim.send(nd)
		}
		sim.schedule(sim.jittered(sim.domainDelay), deliver)
	}
}

func (sim *simulation) domainOf(name gypsumhoist.FailureDomain) *domain {
	for _, dm := range sim.domains {
		if dm.name == name {
			return dm
		}
	}
	return nil
}

func (sim *simulation) transfer(dm *domain, db *limiter.DomainBucket, ef limiter.TransferEffect) {
	sim.messages["transfer"]++
	to := sim.domainOf(ef.To)
	answered := false
	sim.schedule(callTimeout, func() {
		if !answered && dm.bucket == db {
			db.TransferFailed(dm.clock(sim.now), to.name, ef.Request.Key, ef.Request.ID)
			sim.applyEffects(dm, db)
		}
	})
	if dm.cutOff || to.cutOff || sim.messageLost() {
		return
	}
	sim.schedule(sim.jittered(sim.crossDelay), func() {
		if to.bucket == nil {
			return
		}
		donor := to.bucket
		tf := donor.Transfer(to.clock(sim.now), ef.Request)
		sim.applyEffects(to, donor)
		if dm.cutOff || to.cutOff || sim.messageLost() {
			return
		}
		sim.schedule(sim.jittered(sim.crossDelay), func() {
			if dm.bucket != db {
				return
			}
			answered = true
			db.Received(dm.clock(sim.now), to.name, tf)
			sim.applyEffects(dm, db)
		})
	})
}

func (sim *simulation) settleTransfer(dm *domain, ef limiter.SettleEffect) {
	to := sim.domainOf(ef.To)
	if dm.cutOff || to.cutOff || sim.messageLost() {
		return
	}
	sim.schedule(sim.jittered(sim.crossDelay), func() {
		if to.bucket != nil {
			to.bucket.SettleTransfer(to.clock(sim.now), ef.Settlement)
			sim.applyEffects(to, to.bucket)
		}
	})
}
