// Package allocator keeps rows to rate and burst over the fleet without agreement.
//
// Each failure domain owns an equal part of every rate and burst. One node of the domain, the keeper,
// holds that part as a bucket of tokens and hands them to the nodes as their requests need them, some in advance for a node
// that needs many. The keeper is a choice by name among those that gossip takes for alive. It holds no state that must
// last: a new one begins with an empty bucket, which fills at the rate at once.
//
// A token exists at one place at a time, and its domain's bucket counts it until it is spent, so that the fleet starts
// at most burst + rate * window requests in any window. A node that hears no keeper fills a bucket of its own
// with an equal part of rate and burst; the keeper's bucket fills the slower for each node that it does not hear.
//
// A domain that lacks tokens asks the others for some. A cut-off domain goes on with its own part.
//
// Rows too small for that are kept whole: each domain lends its part to one of them, the row's home, whose keeper has one
// bucket for the fleet (Home), and takes it back when it hears nothing from there.
//
// Keeper and Home are pure; Allocator is its owner, together with the purses of the node.
package allocator
