package server

import (
	"fmt"
	"strconv"

	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// bootText formats a boot, the ID of one process start, so that the texts of an instance's boots sort in start order.
func bootText(bt gossiper.Boot) string { return fmt.Sprintf("%020d", uint64(bt)) }

// bootNumber parses the output of bootText. Any other text gives zero, which is older than every boot.
func bootNumber(txt string) uint64 {
	num, err := strconv.ParseUint(txt, 10, 64)
	if err != nil {
		return 0
	}
	return num
}

// shardMember returns the identity of a process in shard groups.
func shardMember(mb gossiper.Member) replicator.Member {
	return replicator.Member{Instance: mb.Instance, Boot: bootText(mb.Boot), Peer: mb.Peer}
}
