package server

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// groupsPath is the peer port's path for the shard groups that an instance leads.
const groupsPath = "/gypsumhoist/groups"

// GroupStatus is the state of a shard group, as reported by its leader.
type GroupStatus struct {
	Domain     gypsumhoist.FailureDomain `json:"failure_domain"`
	Shard      int                       `json:"shard"`
	Generation uint64                    `json:"generation"`
	Leader     gypsumhoist.Instance      `json:"leader"`
	Voters     []gypsumhoist.Instance    `json:"voters"`
	Missing    []gypsumhoist.Instance    `json:"missing,omitempty"`
	// Warning says which loss of voters the group would not survive; empty when it survives the loss of two.
	Warning string `json:"warning,omitempty"`
}

// RowWarning lists warnings about a row's rate and burst.
type RowWarning struct {
	Workspace gypsumhoist.Workspace `json:"workspace"`
	Route     string                `json:"route"`
	Warnings  []string              `json:"warnings"`
}

// DomainGroups counts the shard groups of a failure domain: those whose leader responded and those that the table places there.
type DomainGroups struct {
	Domain gypsumhoist.FailureDomain `json:"failure_domain"`
	Led    int                       `json:"led"`
	Placed int                       `json:"placed"`
}

// ShardStatus is the response of /status/shards: the shard groups that keep rates and claims, and warnings about rows with tight limits.
type ShardStatus struct {
	Domains []DomainGroups `json:"failure_domains"`
	Groups  []GroupStatus  `json:"groups"`
	Rows    []RowWarning   `json:"rows"`
	// Silent are the instances that gave no response; groups that they lead are missing.
	Silent []gypsumhoist.Instance `json:"silent,omitempty"`
}

func (sv *Server) localGroups() []GroupStatus {
	out := []GroupStatus{}
	if sv.node == nil || sv.node.shards == nil {
		return out
	}
	for _, gs := range sv.node.shards.sharder.Status() {
		if gs.Role != replicator.RoleLeader {
			continue
		}
		out = append(out, GroupStatus{
			Domain: gs.Key.Domain, Shard: gs.Key.Shard, Generation: gs.Generation, Leader: sv.settings.Instance,
			Voters: instancesOf(gs.Voters), Missing: instancesOf(gs.Unresponsive), Warning: gs.Warning,
		})
	}
	return out
}

func instancesOf(mbs []replicator.Member) []gypsumhoist.Instance {
	var out []gypsumhoist.Instance
	for _, mb := range mbs {
		out = append(out, mb.Instance)
	}
	return out
}

// serveLocalGroups returns the groups that this instance leads to another instance.
func (sv *Server) serveLocalGroups(wr http.ResponseWriter, _ *http.Request) {
	writeJSON(wr, http.StatusOK, sv.localGroups())
}

// serveShards returns the shard groups that have a leader among the known instances to an operator.
func (sv *Server) serveShards(wr http.ResponseWriter, req *http.Request) {
	others := gather[[]GroupStatus](req.Context(), sv, groupsPath)
	groups := sv.localGroups()
	for _, list := range others.responses {
		groups = append(groups, list...)
	}
	writeJSON(wr, http.StatusOK, ShardStatus{
		Domains: sv.domainGroups(groups), Groups: newestGroups(groups), Rows: sv.rowWarnings(), Silent: others.silent,
	})
}

// newestGroups sorts groups and keeps the newest generation of each, as the leader of an older one
// may not know yet that it was replaced.
func newestGroups(groups []GroupStatus) []GroupStatus {
	slices.SortFunc(groups, func(ga, gb GroupStatus) int {
		return cmp.Or(cmp.Compare(ga.Domain, gb.Domain), cmp.Compare(ga.Shard, gb.Shard), cmp.Compare(gb.Generation, ga.Generation))
	})
	return slices.CompactFunc(groups, func(ga, gb GroupStatus) bool { return ga.Domain == gb.Domain && ga.Shard == gb.Shard })
}

func (sv *Server) domainGroups(groups []GroupStatus) []DomainGroups {
	tb := sv.distributor.Holder().Current()
	out := []DomainGroups{}
	for _, fd := range domainsOf(tb) {
		dg := DomainGroups{Domain: fd}
		for _, pl := range tb.Placements() {
			if pl.Domain == fd {
				dg.Placed++
			}
		}
		for _, gs := range newestGroups(slices.Clone(groups)) {
			if gs.Domain == fd {
				dg.Led++
			}
		}
		out = append(out, dg)
	}
	return out
}

func (sv *Server) rowWarnings() []RowWarning {
	tb := sv.distributor.Holder().Current()
	domains := domainsOf(tb)
	out := []RowWarning{}
	for _, rw := range rateLimitedRows(tb) {
		if wns := limiter.Warnings(rw, domains); len(wns) > 0 {
			out = append(out, RowWarning{Workspace: rw.Workspace, Route: rw.Route, Warnings: wns})
		}
	}
	return out
}
