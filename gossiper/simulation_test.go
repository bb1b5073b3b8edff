package gossiper_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// world runs cores over a simulated network that loses and cuts; one seed gives one run.
type world struct {
	now    time.Time
	queue  occasions
	serial int
	rand   *rand.Rand
	loss   float64
	cuts   map[[2]int]bool
	places []*place
	byAddr map[netip.AddrPort]*place
	seeds  []netip.AddrPort
	// large leaves out what only small worlds check; sizeOf, when set, measures each packet.
	large  bool
	sizeOf func(*gossiper.Packet) int
	// left holds what each observer has seen leaving, to tell whether it forgets.
	left map[sighting]bool
	bad  []string
}

type sighting struct {
	observer int
	life     int
	instance gypsumhoist.Instance
	boot     gossiper.Boot
}

// place is an address with an instance that may run.
type place struct {
	index  int
	domain gypsumhoist.FailureDomain
	core   *gossiper.Core
	life   int
	// paused is until when the process stands still; what it waits for comes when it goes on.
	paused time.Time
	// sent counts bytes of packets, messages the packets.
	sent, messages int
}

type occasion struct {
	at     time.Time
	serial int
	do     func()
}

type occasions []*occasion

func (oc occasions) Len() int { return len(oc) }
func (oc occasions) Less(ix, jx int) bool {
	if !oc[ix].at.Equal(oc[jx].at) {
		return oc[ix].at.Before(oc[jx].at)
	}
	return oc[ix].serial < oc[jx].serial
}
func (oc occasions) Swap(ix, jx int) { oc[ix], oc[jx] = oc[jx], oc[ix] }
func (oc *occasions) Push(val any)   { *oc = append(*oc, val.(*occasion)) }
func (oc *occasions) Pop() any {
	last := (*oc)[len(*oc)-1]
	*oc = (*oc)[:len(*oc)-1]
	return last
}

func newWorld(seed uint64, size, domains int) *world {
	wd := &world{
		now:  time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		rand: rand.New(rand.NewPCG(seed, 2)),
		cuts: map[[2]int]bool{},
		left: map[sighting]bool{},

		byAddr: map[netip.AddrPort]*place{},
		large:  size > 100,
	}
	for ix := range size {
		pl := &place{index: ix, domain: domainName(ix % domains)}
		wd.places = append(wd.places, pl)
		wd.byAddr[addrOf(ix)] = pl
	}
	for ix := range domains {
		wd.seeds = append(wd.seeds, addrOf(ix))
	}
	for _, pl := range wd.places {
		wd.boot(pl)
	}
	return wd
}

// boot starts a new life of the instance at a place.
func (wd *world) boot(pl *place) {
	pl.life++
	pl.paused = time.Time{}
	life := pl.life
	self := gossiper.Member{
		Instance: gypsumhoist.Instance(fmt.Sprintf("n%d", pl.index)),
		Boot:     gossiper.Boot(wd.now.UnixNano() + int64(pl.index)),
		Domain:   pl.domain,
		Peer:     addrOf(pl.index),
		Roles:    gossiper.RoleNode,
	}
	pl.core = gossiper.NewCore(self, wd.seeds, rand.New(rand.NewPCG(wd.rand.Uint64(), 3)), wd.now)
	wd.tick(pl, life)
}

func (wd *world) tick(pl *place, life int) {
	if pl.core == nil || pl.life != life {
		return
	}
	wd.input(pl, gossiper.Ticked{})
	wd.after(100*time.Millisecond, func() { wd.tick(pl, life) })
}

func (wd *world) crash(pl *place) { pl.core = nil }

func (wd *world) after(d time.Duration, do func()) {
	wd.serial++
	heap.Push(&wd.queue, &occasion{at: wd.now.Add(d), serial: wd.serial, do: do})
}

func (wd *world) advance(d time.Duration) {
	until := wd.now.Add(d)
	for len(wd.queue) > 0 && !wd.queue[0].at.After(until) {
		oc := heap.Pop(&wd.queue).(*occasion)
		wd.now = oc.at
		oc.do()
	}
	wd.now = until
}

// input hands a message to a running core, carries its actions out and returns its reply.
func (wd *world) input(pl *place, msg gossiper.Message) (gossiper.Packet, bool) {
	if pl.core == nil {
		return gossiper.Packet{}, false
	}
	if wd.now.Before(pl.paused) {
		wd.postpone(pl, msg)
		return gossiper.Packet{}, false
	}
	var reply gossiper.Packet
	replied := false
	for _, ac := range pl.core.Handle(wd.now, msg) {
		switch ac := ac.(type) {
		case gossiper.Exchange:
			wd.exchange(pl, ac)
		case gossiper.Relay:
			wd.relay(pl, ac)
		case gossiper.Reply:
			reply, replied = ac.Packet, true
		}
	}
	wd.watch(pl)
	return reply, replied
}

// postpone hands a message to a paused process when it goes on, unless the sender has given up by then.
func (wd *world) postpone(pl *place, msg gossiper.Message) {
	life := pl.life
	if _, ok := msg.(gossiper.Received); ok {
		return
	}
	wd.after(pl.paused.Sub(wd.now), func() {
		if pl.life == life {
			wd.input(pl, msg)
		}
	})
}

// watch notes who is seen leaving, and whether an observer forgets it.
func (wd *world) watch(pl *place) {
	if wd.large || !pl.core.Changed() {
		return
	}
	for _, mb := range pl.core.View().Members() {
		sg := sighting{pl.index, pl.life, mb.Instance, mb.Boot}
		if wd.left[sg] && !mb.Leaving {
			wd.bad = append(wd.bad, fmt.Sprintf("n%d forgot that %s leaves", pl.index, mb.Instance))
		}
		wd.left[sg] = wd.left[sg] || mb.Leaving
	}
}

func (wd *world) placeAt(ap netip.AddrPort) *place {
	return wd.byAddr[ap]
}

// count adds a packet to what a place has sent.
func (wd *world) count(pl *place, pk *gossiper.Packet) {
	if wd.sizeOf != nil {
		pl.sent += wd.sizeOf(pk)
		pl.messages++
	}
}

func (wd *world) lost(from, to *place) bool {
	return wd.cuts[[2]int{from.index, to.index}] || wd.rand.Float64() < wd.loss
}

func (wd *world) delay() time.Duration {
	return time.Duration(1+wd.rand.IntN(3)) * time.Millisecond
}

// ask delivers a packet and calls done with the answer, or not at all when one of the ways loses it.
func (wd *world) ask(from, to *place, pk gossiper.Packet, done func(gossiper.Packet)) {
	wd.count(from, &pk)
	if wd.lost(from, to) {
		return
	}
	wd.after(wd.delay(), func() {
		reply, ok := wd.input(to, gossiper.Received{Packet: pk})
		if ok {
			wd.count(to, &reply)
		}
		if ok && !wd.lost(to, from) {
			wd.after(wd.delay(), func() { done(reply) })
		}
	})
}

func (wd *world) exchange(pl *place, ac gossiper.Exchange) {
	life := pl.life
	ended := false
	end := func(msg gossiper.Message) {
		if !ended && pl.life == life {
			ended = true
			wd.input(pl, msg)
		}
	}
	wd.after(ac.Timeout, func() { end(gossiper.Failed{ID: ac.ID}) })
	if to := wd.placeAt(ac.To); to != nil {
		wd.ask(pl, to, ac.Packet, func(pk gossiper.Packet) { end(gossiper.Answered{ID: ac.ID, Packet: pk}) })
	}
}

func (wd *world) relay(pl *place, ac gossiper.Relay) {
	life := pl.life
	ended := false
	end := func(msg gossiper.Message) {
		if !ended && pl.life == life {
			ended = true
			wd.input(pl, msg)
		}
	}
	wd.after(ac.Timeout, func() { end(gossiper.Failed{ID: ac.ID}) })
	helper, target := wd.placeAt(ac.To), wd.placeAt(ac.TargetPeer)
	if helper == nil || target == nil || helper.core == nil || wd.lost(pl, helper) {
		return
	}
	wd.after(wd.delay(), func() {
		if helper.core == nil {
			return
		}
		self := helper.core.Self()
		wd.ask(helper, target, gossiper.Packet{From: self.Instance, Boot: self.Boot}, func(pk gossiper.Packet) {
			if !wd.lost(helper, pl) {
				end(gossiper.Relayed{ID: ac.ID, Alive: pk.From == ac.Target})
			}
		})
	})
}

// cut sets or ends a cut both ways between two sets of places.
func (wd *world) cut(as, bs []*place, on bool) {
	for _, pa := range as {
		for _, pb := range bs {
			if pa != pb {
				wd.cuts[[2]int{pa.index, pb.index}] = on
				wd.cuts[[2]int{pb.index, pa.index}] = on
			}
		}
	}
}
