package claimer

import (
	"context"
	"errors"

	"github.com/gypsumhoist/gypsumhoist"
)

// Group proposes commands to the shard groups of all failure domains.
// Implementations are safe for concurrent use.
type Group interface {
	// Propose runs a command on the machine of a shard and returns its reply.
	// An error for which NotAccepted is true means that the command has not run and never will.
	// After any other error the command may have run or may still run.
	Propose(ctx context.Context, dm gypsumhoist.FailureDomain, shard int, cmd []byte) ([]byte, error)
	// ShardOf returns the shard that keeps a key.
	ShardOf(key string) int
}

// NotAccepted reports whether an error of Group.Propose guarantees that the command never runs.
// That is the case if an error in its chain has a method NotAccepted() bool that returns true.
func NotAccepted(err error) bool {
	var na interface{ NotAccepted() bool }
	return errors.As(err, &na) && na.NotAccepted()
}
