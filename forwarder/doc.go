// Package forwarder carries a call through a node: from the caller to the node of the chosen upstream,
// through that upstream, and the complete answer back.
//
// An answer that can't be passed on completely is aborted on the caller's connection and never ended cleanly.
package forwarder
