// Package replicatorpb holds the messages between members of replicated groups, generated from replicator.proto.
package replicatorpb
