package gossiper

import (
	"net/netip"
	"slices"
)

// withoutSelf returns the seeds without the member's own address.
func withoutSelf(seeds []netip.AddrPort, self Member) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(seeds), func(ap netip.AddrPort) bool { return ap == self.Peer })
}

// setSeeds replaces the seeds; the records of members are kept.
func (cr *Core) setSeeds(seeds []netip.AddrPort) { cr.seeds = withoutSelf(seeds, cr.self.member) }

// SetSeeds replaces the peer ports that the instance joins by; the known members stay.
func (gs *Gossiper) SetSeeds(seeds []netip.AddrPort) {
	gs.push(envelope{message: SeedsChanged{Seeds: seeds}})
}
