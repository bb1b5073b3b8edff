package gossiper

import (
	"time"
)

// run feeds the core with messages and time.
func (gs *Gossiper) run() error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	gs.handle(event{message: Ticked{}})
	for {
		select {
		case <-gs.tomb.Dying():
			return nil
		case <-gs.ring.Ready():
			gs.drain()
		case <-tick.C:
			gs.handle(event{message: Ticked{}})
		}
		gs.publish()
	}
}

func (gs *Gossiper) drain() {
	for {
		ev, ok := gs.ring.Pop()
		if !ok {
			return
		}
		gs.handle(ev)
	}
}

func (gs *Gossiper) handle(ev event) {
	for _, ac := range gs.core.Handle(time.Now(), ev.message) {
		gs.act(ac, ev)
	}
	if ev.spread != nil {
		gs.parting = append(gs.parting, ev.spread)
	}
	if len(gs.parting) > 0 && gs.core.Spread() {
		for _, ch := range gs.parting {
			close(ch)
		}
		gs.parting = nil
	}
}

func (gs *Gossiper) act(ac Action, ev event) {
	switch ac := ac.(type) {
	case Exchange, Relay:
		gs.launch(ac)
	case Reply:
		ev.reply <- ac.Packet
	case Noticed:
		gs.notice(ac.Member)
	case Duplicated:
		gs.config.logger.Log(eventDuplicate, "instance", ac.Member.Instance, "other_boot", uint64(ac.Member.Boot),
			"other_peer", ac.Member.Peer)
	}
}

func (gs *Gossiper) notice(mb Member) {
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

// due reports whether it is time for a new view. One costs as much as there are members, and when many change at once
// each would be followed by the next.
func (gs *Gossiper) due() bool {
	pause := hintViewPause
	if gs.core.Urgent() {
		pause = max(viewPause, time.Duration(len(gs.view.Load().members))*viewPauseMember)
	}
	return time.Since(gs.shown) >= pause
}

// publish makes changes known to who asked for them.
func (gs *Gossiper) publish() {
	rumors := gs.core.RumorsChanged()
	if rumors {
		gs.rumors.Store(newRumorList(gs.core.Rumors(""), time.Now()))
	}
	views := gs.core.Changed() && gs.due()
	if !views && !rumors {
		return
	}
	gs.mu.Lock()
	subscribers := gs.subscribers
	close(gs.changed)
	gs.changed = make(chan struct{})
	if views {
		gs.view.Store(gs.core.View())
		gs.shown = time.Now()
		gs.reportDomains(gs.view.Load())
	}
	gs.mu.Unlock()
	if !views {
		return
	}
	for _, fn := range subscribers {
		fn(gs.view.Load())
	}
}

// reportDomains logs which failure domains were cut off or came back.
func (gs *Gossiper) reportDomains(now *View) {
	for _, dm := range now.Domains() {
		was, known := gs.counts.reachable[dm.Name]
		gs.counts.reachable[dm.Name] = dm.Reachable
		switch {
		case was && !dm.Reachable, !known && !dm.Reachable:
			gs.config.logger.Log(eventDomainCut, "domain", dm.Name)
		case known && !was && dm.Reachable:
			gs.config.logger.Log(eventDomainBack, "domain", dm.Name)
		}
	}
}
