package gossiper

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/gossiper/gossiperpb"
)

const (
	// maxMessageBytes bounds a message; messages from minCompressBytes on are compressed.
	maxMessageBytes  = 1 << 20
	minCompressBytes = 2 << 10
)

// outgoingCall is a call in flight.
type outgoingCall struct {
	gossiper *Gossiper
	action   Action
}

// startCall starts a call, whose outcome is a message to the core.
func (gs *Gossiper) startCall(ac Action) {
	oc := &outgoingCall{gossiper: gs, action: ac}
	if gs.calls.Add(1) > maxCalls {
		gs.calls.Add(-1)
		gs.push(envelope{message: oc.fail()})
		return
	}
	gs.tomb.Go(oc.run)
}

func (oc *outgoingCall) run() error {
	gs := oc.gossiper
	defer gs.calls.Add(-1)
	var msg Message
	switch ac := oc.action.(type) {
	case Exchange:
		msg = oc.exchange(ac)
	case Relay:
		msg = oc.relay(ac)
	}
	gs.push(envelope{message: msg})
	return nil
}

// fail counts a failed call and returns the message for it.
func (oc *outgoingCall) fail() Message {
	oc.gossiper.counters.failed.Inc()
	switch ac := oc.action.(type) {
	case Exchange:
		return Failed{ID: ac.ID}
	case Relay:
		return Failed{ID: ac.ID}
	}
	return Ticked{}
}

func (oc *outgoingCall) exchange(ac Exchange) Message {
	pk, err := oc.gossiper.exchange(ac.To, ac.Packet, ac.Timeout)
	if err != nil {
		return oc.fail()
	}
	return Answered{ID: ac.ID, Packet: pk}
}

func (oc *outgoingCall) relay(ac Relay) Message {
	gs := oc.gossiper
	ctx, cancel := context.WithTimeout(gs.tomb.Context(nil), ac.Timeout)
	defer cancel()
	gs.counters.relays.Inc()
	req := &gossiperpb.RelayRequest{Target: string(ac.Target), Peer: packAddr(ac.TargetPeer)}
	rsp, err := gs.client(ac.To).Relay(ctx, connect.NewRequest(req))
	if err != nil {
		return oc.fail()
	}
	return Relayed{ID: ac.ID, Alive: rsp.Msg.GetAlive()}
}

// exchange sends a packet and returns the answer.
func (gs *Gossiper) exchange(to netip.AddrPort, pk Packet, timeout time.Duration) (Packet, error) {
	ctx, cancel := context.WithTimeout(gs.tomb.Context(nil), timeout)
	defer cancel()
	gs.counters.exchanges.Inc()
	rsp, err := gs.client(to).Exchange(ctx, connect.NewRequest(packPacket(&pk)))
	if err != nil {
		return Packet{}, err
	}
	return unpackPacket(rsp.Msg), nil
}

func (gs *Gossiper) client(to netip.AddrPort) gossiperpb.GossiperClient { return gs.clients.To(to) }

func newClients(peers connector.Peers) *connector.Clients[gossiperpb.GossiperClient] {
	return connector.NewClients(peers, gossiperpb.NewGossiperClient,
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(minCompressBytes))
}

// Handler returns the path prefix and the handler to be served on the peer port.
func (gs *Gossiper) Handler() (path string, h http.Handler) {
	return gossiperpb.NewGossiperHandler(&service{gossiper: gs},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(minCompressBytes))
}

// service handles the calls of other instances.
type service struct {
	gossiper *Gossiper
}

// Exchange implements gossiperpb.GossiperHandler.
func (sv *service) Exchange(ctx context.Context, req *connect.Request[gossiperpb.Packet]) (*connect.Response[gossiperpb.Packet], error) {
	reply := make(chan Packet, 1)
	if !sv.gossiper.push(envelope{message: Received{Packet: unpackPacket(req.Msg)}, reply: reply}) {
		return nil, connect.NewError(connect.CodeResourceExhausted, ErrOverload)
	}
	select {
	case pk := <-reply:
		return connect.NewResponse(packPacket(&pk)), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-sv.gossiper.tomb.Dying():
		return nil, connect.NewError(connect.CodeUnavailable, ErrStopped)
	}
}

// Relay implements gossiperpb.GossiperHandler.
func (sv *service) Relay(ctx context.Context, req *connect.Request[gossiperpb.RelayRequest]) (*connect.Response[gossiperpb.RelayResponse], error) {
	to, ok := unpackAddr(req.Msg.GetPeer())
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("peer is not a valid address with port"))
	}
	gs := sv.gossiper
	known, ok := gs.View().Member(gypsumhoist.Instance(req.Msg.GetTarget()))
	if !ok || known.Peer != to {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("target is not a known member at that address"))
	}
	timeout := ringProbeTimeout
	if until, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(until))
	}
	pk, err := gs.exchange(to, Packet{From: gs.config.self.Instance, Boot: gs.config.self.Boot}, timeout)
	alive := err == nil && string(pk.From) == req.Msg.GetTarget()
	return connect.NewResponse(&gossiperpb.RelayResponse{Alive: alive}), nil
}
