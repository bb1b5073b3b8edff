package quarantiner

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of permits.
const (
	permitTTLMax = 10 * time.Second // a permit expires after at most this time
	settlingTime = permitTTLMax     // how long permits granted by a departed arbiter may still be held
	permitsMax   = 4096
)

// Member is one node of the service, as a holder or arbiter of permits.
type Member struct {
	Process Process
	// Peer is the address of the node's peer port.
	Peer netip.AddrPort
}

// members is this node's view of its service, which determines the arbiter of each head.
// The arbiter is chosen by rendezvous hashing over process and head. A departed member is still
// considered for settlingTime, because permits that it granted may still be held.
type members struct {
	present  map[Process]Member
	departed map[Process]time.Duration // when each left the view
	// arbiterFrom is when this node may first act as arbiter; permits granted before its start may be held until then.
	arbiterFrom time.Duration
}

func newMembers() members {
	return members{present: map[Process]Member{}, departed: map[Process]time.Duration{}}
}

func (ms *members) set(now time.Duration, list []Member) {
	present := make(map[Process]Member, len(list))
	for _, mb := range list {
		present[mb.Process] = mb
		delete(ms.departed, mb.Process)
	}
	for pc := range ms.present {
		if _, stays := present[pc]; !stays {
			ms.departed[pc] = now
		}
	}
	for pc, at := range ms.departed {
		if now-at >= settlingTime {
			delete(ms.departed, pc)
		}
	}
	ms.present = present
}

// arbiter returns the member that grants permits for a head. It returns false while a departed member
// would be chosen, or the view is empty.
func (ms *members) arbiter(now time.Duration, head Head) (Member, bool) {
	var best Process
	var bestScore uint64
	found := false
	consider := func(pc Process) {
		score := rendezvousScore(pc, head)
		if !found || score > bestScore || score == bestScore && compareProcesses(pc, best) > 0 {
			best, bestScore, found = pc, score, true
		}
	}
	for pc := range ms.present {
		consider(pc)
	}
	for pc, at := range ms.departed {
		if now-at < settlingTime {
			consider(pc)
		}
	}
	mb, present := ms.present[best]
	return mb, found && present
}

func rendezvousScore(pc Process, head Head) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(pc.Instance))
	_, _ = sum.Write(head[:])
	return mix(sum.Sum64() + pc.Boot)
}

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(num uint64) uint64 {
	num ^= num >> 30
	num *= 0xbf58476d1ce4e5b9
	num ^= num >> 27
	num *= 0x94d049bb133111eb
	return num ^ num>>31
}

// permit allows its holder to run one request with a given head. No other node may run one meanwhile.
type permit struct {
	number   uint64
	holder   Process
	until    time.Duration
	suspects []Suspect
}

// permits holds the permits that this node has granted as arbiter.
type permits struct {
	byHead     map[Head]permit
	lastNumber uint64
}

// grant issues a permit for a head and returns its number, or false while another node holds one or the
// table is full. A node runs one suspect at a time, so if the holder requests a permit again, the response
// or its release was lost; it gets a new permit.
func (ps *permits) grant(now time.Duration, head Head, holder Process, ttl time.Duration, suspects []Suspect) (uint64, bool) {
	if held, ok := ps.byHead[head]; ok && now < held.until && held.holder != holder {
		return 0, false
	}
	if len(ps.byHead) >= permitsMax {
		ps.sweep(now)
	}
	if _, again := ps.byHead[head]; !again && len(ps.byHead) >= permitsMax {
		return 0, false
	}
	ps.lastNumber++
	ttl = max(time.Second, min(ttl, permitTTLMax))
	ps.byHead[head] = permit{number: ps.lastNumber, holder: holder, until: now + ttl, suspects: suspects}
	return ps.lastNumber, true
}

func (ps *permits) release(head Head, number uint64) {
	if ps.byHead[head].number == number {
		delete(ps.byHead, head)
	}
}

func (ps *permits) sweep(now time.Duration) {
	for head, held := range ps.byHead {
		if now >= held.until {
			delete(ps.byHead, head)
		}
	}
}

// revokeHeldBy revokes all permits of a failed instance and returns the deaths that they count as. A permit without suspects, whose
// quarantine was lifted meanwhile, counts as none.
func (ps *permits) revokeHeldBy(now time.Duration, failed gypsumhoist.Instance) []Death {
	var out []Death
	for head, held := range ps.byHead {
		if held.holder.Instance != failed || now >= held.until {
			continue
		}
		if len(held.suspects) > 0 {
			out = append(out, Death{Process: held.holder, Suspects: held.suspects})
		}
		delete(ps.byHead, head)
	}
	slices.SortFunc(out, func(da, db Death) int {
		return cmp.Compare(da.Suspects[0].ID().String(), db.Suspects[0].ID().String())
	})
	return out
}
