package sharder

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// Propose replicates a command in a shard of any failure domain and returns the state machine's result for it.
// It looks for the leader until the context ends, or for 2 s if the context has no deadline.
// The error is a *replicator.ErrNoLeader if the command definitely was not accepted and never will be, and a
// *replicator.ErrUnknownOutcome if it may have been accepted.
func (sh *Sharder) Propose(ctx context.Context, fd gypsumhoist.FailureDomain, shard int, command []byte) ([]byte, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
	}
	key := Key{Domain: fd, Shard: shard}
	for {
		answer, err := sh.tryPropose(ctx, key, command)
		var nl *replicator.ErrNoLeader
		if !errors.As(err, &nl) {
			return answer, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(proposeRetryInterval):
		}
	}
}

// tryPropose sends the command once to each address that may know the leader, and follows the leader hints in refusals.
func (sh *Sharder) tryPropose(ctx context.Context, key Key, command []byte) ([]byte, error) {
	pl, ok := (*sh.placements.Load())[key]
	if !ok {
		return nil, &replicator.ErrNoLeader{Group: groupPrefix + string(key.Domain), Detail: "shard is not placed"}
	}
	var last error = &replicator.ErrNoLeader{Group: pl.Group(), Detail: "no member is known to be alive"}
	if gr := sh.runner(key); gr != nil && gr.generation == pl.Generation {
		answer, err := gr.group.Propose(ctx, command)
		if !notAccepted(err) {
			return answer, err
		}
		last = err
	}
	tried := map[netip.AddrPort]bool{sh.self.Peer: true}
	queue := sh.leaderAddresses(key, pl)
	for len(queue) > 0 && ctx.Err() == nil {
		addr := queue[0]
		queue = queue[1:]
		if tried[addr] {
			continue
		}
		tried[addr] = true
		answer, err := sh.host.ProposeAt(ctx, addr, pl.Group(), command)
		if !notAccepted(err) {
			return answer, err
		}
		last = err
		queue = append(leaderHint(err), queue...)
	}
	return nil, last
}

// notAccepted reports whether the error means that the command definitely was not accepted, so that it is safe to send it elsewhere.
func notAccepted(err error) bool {
	var nl *replicator.ErrNoLeader
	return errors.As(err, &nl)
}

// leaderHint returns the leader's address that a refusal names, if any.
func leaderHint(err error) []netip.AddrPort {
	var nl *replicator.ErrNoLeader
	if errors.As(err, &nl) && nl.Leader.Peer.IsValid() {
		return []netip.AddrPort{nl.Leader.Peer}
	}
	return nil
}

// leaderAddresses lists the addresses that may know a shard's leader, the most likely first. It holds only
// instances that are alive according to gossip, as one that does not answer would use up the whole deadline.
func (sh *Sharder) leaderAddresses(key Key, pl Placement) []netip.AddrPort {
	var likely []replicator.Member
	if mb, ok := sh.leader(key); ok {
		likely = append(likely, mb)
	}
	if re, ok := (*sh.reports.Load())[key]; ok && re.Generation == pl.Generation {
		likely = append(likely, re.Voters...)
	}
	likely = append(likely, pl.InitialMembers...)
	alive := byPreference(key, aliveMembers(key.Domain, *sh.candidates.Load()))
	var addrs []netip.AddrPort
	for _, mb := range likely {
		for _, ca := range alive {
			if ca.Instance == mb.Instance {
				addrs = append(addrs, ca.Peer)
			}
		}
	}
	for _, ca := range alive {
		addrs = append(addrs, ca.Peer)
	}
	return addrs
}
