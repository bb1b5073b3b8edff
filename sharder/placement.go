package sharder

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

const (
	// ShardCount is how many shards each failure domain has.
	ShardCount = 8
	// MaxVoters is the largest number of voters of a group.
	MaxVoters = 5

	groupPrefix = "shard/"
)

// Placement states how a generation of one shard's group was formed. It comes from the table and never changes.
type Placement struct {
	Domain         gypsumhoist.FailureDomain
	Shard          int
	Generation     uint64 // from 1; a new generation starts without the state of the one before
	InitialMembers []replicator.Member
	// FormedAt is when the generation was committed to the table; claims of keys from before that time are lost.
	FormedAt time.Time
}

// Key returns the shard of the placement.
func (pl Placement) Key() Key { return Key{Domain: pl.Domain, Shard: pl.Shard} }

// Group returns the name of the replicated group.
func (pl Placement) Group() string {
	return fmt.Sprintf("%s%s/%d/%d", groupPrefix, pl.Domain, pl.Shard, pl.Generation)
}

// Key identifies one shard of one failure domain.
type Key struct {
	Domain gypsumhoist.FailureDomain
	Shard  int
}

// parseGroupName parses a name in the form of Placement.Group; false means that it is not one.
func parseGroupName(name string) (Key, uint64, bool) {
	parts := strings.Split(strings.TrimPrefix(name, groupPrefix), "/")
	if len(parts) != 3 || !strings.HasPrefix(name, groupPrefix) {
		return Key{}, 0, false
	}
	key := Key{Domain: gypsumhoist.FailureDomain(parts[0])}
	var generation uint64
	if _, err := fmt.Sscanf(parts[1]+" "+parts[2], "%d %d", &key.Shard, &generation); err != nil {
		return Key{}, 0, false
	}
	return key, generation, key.Shard >= 0 && key.Shard < ShardCount
}

// State is the state of a candidate as known from gossip.
type State string

// States of a candidate.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect" // may have failed or be partitioned
	StateLeaving State = "leaving" // keeps working until other instances have replaced it in its groups
	StateLeft    State = "left"    // announced that it left; its process has ended
)

// Candidate is an instance's newest process as known from gossip. It is an immutable value.
type Candidate struct {
	// Member holds the Boot of the process. The boots of one instance must sort as text in the order
	// of their start times, as those of NewBoot do.
	Member replicator.Member
	Domain gypsumhoist.FailureDomain
	State  State
}

// Report is the latest description of a group by its leader. It is spread to all instances as a rumor.
type Report struct {
	Key                Key
	Generation         uint64
	Epoch              uint64 // of the leader's lease; the report with the higher epoch is newer
	ConfigurationIndex uint64 // index of the configuration; grows with each membership change within the generation
	Leader             replicator.Member
	Voters             []replicator.Member
	// ReceivedAt is when this process received the report, by its own clock; it is not sent.
	ReceivedAt time.Time
}

// Newer reports whether the report is newer than another one of the same shard.
func (re Report) Newer(old Report) bool {
	order := cmp.Or(
		cmp.Compare(re.Generation, old.Generation), cmp.Compare(re.Epoch, old.Epoch),
		cmp.Compare(re.ConfigurationIndex, old.ConfigurationIndex),
	)
	return order > 0
}

// NewBoot returns the boot of a process that starts at the given time; boots sort as text by start time.
func NewBoot(start time.Time, random uint64) string {
	return fmt.Sprintf("%016x%08x", start.UnixNano(), uint32(random))
}

// memberMark separates the boot of a process from the log index that makes a later membership of it unique.
const memberMark = "+"

// processBoot returns the boot of the process from the boot of a member.
func processBoot(member string) string {
	boot, _, _ := strings.Cut(member, memberMark)
	return boot
}

// Shard returns the shard of a key; it is the same in every failure domain.
func Shard(key string) int { return int(pairHash("", key) % ShardCount) }

// Home returns the home domain of a key by rendezvous hashing: when domains are added or removed,
// only keys move whose home domain is one of them. Without domains it returns the empty one.
func Home(key string, domains []gypsumhoist.FailureDomain) gypsumhoist.FailureDomain {
	var best gypsumhoist.FailureDomain
	var top uint64
	for _, fd := range domains {
		if sc := pairHash(string(fd), key); best == "" || sc > top || sc == top && fd < best {
			best, top = fd, sc
		}
	}
	return best
}

// pairHash returns the FNV-1a hash of two texts, passed through a finalizer so that every input bit affects all bits.
func pairHash(one, two string) uint64 {
	hs := fnv.New64a()
	_, _ = hs.Write([]byte(one)) // never fails
	_, _ = hs.Write([]byte{0})
	_, _ = hs.Write([]byte(two))
	sum := hs.Sum64()
	sum = (sum ^ sum>>33) * 0xff51afd7ed558ccd
	sum = (sum ^ sum>>33) * 0xc4ceb9fe1a85ec53
	return sum ^ sum>>33
}

// GroupSize returns how many voters a group has in a domain with the given number of instances:
// the largest odd number not above it, up to MaxVoters.
func GroupSize(instances int) int {
	return min(max(instances-1+instances%2, 0), MaxVoters)
}

// byPreference sorts members by their hash with the shard, highest first, which spreads the groups over the domain.
func byPreference(key Key, members []replicator.Member) []replicator.Member {
	name := fmt.Sprintf("%s/%d", key.Domain, key.Shard)
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(ma, mb replicator.Member) int {
		return cmp.Or(
			cmp.Compare(pairHash(name, string(mb.Instance)), pairHash(name, string(ma.Instance))),
			cmp.Compare(ma.Instance, mb.Instance),
		)
	})
	return sorted
}
