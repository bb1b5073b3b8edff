//go:build standin3

package main

import (
	"fmt"
	"net/http"
	"time"
)

// Prefix of the route that is added, and the path of the requests: its slash after the prefix's last segment is data of the client.
const (
	addedPrefix = routePrefix + "north/"
	dataPath    = routePrefix + "north%2Fharbour"
)

// Times and figures of the case about an added route.
const (
	addedWait  = 5 * time.Second // from the acknowledgement to the first request; configApplyS is 2
	addedCount = 30
)

// addedRoute adds a route below another one, to another service, and sends requests whose path, as it is sent, begins with the prefix of
// the old route only.
func addedRoute(cl *cluster, trouble bool) verdict {
	sm := newMixed(cl, serviceName, serviceName, otherName)
	defer sm.close()
	old := route("non_idempotent", pipedTimeout, 2)
	if err := sm.startAll(document(7, 0, old)); err != nil {
		return notRun("%v", err)
	}
	if trouble {
		added := otherRoute("non_idempotent", pipedTimeout, 2)
		added.prefix = addedPrefix
		if status := put(cl.rec, sm.operatorList, document(10, 7, old, added), time.Now().Add(10*time.Second)); status != http.StatusOK {
			return notRun("the change was answered %d", status)
		}
	}
	time.Sleep(addedWait)
	wrong, ran := 0, 0
	for turn := range addedCount {
		an := send(cl.rec, sm.nodes[turn%len(sm.nodes)], http.MethodPost, routeHost, dataPath, fmt.Sprintf("order %d", turn), pipedTimeout*time.Second)
		ran += sm.runs(an.id)
		wrong += sm.runsAt(otherName, an.id)
	}
	switch {
	case wrong > 0:
		return broken("%d of %d requests for %s ran at %s, which only %s may reach", wrong, addedCount, dataPath, otherName, addedPrefix)
	case ran == 0:
		return notRun("no request reached a back end")
	default:
		return held("all %d requests that ran did so at %s", ran, serviceName)
	}
}

// runsAt returns how often back ends of a service began to run a request.
func (sm *small) runsAt(service, id string) int {
	sum := 0
	for _, be := range sm.backends {
		if be.mc.service != service {
			continue
		}
		be.mu.Lock()
		sum += be.runs[id]
		be.mu.Unlock()
	}
	return sum
}
