// Package allocator enforces the rate and burst of rows across the fleet without consensus.
//
// Each failure domain owns an equal share of every rate and burst. One node of the domain, the keeper, holds that share in
// token buckets and grants tokens to the domain's nodes as their requests need them, in advance to nodes with high demand.
// Nodes elect no keeper: each takes the first node, in an order derived from the instance names, that gossip reports alive.
// A keeper has no durable state. A new one starts with empty buckets, which refill at the rate from the start.
//
// A token exists in one place at a time and counts against its domain's bucket until it is spent, so the fleet starts
// at most burst + rate * window requests in any window. A node without contact to a keeper fills a standby bucket of its own
// at an equal share of rate and burst; the keeper's bucket fills more slowly for each node that it does not hear from.
//
// A domain that runs out of tokens requests some from the other domains. A cut-off domain continues with its own share.
//
// Rows whose share would be too small for this are centralized: each domain lends its share of such a row to one domain, the
// row's home, whose keeper holds a single bucket for the fleet (Home). A domain uses its own share again when the home does
// not answer.
//
// Keeper and Home do no I/O and read no clock; Allocator owns them, together with the node's own buckets.
package allocator
