package gossiper

import (
	"slices"
	"time"
)

// run passes messages and ticks to the core.
func (gs *Gossiper) run() error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	gs.handle(envelope{message: Ticked{}})
	for {
		select {
		case <-gs.tomb.Dying():
			return nil
		case <-gs.inbox.Ready():
			gs.drainInbox()
		case <-tick.C:
			gs.handle(envelope{message: Ticked{}})
		}
		gs.publishChanges()
	}
}

func (gs *Gossiper) drainInbox() {
	for {
		env, ok := gs.inbox.Pop()
		if !ok {
			return
		}
		gs.handle(env)
	}
}

func (gs *Gossiper) handle(env envelope) {
	for _, ac := range gs.core.Handle(time.Now(), env.message) {
		gs.perform(ac, env)
	}
	if env.spread != nil {
		gs.spreadWaiters = append(gs.spreadWaiters, spreadWaiter{env.spread, env.message})
	}
	gs.spreadWaiters = slices.DeleteFunc(gs.spreadWaiters, func(sw spreadWaiter) bool {
		if !gs.hasSpread(sw.message) {
			return false
		}
		close(sw.spread)
		return true
	})
}

// hasSpread reports whether every neighbour that answers has what a message has published.
func (gs *Gossiper) hasSpread(msg Message) bool {
	if ms, ok := msg.(RumorAdded); ok {
		return gs.core.RumorShared(ms.Rumor.Topic, ms.Rumor.Key)
	}
	return gs.core.Spread()
}

func (gs *Gossiper) perform(ac Action, env envelope) {
	switch ac := ac.(type) {
	case Exchange, Relay:
		gs.startCall(ac)
	case Reply:
		env.reply <- ac.Packet
	case MemberChanged:
		gs.logMember(ac.Member)
	case DuplicateName:
		gs.config.logger.Log(eventDuplicate, "instance", ac.Member.Instance, "other_boot", uint64(ac.Member.Boot),
			"other_peer", ac.Member.Peer)
	}
}

func (gs *Gossiper) logMember(mb Member) {
	ev := eventMember
	switch {
	case mb.Status == StatusUnreachable:
		ev = eventUnreachable
	case mb.Status == StatusSuspect:
		ev = eventSuspect
	}
	gs.config.logger.Log(ev, "instance", mb.Instance, "domain", mb.Domain, "peer", mb.Peer,
		"status", mb.Status, "boot", uint64(mb.Boot), "incarnation", mb.Incarnation)
}

// viewDue reports whether it is time for a new view. Building one takes time in proportion to the members, and while many
// members change at once each view would be followed at once by the next.
func (gs *Gossiper) viewDue() bool {
	interval := minHintViewInterval
	if gs.core.Urgent() {
		interval = max(minViewInterval, time.Duration(len(gs.view.Load().members))*minViewIntervalPerMember)
	}
	return time.Since(gs.viewBuiltAt) >= interval
}

// publishChanges publishes new rumors and, when one is due, a new view, and calls the subscribers with it.
func (gs *Gossiper) publishChanges() {
	rumors := gs.core.RumorsChanged()
	if rumors {
		gs.rumors.Store(newRumorList(gs.core.Rumors(""), time.Now()))
	}
	views := gs.core.Changed() && gs.viewDue()
	if !views && !rumors {
		return
	}
	gs.mu.Lock()
	subscribers := gs.subscribers
	close(gs.changed)
	gs.changed = make(chan struct{})
	if views {
		gs.view.Store(gs.core.View())
		gs.viewBuiltAt = time.Now()
		gs.logDomains(gs.view.Load())
	}
	gs.mu.Unlock()
	if !views {
		return
	}
	for _, fn := range subscribers {
		fn(gs.view.Load())
	}
}

// logDomains logs which failure domains became unreachable or reachable again.
func (gs *Gossiper) logDomains(vw *View) {
	for _, dm := range vw.Domains() {
		was, known := gs.counters.reachable[dm.Name]
		gs.counters.reachable[dm.Name] = dm.Reachable
		switch {
		case was && !dm.Reachable, !known && !dm.Reachable:
			gs.config.logger.Log(eventDomainCut, "domain", dm.Name)
		case known && !was && dm.Reachable:
			gs.config.logger.Log(eventDomainBack, "domain", dm.Name)
		}
	}
}
