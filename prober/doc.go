// Package prober tracks which instances and failure domains a node can reach.
//
// Unreachable is not the same as failing. A request that finds no connection has not run anywhere and has cost no upstream
// anything, so it can be rerouted at once and without a retry budget. And unlike an ejected upstream, an unreachable one is not
// worth trying just because many others are unreachable too.
//
// The evidence comes from the connections of requests and is shared by all services. Probes outside the path of requests find
// out when an instance can be reached again.
package prober
