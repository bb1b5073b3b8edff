package registrar

import (
	"cmp"
	"crypto/subtle"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// Contents lists the entries of a table, to build one directly, as in tests and tools.
type Contents struct {
	Revision   uint64
	Rows       []Row
	Grants     []KeyGrant
	Placements []Placement
	Controls   []ControlMember
	Evacuated  []gypsumhoist.FailureDomain
}

// Table is the state of all entries at one revision.
// It is immutable and safe for concurrent use; a nil Table has revision 0 and is empty.
// The values that its methods return are shared: callers must not modify them.
type Table struct {
	contents   *contents
	rows       []*Row
	grants     []*KeyGrant
	placements []Placement
	controls   []ControlMember
	evacuated  []gypsumhoist.FailureDomain

	workspaces    map[gypsumhoist.Workspace]*routes
	workspaceRows map[gypsumhoist.Workspace]*Row // AnyRoute rows
	open          *routes
	keys          map[KeyHash]*KeyGrant
}

// NewTable builds a table. Of several entries of one kind with the same name the last one counts.
// The contents are not validated.
func NewTable(ct Contents) *Table {
	cs := newContents()
	cs.revision, cs.floor = ct.Revision, ct.Revision
	for _, rw := range ct.Rows {
		cs.putRow(&rowEntry{row: rw, revision: ct.Revision})
	}
	for _, gr := range ct.Grants {
		cs.putGrant(&grantEntry{grant: gr, revision: ct.Revision})
	}
	for _, pl := range ct.Placements {
		cs.putPlacement(&placementEntry{placement: pl, revision: ct.Revision})
	}
	for _, cm := range ct.Controls {
		cs.putControl(&controlEntry{member: cm, revision: ct.Revision})
	}
	for _, dm := range ct.Evacuated {
		cs.evacuations.put(dm, evacuationEntry{evacuated: true, revision: ct.Revision})
	}
	return buildTable(cs)
}

// buildTable indexes contents, which must not be modified afterwards.
func buildTable(cs *contents) *Table {
	tb := &Table{
		contents:      cs,
		rows:          make([]*Row, 0, len(cs.rows)),
		grants:        make([]*KeyGrant, 0, len(cs.grants)),
		workspaces:    map[gypsumhoist.Workspace]*routes{},
		workspaceRows: map[gypsumhoist.Workspace]*Row{},
		open:          newRoutes(),
		keys:          make(map[KeyHash]*KeyGrant, len(cs.grants)),
		evacuated:     cs.evacuations.evacuatedDomains(),
	}
	for _, re := range cs.rows {
		tb.addRow(&re.row)
	}
	for _, ge := range cs.grants {
		tb.keys[ge.grant.Hash] = &ge.grant
		tb.grants = append(tb.grants, &ge.grant)
	}
	for _, pe := range cs.placements {
		tb.placements = append(tb.placements, pe.placement)
	}
	for _, ce := range cs.controls {
		tb.controls = append(tb.controls, ce.member)
	}
	tb.sort()
	return tb
}

func (tb *Table) addRow(rw *Row) {
	tb.rows = append(tb.rows, rw)
	if rw.Route == AnyRoute {
		tb.workspaceRows[rw.Workspace] = rw
		return
	}
	rs := tb.workspaces[rw.Workspace]
	if rs == nil {
		rs = newRoutes()
		tb.workspaces[rw.Workspace] = rs
	}
	rs.add(rw)
	if rw.Open {
		tb.open.add(rw)
	}
}

func (tb *Table) sort() {
	slices.SortFunc(tb.rows, func(ra, rb *Row) int { return compareRows(*ra, *rb) })
	slices.SortFunc(tb.grants, func(ga, gb *KeyGrant) int {
		return cmp.Or(cmp.Compare(ga.Workspace, gb.Workspace), cmp.Compare(ga.KeyID, gb.KeyID))
	})
	slices.SortFunc(tb.placements, func(pa, pb Placement) int {
		return cmp.Or(cmp.Compare(pa.Domain, pb.Domain), cmp.Compare(pa.Shard, pb.Shard))
	})
	slices.SortFunc(tb.controls, func(ca, cb ControlMember) int { return cmp.Compare(ca.Instance, cb.Instance) })
}

// Revision returns the table's revision. Every accepted change increases it by one; zero means no table.
func (tb *Table) Revision() uint64 {
	if tb == nil {
		return 0
	}
	return tb.contents.revision
}

// Lookup returns the row of the workspace, or else of AnyWorkspace, whose route is the longest prefix of the path
// on segment boundaries; rows that name the host take precedence over rows without a host.
// The path is taken literally: the caller must refuse or clean dot segments and empty segments.
// Lookup doesn't allocate if no row names a host, and its time grows with the segments of the path, not with the number of rows.
func (tb *Table) Lookup(ws gypsumhoist.Workspace, host, path string) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	if rs := tb.workspaces[ws]; rs != nil {
		if rw, ok := rs.find(host, path); ok {
			return rw, true
		}
	}
	rs := tb.workspaces[AnyWorkspace]
	if rs == nil {
		return nil, false
	}
	return rs.find(host, path)
}

// LookupOpen is like Lookup, over the rows of all workspaces that are open to callers without a key.
func (tb *Table) LookupOpen(host, path string) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	return tb.open.find(host, path)
}

// WorkspaceRow returns the AnyRoute row of the workspace, which limits all its routes together.
func (tb *Table) WorkspaceRow(ws gypsumhoist.Workspace) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	rw := tb.workspaceRows[ws]
	return rw, rw != nil
}

// Authenticate returns the grant of a key; the second result is false for an unknown or withdrawn key.
// It doesn't allocate. Its time reveals nothing about stored keys: the map is indexed by the key's SHA-256,
// which an attacker can't steer towards a stored hash, and the hashes are then compared in constant time.
func (tb *Table) Authenticate(key string) (Grant, bool) {
	hash, ok := hashKey(key)
	if !ok || tb == nil {
		return Grant{}, false
	}
	gr := tb.keys[hash]
	if gr == nil || subtle.ConstantTimeCompare(gr.Hash[:], hash[:]) != 1 {
		return Grant{}, false
	}
	return gr.Grant, true
}

// Granted reports whether the table grants a key with the id.
func (tb *Table) Granted(id KeyID) bool {
	return tb != nil && tb.contents.grants[id] != nil
}

// Rows returns all rows, sorted by workspace and route.
func (tb *Table) Rows() []*Row {
	if tb == nil {
		return nil
	}
	return tb.rows
}

// Row returns the row with exactly that workspace and route.
func (tb *Table) Row(ws gypsumhoist.Workspace, route string) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	re := tb.contents.rows[rowName{ws, route}]
	if re == nil {
		return nil, false
	}
	return &re.row, true
}

// Grants returns all granted keys, sorted by workspace and id.
func (tb *Table) Grants() []*KeyGrant {
	if tb == nil {
		return nil
	}
	return tb.grants
}

// Placements returns the newest generation of every shard group, sorted by domain and shard.
func (tb *Table) Placements() []Placement {
	if tb == nil {
		return nil
	}
	return tb.placements
}

// Placement returns the newest generation of one shard group.
func (tb *Table) Placement(dm gypsumhoist.FailureDomain, shard uint32) (Placement, bool) {
	if tb == nil {
		return Placement{}, false
	}
	pe := tb.contents.placements[placementName{dm, shard}]
	if pe == nil {
		return Placement{}, false
	}
	return pe.placement, true
}

// Controls returns the control instances, sorted by name.
func (tb *Table) Controls() []ControlMember {
	if tb == nil {
		return nil
	}
	return tb.controls
}

// domains returns the failure domains of placements and control instances, unsorted and possibly repeated.
func (tb *Table) domains() []gypsumhoist.FailureDomain {
	var list []gypsumhoist.FailureDomain
	for _, pl := range tb.Placements() {
		list = append(list, pl.Domain)
	}
	for _, cm := range tb.Controls() {
		list = append(list, cm.Domain)
	}
	return list
}
