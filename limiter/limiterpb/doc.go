// Package limiterpb holds the messages by which nodes and shard leaders exchange tokens.
package limiterpb
