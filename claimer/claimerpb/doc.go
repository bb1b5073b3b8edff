// Package claimerpb holds the messages of the claimer: the commands of a shard group's log,
// the replies to them and the snapshot of a machine.
package claimerpb
