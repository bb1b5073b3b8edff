package quarantiner

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/quarantiner/quarantinerpb"
)

// Bounds of messages between nodes.
const (
	noticesMax = 512     // notices in one message
	messageMax = 1 << 20 // bytes
	sendersMax = 32      // messages being sent at once
)

// message is one message to another node: the release of a permit with notices, or notices alone.
type message struct {
	to      Member
	release *Permit
	notices []Notice
	pending *pendingMessages
}

// Handler returns the path and the handler for messages from other nodes on the peer port.
func (qr *Quarantiner) Handler() (string, http.Handler) {
	return quarantinerpb.NewQuarantineServiceHandler(&server{quarantiner: qr}, connect.WithReadMaxBytes(messageMax), connect.WithCompressMinBytes(connector.CompressMinBytes))
}

func (qr *Quarantiner) client(mb Member) quarantinerpb.QuarantineServiceClient {
	return quarantinerpb.NewQuarantineServiceClient(qr.peers, qr.peers.URL(mb.Peer), connect.WithReadMaxBytes(messageMax), connect.WithCompressMinBytes(connector.CompressMinBytes))
}

// requestPermit requests a permit from the arbiter of the request's head.
func (qr *Quarantiner) requestPermit(ctx context.Context, fp *Fingerprint, prefix []byte) (Permit, PermitOutcome) {
	qr.mu.Lock()
	mb, settled := qr.core.Arbiter(qr.now(), fp.Head())
	suspects := qr.core.Suspects(qr.now(), fp.Head(), prefix)
	if settled && mb.Process == qr.self {
		number, outcome := qr.core.RequestPermit(qr.now(), fp.Head(), qr.self, permitTTLMax, suspects)
		qr.mu.Unlock()
		return Permit{Head: fp.Head(), Number: number, Arbiter: mb}, outcome
	}
	qr.mu.Unlock()
	if !settled || qr.peers == nil {
		return Permit{}, PermitSettling
	}
	return qr.requestPermitFrom(ctx, mb, fp.Head(), suspects)
}

func (qr *Quarantiner) requestPermitFrom(ctx context.Context, mb Member, head Head, suspects []Suspect) (Permit, PermitOutcome) {
	bounded, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	rq := &quarantinerpb.AskRequest{
		Instance: string(qr.self.Instance), Boot: qr.self.Boot, Head: head[:], LifeMs: permitTTLMax.Milliseconds(),
	}
	for _, su := range suspects {
		rq.Suspects = append(rq.Suspects, suspectToProto(su))
	}
	rs, err := qr.client(mb).Ask(bounded, connect.NewRequest(rq))
	if err != nil {
		return Permit{}, PermitSettling
	}
	qr.mergeNotices(rs.Msg.GetNotices())
	pm := Permit{Head: head, Number: rs.Msg.GetPermit(), Arbiter: mb}
	switch rs.Msg.GetOutcome() {
	case quarantinerpb.AskResponse_OUTCOME_GRANTED:
		return pm, PermitGranted
	case quarantinerpb.AskResponse_OUTCOME_BUSY:
		return Permit{}, PermitBusy
	default:
		return Permit{}, PermitSettling
	}
}

// mergeNotices merges the notices of a message, up to noticesMax; invalid ones are skipped.
func (qr *Quarantiner) mergeNotices(list []*quarantinerpb.Notice) {
	qr.mu.Lock()
	for _, msg := range list[:min(len(list), noticesMax)] {
		if nt, err := fromProto(msg); err == nil {
			qr.core.Merge(qr.now(), nt, quarantineTTL)
		}
	}
	qr.unlockAndApply(nil)
}

// notify sends notices to other nodes of the service.
func (qr *Quarantiner) notify(others []Member, notices []Notice, pending *pendingMessages) {
	if len(notices) == 0 {
		return
	}
	for _, mb := range others {
		qr.send(message{to: mb, notices: notices}, pending)
	}
}

func (qr *Quarantiner) send(msg message, pending *pendingMessages) {
	if qr.peers == nil {
		return
	}
	pending.add()
	msg.pending = pending
	if !qr.out.Push(msg) {
		pending.finish()
	}
}

// run sends messages, and ticks the core, until Stop.
func (qr *Quarantiner) run() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	sem := make(chan struct{}, sendersMax)
	for {
		select {
		case <-qr.tomb.Dying():
			return nil
		case <-ticker.C:
			qr.tick()
		case <-qr.out.Ready():
			for msg, ok := qr.out.Pop(); ok; msg, ok = qr.out.Pop() {
				select {
				case sem <- struct{}{}:
				case <-qr.tomb.Dying():
					return nil
				}
				qr.tomb.Go((&sender{quarantiner: qr, message: msg, sem: sem}).run)
			}
		}
	}
}

func (qr *Quarantiner) tick() {
	qr.mu.Lock()
	qr.core.Tick(qr.now())
	qr.unlockAndApply(nil)
}

// sender sends one message.
type sender struct {
	quarantiner *Quarantiner
	message     message
	sem         chan struct{}
}

func (se *sender) run() error {
	defer func() { <-se.sem }()
	defer se.message.pending.finish()
	ctx, cancel := context.WithTimeout(se.quarantiner.tomb.Context(context.Background()), messageTimeout)
	defer cancel()
	if err := se.send(ctx); err != nil {
		se.quarantiner.logger.Log(eventNotifyFailed, "instance", se.message.to.Process.Instance, "error", err)
	}
	return nil
}

func (se *sender) send(ctx context.Context) error {
	var notices []*quarantinerpb.Notice
	for _, nt := range se.message.notices {
		notices = append(notices, toProto(nt))
	}
	cl := se.quarantiner.client(se.message.to)
	if pm := se.message.release; pm != nil {
		rq := &quarantinerpb.ReleaseRequest{Head: pm.Head[:], Permit: pm.Number, Notices: notices}
		_, err := cl.Release(ctx, connect.NewRequest(rq))
		return err
	}
	_, err := cl.Tell(ctx, connect.NewRequest(&quarantinerpb.TellRequest{Notices: notices}))
	return err
}

// server handles messages from other nodes.
type server struct {
	quarantiner *Quarantiner
}

// Ask handles a request for a permit to run a suspect.
func (sr *server) Ask(_ context.Context, rq *connect.Request[quarantinerpb.AskRequest]) (*connect.Response[quarantinerpb.AskResponse], error) {
	msg := rq.Msg
	if len(msg.GetHead()) != sumSize || len(msg.GetSuspects()) > recordsPerHead || len(msg.GetInstance()) > nameMax {
		return nil, connect.NewError(connect.CodeInvalidArgument, nil)
	}
	var suspects []Suspect
	for _, sm := range msg.GetSuspects() {
		su, err := suspectFromProto(sm)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		suspects = append(suspects, su)
	}
	qr := sr.quarantiner
	head := Head(msg.GetHead())
	holder := Process{Instance: gypsumhoist.Instance(msg.GetInstance()), Boot: msg.GetBoot()}
	qr.mu.Lock()
	defer qr.mu.Unlock()
	number, outcome := qr.core.RequestPermit(qr.now(), head, holder, time.Duration(msg.GetLifeMs())*time.Millisecond, suspects)
	rs := &quarantinerpb.AskResponse{Outcome: outcomeToProto(outcome), Permit: number}
	for _, nt := range qr.core.NoticesFor(qr.now(), head) {
		rs.Notices = append(rs.Notices, toProto(nt))
	}
	return connect.NewResponse(rs), nil
}

func outcomeToProto(outcome PermitOutcome) quarantinerpb.AskResponse_Outcome {
	switch outcome {
	case PermitGranted:
		return quarantinerpb.AskResponse_OUTCOME_GRANTED
	case PermitBusy:
		return quarantinerpb.AskResponse_OUTCOME_BUSY
	default:
		return quarantinerpb.AskResponse_OUTCOME_SETTLING
	}
}

// Release takes a permit back. The notices, which tell what the holder learned, are merged first.
func (sr *server) Release(_ context.Context, rq *connect.Request[quarantinerpb.ReleaseRequest]) (*connect.Response[quarantinerpb.ReleaseResponse], error) {
	if len(rq.Msg.GetHead()) != sumSize {
		return nil, connect.NewError(connect.CodeInvalidArgument, nil)
	}
	qr := sr.quarantiner
	qr.mergeNotices(rq.Msg.GetNotices())
	qr.mu.Lock()
	defer qr.mu.Unlock()
	qr.core.permits.release(Head(rq.Msg.GetHead()), rq.Msg.GetPermit())
	return connect.NewResponse(&quarantinerpb.ReleaseResponse{}), nil
}

// Tell merges notices that are sent directly, ahead of gossip.
func (sr *server) Tell(_ context.Context, rq *connect.Request[quarantinerpb.TellRequest]) (*connect.Response[quarantinerpb.TellResponse], error) {
	sr.quarantiner.mergeNotices(rq.Msg.GetNotices())
	return connect.NewResponse(&quarantinerpb.TellResponse{}), nil
}
