// Package replicator keeps a state machine identical on a few instances by means of a replicated log in the
// manner of Raft, with a leader that holds a lease.
//
// Core is the consensus algorithm, without goroutines, clocks or I/O. Group runs one Core with its journal and
// its state machine. Host connects the groups of one process to those of other processes.
// docs/design/replicator.md gives the reasons for the design.
package replicator
