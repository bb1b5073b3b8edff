package emulator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/loader"
)

// Ports of the instances of a Fleet. They are the same everywhere, as each instance has its own IP address.
const (
	PortCallers  = 7400
	PortOutbound = 7401
	PortPeers    = 7402
	PortOperator = 7403
	PortUpstream = 9000
)

// Deployment describes a fleet: its failure domains, its services and how many instances run them.
type Deployment struct {
	Domains  []gypsumhoist.FailureDomain
	Services []Service
	// ControlCount is the number of instances with the control role as well, taken from the failure domains in turn.
	ControlCount int
	// CrossDomainDelay is the one-way network delay between two failure domains, CallerDelay that between callers and nodes.
	CrossDomainDelay time.Duration
	CallerDelay      time.Duration
}

// Service describes one service of a Deployment.
type Service struct {
	Name gypsumhoist.Service
	// Upstreams is the number of upstreams in the whole fleet, assigned to the failure domains round-robin.
	Upstreams int
	Slots     int
	// Connections is the number of connections that each upstream announces.
	Connections     int
	MeanServiceTime time.Duration
	// NestedPaths are the paths that the upstream calls through its node, one after the other, for each request.
	NestedPaths []string
}

// InstanceSpec describes one instance of a Fleet: its settings and its upstream.
type InstanceSpec struct {
	Settings loader.Settings
	Service  Service
	// Seed seeds the upstream's random service times.
	Seed uint64
}

// Address returns the instance's IP address.
func (sp InstanceSpec) Address() netip.Addr { return sp.Settings.Listen.Peers.Addr() }

// InstanceSpecs returns the instances of a deployment. Address gives the IP address of the n-th instance of the d-th failure domain.
// Folder is the parent of the data folders of control instances.
func (dp Deployment) InstanceSpecs(address func(domain, number int) netip.Addr, folder string) []InstanceSpec {
	var out []InstanceSpec
	counts := make([]int, len(dp.Domains))
	for _, sv := range dp.Services {
		for num := range sv.Upstreams {
			dm := num % len(dp.Domains)
			counts[dm]++
			name := gypsumhoist.Instance(fmt.Sprintf("%s-%s-%d", dp.Domains[dm], sv.Name, num/len(dp.Domains)+1))
			st := instanceSettings(name, dp.Domains[dm], address(dm, counts[dm]))
			out = append(out, InstanceSpec{Settings: st, Service: sv, Seed: uint64(len(out) + 1)})
		}
	}
	dp.assignControlRoles(out, folder)
	return out
}

// assignControlRoles gives the control role to the first instance of each failure domain in turn, then to the second ones.
func (dp Deployment) assignControlRoles(specs []InstanceSpec, folder string) {
	var founders []loader.Founder
	assigned := map[int]bool{}
	for num := range dp.ControlCount {
		for ix := range specs {
			st := &specs[ix].Settings
			if assigned[ix] || st.FailureDomain != dp.Domains[num%len(dp.Domains)] {
				continue
			}
			assigned[ix] = true
			st.Roles = append(st.Roles, loader.RoleControl)
			st.DataFolder = folder + "/" + string(st.Instance)
			founders = append(founders, loader.Founder{Instance: st.Instance, Peer: st.Listen.Peers})
			break
		}
	}
	for ix := range specs {
		st := &specs[ix].Settings
		if st.Has(loader.RoleControl) {
			st.Control.Founders = founders
		}
		for _, fd := range founders {
			st.Peers.Seeds = append(st.Peers.Seeds, fd.Peer)
		}
	}
}

func instanceSettings(name gypsumhoist.Instance, dm gypsumhoist.FailureDomain, addr netip.Addr) loader.Settings {
	st := loader.Default()
	st.Instance = name
	st.FailureDomain = dm
	st.Roles = []loader.Role{loader.RoleNode}
	st.Listen = loader.Listen{
		Callers:  netip.AddrPortFrom(addr, PortCallers),
		Upstream: netip.AddrPortFrom(addr, PortOutbound),
		Peers:    netip.AddrPortFrom(addr, PortPeers),
		Operator: netip.AddrPortFrom(addr, PortOperator),
	}
	return st
}
