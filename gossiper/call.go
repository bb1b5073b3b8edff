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
	// messageMax bounds a message, in bytes; larger ones than compressFrom are compressed.
	messageMax   = 1 << 20
	compressFrom = 2 << 10
)

// outgoing is a call on its way.
type outgoing struct {
	gossiper *Gossiper
	action   Action
}

// launch starts a call, which ends as a message to the core.
func (gs *Gossiper) launch(ac Action) {
	og := &outgoing{gossiper: gs, action: ac}
	if gs.calls.Add(1) > callsMax {
		gs.calls.Add(-1)
		gs.push(event{message: og.failed()})
		return
	}
	gs.tomb.Go(og.run)
}

func (og *outgoing) run() error {
	gs := og.gossiper
	defer gs.calls.Add(-1)
	var msg Message
	switch ac := og.action.(type) {
	case Exchange:
		msg = og.exchange(ac)
	case Relay:
		msg = og.relay(ac)
	}
	gs.push(event{message: msg})
	return nil
}

func (og *outgoing) failed() Message {
	og.gossiper.counts.failed.Inc()
	switch ac := og.action.(type) {
	case Exchange:
		return Failed{ID: ac.ID}
	case Relay:
		return Failed{ID: ac.ID}
	}
	return Ticked{}
}

func (og *outgoing) exchange(ac Exchange) Message {
	pk, err := og.gossiper.ask(ac.To, ac.Packet, ac.Timeout)
	if err != nil {
		return og.failed()
	}
	return Answered{ID: ac.ID, Packet: pk}
}

func (og *outgoing) relay(ac Relay) Message {
	gs := og.gossiper
	ctx, cancel := context.WithTimeout(gs.tomb.Context(nil), ac.Timeout)
	defer cancel()
	gs.counts.relays.Inc()
	req := &gossiperpb.RelayRequest{Target: string(ac.Target), Peer: packAddr(ac.TargetPeer)}
	rsp, err := gs.client(ac.To).Relay(ctx, connect.NewRequest(req))
	if err != nil {
		return og.failed()
	}
	return Relayed{ID: ac.ID, Alive: rsp.Msg.GetAlive()}
}

// ask sends a packet and returns the answer.
func (gs *Gossiper) ask(to netip.AddrPort, pk Packet, timeout time.Duration) (Packet, error) {
	ctx, cancel := context.WithTimeout(gs.tomb.Context(nil), timeout)
	defer cancel()
	gs.counts.exchanges.Inc()
	rsp, err := gs.client(to).Exchange(ctx, connect.NewRequest(packPacket(&pk)))
	if err != nil {
		return Packet{}, err
	}
	return unpackPacket(rsp.Msg), nil
}

func (gs *Gossiper) client(to netip.AddrPort) gossiperpb.GossiperClient { return gs.clients.To(to) }

func newClients(peers connector.Peers) *connector.Clients[gossiperpb.GossiperClient] {
	return connector.NewClients(peers, gossiperpb.NewGossiperClient,
		connect.WithReadMaxBytes(messageMax),
		connect.WithSendGzip(),
		connect.WithCompressMinBytes(compressFrom))
}

// Handler returns what the peer port must answer: the path prefix and its handler.
func (gs *Gossiper) Handler() (path string, h http.Handler) {
	return gossiperpb.NewGossiperHandler(&service{gossiper: gs},
		connect.WithReadMaxBytes(messageMax),
		connect.WithCompressMinBytes(compressFrom))
}

// service answers other instances.
type service struct {
	gossiper *Gossiper
}

// Exchange implements gossiperpb.GossiperHandler.
func (sv *service) Exchange(ctx context.Context, req *connect.Request[gossiperpb.Packet]) (*connect.Response[gossiperpb.Packet], error) {
	reply := make(chan Packet, 1)
	if !sv.gossiper.push(event{message: Received{Packet: unpackPacket(req.Msg)}, reply: reply}) {
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
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("peer is no address with port"))
	}
	gs := sv.gossiper
	known, ok := gs.View().Member(gypsumhoist.Instance(req.Msg.GetTarget()))
	if !ok || known.Peer != to {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("target is not known at that address"))
	}
	timeout := ringProbeTimeout
	if until, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(until))
	}
	pk, err := gs.ask(to, Packet{From: gs.config.self.Instance, Boot: gs.config.self.Boot}, timeout)
	alive := err == nil && string(pk.From) == req.Msg.GetTarget()
	return connect.NewResponse(&gossiperpb.RelayResponse{Alive: alive}), nil
}
