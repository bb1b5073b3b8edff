package gossiper

import (
	"net/netip"
	"slices"
)

// withoutSelf returns the seeds but the member's own address.
func withoutSelf(seeds []netip.AddrPort, self Member) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(seeds), func(ap netip.AddrPort) bool { return ap == self.Peer })
}

// reseed replaces the seeds; what is known of members stays.
func (cr *Core) reseed(seeds []netip.AddrPort) { cr.seeds = withoutSelf(seeds, cr.self.member) }

// SetSeeds replaces the peer ports that are asked to join while few members are known.
func (gs *Gossiper) SetSeeds(seeds []netip.AddrPort) { gs.push(event{message: Reseeded{Seeds: seeds}}) }
