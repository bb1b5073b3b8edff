package replicator

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	senderRingSize = 4096                 // messages
	senderBatch    = 512                  // messages in one request
	senderBytes    = 1 << 20              // approximate bytes of entries in one request
	senderIdle     = time.Minute          // time without messages after which a sender ends
	senderLinger   = 5 * time.Millisecond // delay of heartbeats and their responses, so that they share a request with others
)

const maxLastAddresses = 4096 // members

// sender delivers messages to one address, with one request at a time.
type sender struct {
	host    *Host
	addr    netip.AddrPort
	client  replicatorpb.ReplicatorClient
	ring    *ringer.Ring[envelope]
	tb      tomb.Tomb
	urgent  atomic.Bool // the ring holds a message that must not be delayed
	failing bool
}

// send queues messages. A full queue drops its oldest message, as the consensus algorithm tolerates losses.
func (hs *Host) send(group string, mss []Message) {
	if len(mss) == 0 {
		return
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if hs.stopped && hs.senders == nil {
		return
	}
	for _, ms := range mss {
		sd := hs.senderTo(hs.address(ms.To))
		if !ms.lazy {
			sd.urgent.Store(true)
		}
		if sd.ring.PushEvict(envelope{group: group, message: ms}) {
			hs.meters.dropped.Inc()
		}
	}
}

// address returns the address from which a member last sent, or else that in the configuration.
func (hs *Host) address(mb Member) netip.AddrPort {
	if addr, ok := hs.lastAddresses[mb.ID()]; ok {
		return addr
	}
	return mb.Peer
}

// learnAddress records the address from which a member sends, as it may differ from that in the configuration.
func (hs *Host) learnAddress(from Member) {
	hs.mu.RLock()
	addr, ok := hs.lastAddresses[from.ID()]
	hs.mu.RUnlock()
	if ok && addr == from.Peer || !from.Peer.IsValid() {
		return
	}
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if len(hs.lastAddresses) >= maxLastAddresses {
		clear(hs.lastAddresses) // the addresses of active members are learned again
	}
	hs.lastAddresses[from.ID()] = from.Peer
}

func (hs *Host) senderTo(addr netip.AddrPort) *sender {
	sd, ok := hs.senders[addr]
	if ok {
		return sd
	}
	sd = &sender{host: hs, addr: addr, client: hs.client(addr), ring: ringer.New[envelope](senderRingSize)}
	hs.senders[addr] = sd
	sd.tb.Go(sd.run)
	return sd
}

const maxClients = 1024 // cached

// client returns the cached client for an address. A full cache is cleared.
func (hs *Host) client(addr netip.AddrPort) replicatorpb.ReplicatorClient {
	hs.clientsMu.RLock()
	cl, ok := hs.clients[addr]
	hs.clientsMu.RUnlock()
	if ok {
		return cl
	}
	cl = replicatorpb.NewReplicatorClient(hs.peers, hs.peers.URL(addr))
	hs.clientsMu.Lock()
	defer hs.clientsMu.Unlock()
	if len(hs.clients) >= maxClients {
		clear(hs.clients)
	}
	hs.clients[addr] = cl
	return cl
}

func (hs *Host) stopSenders() {
	hs.mu.Lock()
	open := hs.senders
	hs.senders = nil
	hs.mu.Unlock()
	for _, sd := range open {
		sd.tb.Kill(nil)
	}
	for _, sd := range open {
		_ = sd.tb.Wait() // run returns no error
	}
}

func (sd *sender) run() error {
	idle := time.NewTimer(senderIdle)
	defer idle.Stop()
	var linger <-chan time.Time
	for {
		select {
		case <-sd.tb.Dying():
			if envs := sd.nextBatch(); len(envs) > 0 {
				sd.sendBatch(envs) // they may include a leadership transfer
			}
			return nil
		case <-sd.ring.Ready():
			if !sd.urgent.Load() {
				if linger == nil {
					linger = time.After(senderLinger)
				}
				continue
			}
			linger = nil
			sd.flush()
			idle.Reset(senderIdle)
		case <-linger:
			linger = nil
			sd.flush()
			idle.Reset(senderIdle)
		case <-idle.C:
			if sd.host.retire(sd) {
				return nil
			}
			idle.Reset(senderIdle)
		}
	}
}

// retire removes an idle sender and reports whether it may end.
func (hs *Host) retire(sd *sender) bool {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	if sd.ring.Len() > 0 {
		return false
	}
	delete(hs.senders, sd.addr)
	return true
}

func (sd *sender) flush() {
	for {
		sd.urgent.Store(false)
		envs := sd.nextBatch()
		if len(envs) == 0 {
			return
		}
		sd.sendBatch(envs)
	}
}

func (sd *sender) nextBatch() []envelope {
	var envs []envelope
	for size := 0; len(envs) < senderBatch && size < senderBytes; {
		env, ok := sd.ring.Pop()
		if !ok {
			break
		}
		envs = append(envs, env)
		size += bodySize(env.message.Body)
	}
	return envs
}

func bodySize(bd Body) int {
	switch bd := bd.(type) {
	case AppendRequest:
		size := 0
		for _, en := range bd.Entries {
			size += en.size()
		}
		return size
	case SnapshotRequest:
		return len(bd.Snapshot.Data)
	default:
		return 0
	}
}

// sendBatch makes one request. It isn't retried, as the consensus algorithm sends lost messages again.
func (sd *sender) sendBatch(envs []envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), sd.host.stepTimeout)
	defer cancel()
	_, err := sd.client.Step(ctx, connect.NewRequest(envelopesToWire(envs)))
	if err != nil && !sd.failing {
		sd.host.lg.Log(eventSendFailed, "peer", sd.addr, "error", err)
	}
	sd.failing = err != nil
}
