package registrar

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"github.com/gypsumhoist/gypsumhoist"
)

// tombstonesMax is the number of deleted entries that are remembered for partial deltas.
// An instance that is further behind gets a full delta.
const tombstonesMax = 4096

// entryKind is the kind of a table entry. Its numbers are stored in tombstones of deltas and snapshots.
type entryKind uint8

const (
	entryKindRow entryKind = iota + 1
	entryKindGrant
	entryKindPlacement
	entryKindControl
)

// entryName is the name of a table entry of any kind.
type entryName struct {
	kind   entryKind
	name   string
	second string
}

// rowName is the name of a row.
type rowName struct {
	workspace gypsumhoist.Workspace
	route     string
}

// placementName is the name of a shard group.
type placementName struct {
	domain gypsumhoist.FailureDomain
	shard  uint32
}

// Entries of the table, each with the revision of its last change. They are shared and immutable.
type (
	rowEntry struct {
		row      Row
		revision uint64
		// refuseSince is the revision from which the row has been cut_off=refuse without interruption; 0 if it is cut_off=serve.
		refuseSince uint64
	}
	grantEntry struct {
		grant    KeyGrant
		revision uint64
	}
	placementEntry struct {
		placement Placement
		revision  uint64
	}
	controlEntry struct {
		member   ControlMember
		revision uint64
	}
	tombstone struct {
		revision uint64
		number   uint64 // last number of a row or last generation of a placement
	}
)

// contents holds all entries of a table, indexed by name. State changes its own; those of a Table are immutable.
type contents struct {
	revision uint64
	// floor is the lowest revision from which partial deltas are possible, as older tombstones were dropped.
	floor uint64
	// numberFloor is the highest number among deleted rows whose tombstones were dropped.
	numberFloor uint64
	rows        map[rowName]*rowEntry
	grants      map[KeyID]*grantEntry
	placements  map[placementName]*placementEntry
	controls    map[gypsumhoist.Instance]*controlEntry
	tombstones  map[entryName]tombstone
	evacuations evacuations
}

func newContents() *contents {
	return &contents{
		rows:       map[rowName]*rowEntry{},
		grants:     map[KeyID]*grantEntry{},
		placements: map[placementName]*placementEntry{},
		controls:   map[gypsumhoist.Instance]*controlEntry{},
		tombstones: map[entryName]tombstone{},
	}
}

func (cs *contents) clone() *contents {
	return &contents{
		revision:    cs.revision,
		floor:       cs.floor,
		numberFloor: cs.numberFloor,
		rows:        maps.Clone(cs.rows),
		grants:      maps.Clone(cs.grants),
		placements:  maps.Clone(cs.placements),
		controls:    maps.Clone(cs.controls),
		tombstones:  maps.Clone(cs.tombstones),
		evacuations: cs.evacuations.clone(),
	}
}

func (cs *contents) putRow(re *rowEntry) {
	nm := rowName{re.row.Workspace, re.row.Route}
	cs.rows[nm] = re
	delete(cs.tombstones, nm.entryName())
}

func (cs *contents) putGrant(ge *grantEntry) {
	cs.grants[ge.grant.KeyID] = ge
	delete(cs.tombstones, ge.grant.KeyID.entryName())
}

func (cs *contents) putPlacement(pe *placementEntry) {
	nm := placementName{pe.placement.Domain, pe.placement.Shard}
	cs.placements[nm] = pe
	delete(cs.tombstones, nm.entryName())
}

func (cs *contents) putControl(ce *controlEntry) {
	cs.controls[ce.member.Instance] = ce
	delete(cs.tombstones, controlEntryName(ce.member.Instance))
}

// remove deletes an entry and stores its tombstone.
func (cs *contents) remove(en entryName, ts tombstone) {
	switch en.kind {
	case entryKindRow:
		delete(cs.rows, rowName{gypsumhoist.Workspace(en.name), en.second})
	case entryKindGrant:
		delete(cs.grants, KeyID(en.name))
	case entryKindPlacement:
		delete(cs.placements, en.placementName())
	case entryKindControl:
		delete(cs.controls, gypsumhoist.Instance(en.name))
	}
	cs.tombstones[en] = ts
	if len(cs.tombstones) > tombstonesMax {
		cs.pruneTombstones()
	}
}

// pruneTombstones drops the older half of the tombstones and raises the floor accordingly.
// Those of placements stay, as generations must never be reused; there are few of them.
func (cs *contents) pruneTombstones() {
	var revisions []uint64
	for _, ts := range cs.tombstones {
		revisions = append(revisions, ts.revision)
	}
	slices.Sort(revisions)
	cs.floor = max(cs.floor, revisions[len(revisions)/2])
	maps.DeleteFunc(cs.tombstones, func(en entryName, ts tombstone) bool {
		if ts.revision > cs.floor || en.kind == entryKindPlacement {
			return false
		}
		cs.numberFloor = max(cs.numberFloor, ts.number)
		return true
	})
}

// nextNumber returns the number of the row after its next edit.
// A row that is deleted and added again continues the old numbers, so that an edit of the old row conflicts with the new one.
func (cs *contents) nextNumber(nm rowName) uint64 {
	if re := cs.rows[nm]; re != nil {
		return re.row.Number + 1
	}
	if ts, ok := cs.tombstones[nm.entryName()]; ok {
		return ts.number + 1
	}
	return cs.numberFloor + 1
}

// openOwner returns the workspace whose row opens the route to callers without a key.
func (cs *contents) openOwner(route string) (gypsumhoist.Workspace, bool) {
	for nm, re := range cs.rows {
		if nm.route == route && re.row.Open {
			return nm.workspace, true
		}
	}
	return "", false
}

func (rn rowName) entryName() entryName {
	return entryName{kind: entryKindRow, name: string(rn.workspace), second: rn.route}
}

func (id KeyID) entryName() entryName { return entryName{kind: entryKindGrant, name: string(id)} }

func (pn placementName) entryName() entryName {
	return entryName{kind: entryKindPlacement, name: string(pn.domain), second: strconv.FormatUint(uint64(pn.shard), 10)}
}

// placementName is the inverse of placementName.entryName.
func (en entryName) placementName() placementName {
	shard, err := strconv.ParseUint(en.second, 10, 32)
	if err != nil {
		return placementName{}
	}
	return placementName{domain: gypsumhoist.FailureDomain(en.name), shard: uint32(shard)}
}

func controlEntryName(in gypsumhoist.Instance) entryName {
	return entryName{kind: entryKindControl, name: string(in)}
}

func compareRows(ra, rb Row) int {
	return cmp.Or(cmp.Compare(ra.Workspace, rb.Workspace), cmp.Compare(ra.Route, rb.Route))
}
