package registrar

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

func (re *rowEntry) message() *registrarpb.Row {
	ms := rowMessage(re.row)
	ms.Revision, ms.RefuseSince = re.revision, re.refuseSince
	return ms
}

func rowMessage(rw Row) *registrarpb.Row {
	return &registrarpb.Row{
		Workspace:    string(rw.Workspace),
		Route:        rw.Route,
		Service:      string(rw.Service),
		Open:         rw.Open,
		Importance:   int32(rw.Importance),
		Weight:       int32(rw.Weight),
		Rate:         int64(rw.Rate),
		Burst:        rw.Burst,
		Retries:      int32(rw.Retries),
		RetryPercent: int32(rw.RetryPercent),
		Idempotent:   uint32(rw.Idempotent),
		DeadlineNs:   int64(rw.Deadline),
		Objective:    int32(rw.Objective),
		CutOff:       uint32(rw.CutOff),
		Number:       rw.Number,
		LatencyNs:    int64(rw.TargetLatency),
		Attempts:     int32(rw.Attempts),
		Split:        splitMessages(rw.Split),
		ColdRate:     int64(rw.ColdRate),
	}
}

func splitMessages(sp Split) []*registrarpb.Part {
	var out []*registrarpb.Part
	for _, pt := range sp.Parts() {
		out = append(out, &registrarpb.Part{Service: string(pt.Service), Weight: int32(pt.Weight)})
	}
	return out
}

func splitFromMessages(ms []*registrarpb.Part) Split {
	var parts []Part
	for _, pt := range ms {
		parts = append(parts, Part{Service: gypsumhoist.Service(pt.GetService()), Weight: int(pt.GetWeight())})
	}
	return NewSplit(parts...)
}

// rowFromMessage returns the row of a message, or an error if Row.Check refuses it.
func rowFromMessage(ms *registrarpb.Row) (*rowEntry, error) {
	if ms.GetIdempotent() > math.MaxUint8 || ms.GetCutOff() > math.MaxUint8 {
		return nil, fmt.Errorf("row %q has a kind that is unknown here", ms.GetWorkspace()+" "+ms.GetRoute())
	}
	rw := Row{
		Workspace:    gypsumhoist.Workspace(ms.GetWorkspace()),
		Route:        ms.GetRoute(),
		Service:      gypsumhoist.Service(ms.GetService()),
		Open:         ms.GetOpen(),
		Importance:   gypsumhoist.Importance(ms.GetImportance()),
		Weight:       int(ms.GetWeight()),
		Rate:         Rate(ms.GetRate()),
		Burst:        ms.GetBurst(),
		Retries:      int(ms.GetRetries()),
		RetryPercent: int(ms.GetRetryPercent()),
		Idempotent:   Idempotence(ms.GetIdempotent()),
		Deadline:     time.Duration(ms.GetDeadlineNs()),
		Objective:    int(ms.GetObjective()),
		CutOff:       CutOff(ms.GetCutOff()),
		Number:       ms.GetNumber(),

		TargetLatency: time.Duration(ms.GetLatencyNs()),
		Attempts:      int(ms.GetAttempts()),
		Split:         splitFromMessages(ms.GetSplit()),
		ColdRate:      Rate(ms.GetColdRate()),
	}
	if err := rw.Check(); err != nil {
		return nil, err
	}
	return &rowEntry{row: rw, revision: ms.GetRevision(), refuseSince: ms.GetRefuseSince()}, nil
}

func (ge *grantEntry) message() *registrarpb.KeyGrant {
	return &registrarpb.KeyGrant{
		Workspace: string(ge.grant.Workspace),
		KeyId:     string(ge.grant.KeyID),
		Hash:      ge.grant.Hash[:],
		GrantedNs: ge.grant.Granted.UnixNano(),
		Revision:  ge.revision,
	}
}

func grantFromMessage(ms *registrarpb.KeyGrant) (*grantEntry, error) {
	gr := KeyGrant{
		Grant:   Grant{Workspace: gypsumhoist.Workspace(ms.GetWorkspace()), KeyID: KeyID(ms.GetKeyId())},
		Granted: time.Unix(0, ms.GetGrantedNs()).UTC(),
	}
	if err := gr.check(ms.GetHash()); err != nil {
		return nil, err
	}
	gr.Hash = KeyHash(ms.GetHash())
	return &grantEntry{grant: gr, revision: ms.GetRevision()}, nil
}

func (pe *placementEntry) message() *registrarpb.Placement {
	ms := placementMessage(pe.placement)
	ms.Revision = pe.revision
	return ms
}

func placementMessage(pl Placement) *registrarpb.Placement {
	ms := &registrarpb.Placement{
		Domain:     string(pl.Domain),
		Shard:      pl.Shard,
		Generation: pl.Generation,
		FormedNs:   pl.FormedAt.UnixNano(),
	}
	for _, sm := range pl.Members {
		ms.Members = append(ms.Members, &registrarpb.ShardMember{
			Instance: string(sm.Instance), Boot: sm.Boot, Peer: sm.Peer.String(),
		})
	}
	return ms
}

func placementFromMessage(ms *registrarpb.Placement) (*placementEntry, error) {
	pl := Placement{
		Domain:     gypsumhoist.FailureDomain(ms.GetDomain()),
		Shard:      ms.GetShard(),
		Generation: ms.GetGeneration(),
		FormedAt:   time.Unix(0, ms.GetFormedNs()).UTC(),
	}
	for _, mm := range ms.GetMembers() {
		peer, err := netip.ParseAddrPort(mm.GetPeer())
		if err != nil {
			return nil, fmt.Errorf("shard member %q: %w", mm.GetInstance(), err)
		}
		pl.Members = append(pl.Members, ShardMember{
			Instance: gypsumhoist.Instance(mm.GetInstance()), Boot: mm.GetBoot(), Peer: peer,
		})
	}
	return &placementEntry{placement: pl, revision: ms.GetRevision()}, nil
}

func (ce *controlEntry) message() *registrarpb.ControlMember {
	ms := controlMessage(ce.member)
	ms.Revision = ce.revision
	return ms
}

func controlMessage(cm ControlMember) *registrarpb.ControlMember {
	return &registrarpb.ControlMember{
		Instance: string(cm.Instance), Domain: string(cm.Domain), Peer: cm.Peer.String(), Voter: cm.Voter,
	}
}

func controlFromMessage(ms *registrarpb.ControlMember) (*controlEntry, error) {
	peer, err := netip.ParseAddrPort(ms.GetPeer())
	if err != nil {
		return nil, fmt.Errorf("control instance %q: %w", ms.GetInstance(), err)
	}
	cm := ControlMember{
		Instance: gypsumhoist.Instance(ms.GetInstance()),
		Domain:   gypsumhoist.FailureDomain(ms.GetDomain()),
		Peer:     peer,
		Voter:    ms.GetVoter(),
	}
	return &controlEntry{member: cm, revision: ms.GetRevision()}, nil
}
