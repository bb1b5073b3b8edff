package registrar

import (
	"cmp"
	"crypto/subtle"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// Contents is what a table can be built from by hand, in tests and tools.
type Contents struct {
	Revision   uint64
	Rows       []Row
	Grants     []KeyGrant
	Placements []Placement
	Controls   []ControlMember
}

// Table is the table and the keys at one revision.
// It never changes once built and is safe for concurrent use; a nil Table has revision 0 and is empty.
// What its methods return is shared: callers must not change it.
type Table struct {
	all        *contents
	rows       []*Row
	grants     []*KeyGrant
	placements []Placement
	controls   []ControlMember

	workspaces map[gypsumhoist.Workspace]*routes
	bounds     map[gypsumhoist.Workspace]*Row // of AnyRoute
	open       *routes
	keys       map[KeyHash]*KeyGrant
}

// NewTable builds a table. Of two things of one name the later one counts.
// The contents are taken as checked.
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
	return buildTable(cs)
}

// buildTable indexes contents that nobody changes any more.
func buildTable(cs *contents) *Table {
	tb := &Table{
		all:        cs,
		rows:       make([]*Row, 0, len(cs.rows)),
		grants:     make([]*KeyGrant, 0, len(cs.grants)),
		workspaces: map[gypsumhoist.Workspace]*routes{},
		bounds:     map[gypsumhoist.Workspace]*Row{},
		open:       newRoutes(),
		keys:       make(map[KeyHash]*KeyGrant, len(cs.grants)),
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
		tb.bounds[rw.Workspace] = rw
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

// Revision returns the revision of the table; every accepted change raises it by one. Zero means no table.
func (tb *Table) Revision() uint64 {
	if tb == nil {
		return 0
	}
	return tb.all.revision
}

// Lookup returns the row of the workspace, or else of AnyWorkspace, with the longest route that is a prefix
// of host and path on segment borders; a row that names the host goes before one that names none.
// The path is taken literally: dot segments and empty segments are the caller's to refuse or clean before.
// It doesn't allocate, and its time grows with the segments of the path, not with the rows.
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

// LookupOpen is Lookup over the rows of all workspaces that are open to callers without a key.
func (tb *Table) LookupOpen(host, path string) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	return tb.open.find(host, path)
}

// Bounds returns the workspace's row of AnyRoute, which bounds all its routes together.
func (tb *Table) Bounds(ws gypsumhoist.Workspace) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	rw := tb.bounds[ws]
	return rw, rw != nil
}

// Authenticate returns what a key stands for; the second result is false for an unknown or withdrawn key.
// It doesn't allocate. Its time depends on no stored key: a map finds the key's SHA-256,
// which nobody can steer towards a stored one, and the hashes are then compared in constant time.
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

// Granted reports whether a key of that id is granted now. No id is granted by a nil Table.
func (tb *Table) Granted(id KeyID) bool {
	return tb != nil && tb.all.grants[id] != nil
}

// Rows returns all rows in order of workspace and route.
func (tb *Table) Rows() []*Row {
	if tb == nil {
		return nil
	}
	return tb.rows
}

// Row returns the row of exactly that workspace and route.
func (tb *Table) Row(ws gypsumhoist.Workspace, route string) (*Row, bool) {
	if tb == nil {
		return nil, false
	}
	re := tb.all.rows[rowName{ws, route}]
	if re == nil {
		return nil, false
	}
	return &re.row, true
}

// Grants returns all granted keys in order of workspace and id.
func (tb *Table) Grants() []*KeyGrant {
	if tb == nil {
		return nil
	}
	return tb.grants
}

// Placements returns the newest generation of every shard group in order of domain and shard.
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
	pe := tb.all.placements[placementName{dm, shard}]
	if pe == nil {
		return Placement{}, false
	}
	return pe.placement, true
}

// Controls returns the control instances in order of their names.
func (tb *Table) Controls() []ControlMember {
	if tb == nil {
		return nil
	}
	return tb.controls
}

// domains returns the failure domains that the table names, in any order.
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
