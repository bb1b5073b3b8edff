//go:build standin3

package main

import (
	"sync"
	"time"
)

// Service and route of the small deployment.
const (
	serviceName = "huvo11a"
	routeHost   = "hulo84.example"
	routePrefix = "/leny950/"
	otherName   = "wuno96b"
	otherPrefix = "/puka111/"
)

// small is a small deployment: three core machines and three nodes with their back ends, one of each in every zone.
type small struct {
	cl       *cluster
	cores    []*machine
	nodes    []*machine
	backends []*backend

	mu     sync.Mutex
	listed []*machine // the core machines in the operator's list
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// newSmall adds the machines of a small deployment whose back ends are of one service.
func newSmall(cl *cluster) *small { return newMixed(cl, serviceName, serviceName, serviceName) }

// newMixed adds the machines of a small deployment whose back ends are of the given services, one in each zone.
func newMixed(cl *cluster, services ...string) *small {
	sm := &small{cl: cl}
	for _, zone := range zones {
		sm.cores = append(sm.cores, cl.add("core", "core-"+zone+"-1", zone, ""))
	}
	for ix, zone := range zones {
		sm.nodes = append(sm.nodes, cl.add("sidecar", "sidecar-"+zone+"-1", zone, services[ix]))
	}
	sm.list(sm.cores...)
	return sm
}

// list sets the operator's list of core machines.
func (sm *small) list(cores ...*machine) {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	sm.listed = cores
}

// operatorList returns the operator's list of core machines.
func (sm *small) operatorList() []*machine {
	sm.mu.Lock()
	defer sm.mu.Unlock()
	return sm.listed
}

// seeds returns the control addresses of machines.
func seeds(machines ...*machine) []string {
	var out []string
	for _, mc := range machines {
		out = append(out, mc.addr(portControl))
	}
	return out
}

// startNodes starts the nodes and their back ends.
func (sm *small) startNodes(work time.Duration) error {
	for _, mc := range sm.nodes {
		if err := mc.start(seeds(sm.cores...), true); err != nil {
			return err
		}
		be, err := startBackend(mc, work)
		if err != nil {
			return err
		}
		sm.backends = append(sm.backends, be)
	}
	return nil
}

// close ends the back ends.
func (sm *small) close() {
	for _, be := range sm.backends {
		be.close()
	}
}

// route returns the route of the small deployment.
func route(kind string, timeout, target float64) routeSpec {
	return routeSpec{
		name: "r-e9itfrz", host: routeHost, prefix: routePrefix, kind: kind, service: serviceName,
		timeout: timeout, target: target, attempts: 2,
	}
}

// otherRoute returns a route to the other service.
func otherRoute(kind string, timeout, target float64) routeSpec {
	rt := route(kind, timeout, target)
	rt.name, rt.prefix, rt.service = "r-m2d54xb", otherPrefix, otherName
	return rt
}

// traffic sends a request to each node in turn until a time, at most one every gap, and returns how many were sent and served.
func (sm *small) traffic(until time.Time, gap time.Duration) (sent, served int) {
	for turn := 0; time.Now().Before(until); turn++ {
		an := send(sm.cl.rec, sm.nodes[turn%len(sm.nodes)], "GET", routeHost, routePrefix+"2f", "", 2*time.Second)
		sent++
		if an.success() {
			served++
		}
		time.Sleep(gap)
	}
	return sent, served
}
