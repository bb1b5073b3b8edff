package registrar

import (
	"fmt"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// ShardMembersMax is the maximum number of initial members of a shard group.
const ShardMembersMax = 5

func (st *State) grantKey(ms *registrarpb.GrantKey, proposed time.Time) Answer {
	gr := KeyGrant{
		Grant:   Grant{Workspace: gypsumhoist.Workspace(ms.GetWorkspace()), KeyID: KeyID(ms.GetKeyId())},
		Granted: storedTime(proposed),
	}
	if err := gr.check(ms.GetHash()); err != nil {
		return refused("%s", err)
	}
	gr.Hash = KeyHash(ms.GetHash())
	if st.contents.grants[gr.KeyID] != nil {
		return refused("key %s is granted already", gr.KeyID)
	}
	if _, withdrawn := st.contents.tombstones[gr.KeyID.entryName()]; withdrawn {
		return refused("key %s was withdrawn; grant a new one", gr.KeyID)
	}
	st.contents.putGrant(&grantEntry{grant: gr, revision: st.nextRevision()})
	as := accepted(fmt.Sprintf("key %s is granted to workspace %q", gr.KeyID, gr.Workspace))
	as.Grant = gr.Grant
	return as
}

func (st *State) withdrawKey(id KeyID) Answer {
	ge := st.contents.grants[id]
	if ge == nil {
		return refused("there is no key %q; it may be withdrawn already", id)
	}
	st.contents.remove(id.entryName(), tombstone{revision: st.nextRevision()})
	as := accepted(fmt.Sprintf("key %s of workspace %q is withdrawn", id, ge.grant.Workspace))
	as.Grant = ge.grant.Grant
	as.StaleRefusal = st.withdrawalRefusal(ge.grant.Workspace)
	return as
}

func (st *State) setPlacement(ms *registrarpb.Placement, proposed time.Time) Answer {
	pe, err := placementFromMessage(ms)
	if err != nil {
		return refused("%s", err)
	}
	pl := pe.placement
	if !validName(string(pl.Domain)) || len(pl.Members) == 0 || len(pl.Members) > ShardMembersMax {
		return refused("a placement needs a failure domain and 1 to %d members", ShardMembersMax)
	}
	nm := placementName{pl.Domain, pl.Shard}
	var current Placement
	if old := st.contents.placements[nm]; old != nil {
		current = old.placement
	} else if ts, ok := st.contents.tombstones[nm.entryName()]; ok {
		current = Placement{Domain: pl.Domain, Shard: pl.Shard, Generation: ts.number}
	}
	if pl.Generation != current.Generation+1 {
		as := conflict(fmt.Sprintf("shard %d of failure domain %q is at generation %d", pl.Shard, pl.Domain, current.Generation))
		as.Placement = current
		return as
	}
	pl.FormedAt = storedTime(proposed)
	st.contents.putPlacement(&placementEntry{placement: pl, revision: st.nextRevision()})
	as := accepted(fmt.Sprintf("shard %d of failure domain %q has generation %d", pl.Shard, pl.Domain, pl.Generation))
	as.Placement = pl
	return as
}

// dropDomain removes a domain's placements. Tombstones keep their generations, so that none is reused.
func (st *State) dropDomain(fd gypsumhoist.FailureDomain) Answer {
	var names []placementName
	for nm := range st.contents.placements {
		if nm.domain == fd {
			names = append(names, nm)
		}
	}
	if len(names) == 0 {
		return refused("the table names no shard group of failure domain %q", fd)
	}
	revision := st.nextRevision()
	for _, nm := range names {
		generation := st.contents.placements[nm].placement.Generation
		st.contents.remove(nm.entryName(), tombstone{revision: revision, number: generation})
	}
	return accepted(fmt.Sprintf("failure domain %q is dropped, with its %d shard groups", fd, len(names)))
}

func (st *State) setControl(ms *registrarpb.SetControl) Answer {
	in := gypsumhoist.Instance(ms.GetMember().GetInstance())
	old := st.contents.controls[in]
	if ms.GetRemove() {
		if old == nil {
			return refused("there is no control instance %q", in)
		}
		st.contents.remove(controlEntryName(in), tombstone{revision: st.nextRevision()})
		return accepted(fmt.Sprintf("control instance %q is removed", in))
	}
	ce, err := controlFromMessage(ms.GetMember())
	if err != nil {
		return refused("%s", err)
	}
	if !validName(string(in)) {
		return refused("control instance %q is not allowed; allowed: %s", in, nameAllowed)
	}
	if old != nil && old.member == ce.member {
		return accepted(fmt.Sprintf("control instance %q stays as it was", in))
	}
	ce.revision = st.nextRevision()
	st.contents.putControl(ce)
	return accepted(fmt.Sprintf("control instance %q is noted", in))
}

// storedTime returns a time in the form it has after a snapshot is restored: nanoseconds in UTC, without a monotonic clock reading.
func storedTime(tm time.Time) time.Time { return time.Unix(0, tm.UnixNano()).UTC() }
