package limiter

import (
	"net/netip"
	"time"
)

// Directory provides the leaders and the leases of the shard groups.
// Implementations are safe for concurrent use.
type Directory interface {
	// Leader returns the peer address of the leader of a shard in a failure domain, if it is known.
	Leader(domain string, shard int) (netip.AddrPort, bool)
	// Lease reports whether this process holds the lease of a shard of its own domain now, and its epoch.
	// since is when that lease began, on this process's clock.
	// A lease that is renewed without a gap keeps its epoch and since.
	Lease(shard int) (epoch uint64, since time.Time, held bool)
	// ShardOf returns the shard that holds a key. It is the same in all domains.
	ShardOf(key string) int
}
