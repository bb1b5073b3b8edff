// Package allocator keeps rows to rate and burst by windows: in every window, the fleet starts at most as many requests
// of a row as its rate brings in that time, and its burst.
//
// Each failure domain owns a part of that limit by the number of its nodes. One node of the domain, the keeper, leases
// it out to the nodes by their demand, for a few seconds at a time, so that a request is decided without a message.
// Whoever hears nothing of a keeper falls back to an equal part of the limit. The keeper is a choice by name and holds
// no state that must last: what the nodes report is enough to begin anew.
//
// A domain that lacks allowance borrows what others do not need. A cut-off domain goes on with its own part.
//
// Keeper is pure; Allocator is its owner, together with the meters of the node.
package allocator
