// Package prober knows which instances and failure domains a node can reach.
//
// Being unreachable is another matter than failing. A request that finds no connection has run nowhere and costs no upstream
// anything, so that the node needs no patience and no budget to go elsewhere, and there is no sense in trying an unreachable
// upstream because many others are unreachable too.
//
// What requests meet on their connections is the evidence, and all services share it. Probes off the requests' path find out
// when an instance is back.
package prober
