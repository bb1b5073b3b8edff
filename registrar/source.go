package registrar

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// Shape of the tree by which revisions are distributed inside a failure domain.
const (
	// rootsPerDomain is how many instances of a domain pull from control.
	rootsPerDomain = 3
	// treeFanout is how many instances pull from each one that is not control.
	treeFanout = 8
	// Maximum numbers of fallback sources of an instance, by kind.
	peerFallbacksMax    = 4
	foreignFallbacksMax = 3
)

// Source is an instance from which the table may be pulled, and which must confirm revisions.
type Source struct {
	Instance gypsumhoist.Instance
	Domain   gypsumhoist.FailureDomain
	// Boot identifies the process start of the instance; a restart raises it. 0 means unknown.
	Boot uint64
	// Peer is its peer port.
	Peer netip.AddrPort
	// Control is true for instances with the control role, which hold the replicated log.
	Control bool
	// ControlOnly is true for instances without the node role, which have no upstream.
	ControlOnly bool
	// Suspect ranks the source after all others, as it may be down. It must confirm revisions all the same.
	Suspect bool
}

// preferredSources returns the sources from which an instance pulls, the best first.
// Instances with the same list derive the same tree for each domain: the instances of the domain have one common
// order, the first rootsPerDomain pull from control, each other one from the instance at index
// (position - rootsPerDomain) / treeFanout. The rest of the list are fallbacks, chosen by rendezvous hashing.
func preferredSources(self Source, sources []Source) []Source {
	controls := rendezvous(self.Instance, sources, func(sc Source) bool { return sc.Control && sc.Instance != self.Instance })
	foreign := lowestScored(self.Instance, sources, foreignFallbacksMax, func(sc Source) bool {
		return !sc.Control && sc.Domain != self.Domain
	})
	order, position := domainOrder(self, sources)
	peers := lowestScored(self.Instance, order, peerFallbacksMax, func(sc Source) bool { return sc.Instance != self.Instance })
	var list []Source
	if self.Control || position < rootsPerDomain {
		list = interleave(controls, foreign, peers)
	} else {
		roots := rendezvous(self.Instance, order[:rootsPerDomain], func(Source) bool { return true })
		list = append(list, order[(position-rootsPerDomain)/treeFanout], roots[0])
		list = append(list, interleave(peers, controls[:min(len(controls), peerFallbacksMax)], foreign)...)
		list = append(list, roots[1:]...)
		// While others fail, any control instance may be the only one with a quorum in reach.
		list = append(list, controls...)
	}
	return distinctSuspectsLast(list)
}

// domainOrder returns the instances of the domain that are not control in their common order, and the index of self
// in it (-1 for a control instance).
func domainOrder(self Source, sources []Source) ([]Source, int) {
	var order []Source
	for _, sc := range sources {
		if !sc.Control && sc.Domain == self.Domain && sc.Instance != self.Instance {
			order = append(order, sc)
		}
	}
	if !self.Control {
		order = append(order, self)
	}
	seed := gypsumhoist.Instance(self.Domain)
	sortByScore(order, seed)
	return order, slices.IndexFunc(order, func(sc Source) bool { return sc.Instance == self.Instance })
}

// rendezvous returns the wanted sources in the order of their rendezvous hashes with the seed.
func rendezvous(seed gypsumhoist.Instance, sources []Source, wanted func(Source) bool) []Source {
	var list []Source
	for _, sc := range sources {
		if wanted(sc) {
			list = append(list, sc)
		}
	}
	sortByScore(list, seed)
	return list
}

// lowestScored returns the first count sources of rendezvous, without sorting all.
func lowestScored(seed gypsumhoist.Instance, sources []Source, count int, wanted func(Source) bool) []Source {
	type scored struct {
		source Source
		score  uint64
	}
	var best []scored
	for _, sc := range sources {
		if !wanted(sc) {
			continue
		}
		it := scored{sc, score(seed, sc.Instance)}
		at, _ := slices.BinarySearchFunc(best, it, func(sa, sb scored) int {
			return cmp.Or(cmp.Compare(sa.score, sb.score), cmp.Compare(sa.source.Instance, sb.source.Instance))
		})
		if at < count {
			best = slices.Insert(best, at, it)
			best = best[:min(len(best), count)]
		}
	}
	list := make([]Source, len(best))
	for ix, it := range best {
		list[ix] = it.source
	}
	return list
}

func sortByScore(list []Source, seed gypsumhoist.Instance) {
	scores := make(map[gypsumhoist.Instance]uint64, len(list))
	for _, sc := range list {
		scores[sc.Instance] = score(seed, sc.Instance)
	}
	slices.SortFunc(list, func(sa, sb Source) int {
		return cmp.Or(cmp.Compare(scores[sa.Instance], scores[sb.Instance]), cmp.Compare(sa.Instance, sb.Instance))
	})
}

// Constants of the 64 bit FNV-1a hash, and the multiplier of its finisher.
const (
	fnvOffset          = 14695981039346656037
	fnvPrime           = 1099511628211
	finisherMultiplier = 0xff51afd7ed558ccd
)

// score returns the rendezvous hash of a pair: FNV-1a with a finisher, the same in every process.
func score(seed, in gypsumhoist.Instance) uint64 {
	sum := uint64(fnvOffset)
	for ix := range len(seed) {
		sum = (sum ^ uint64(seed[ix])) * fnvPrime
	}
	sum *= fnvPrime // a zero byte between the two
	for ix := range len(in) {
		sum = (sum ^ uint64(in[ix])) * fnvPrime
	}
	sum ^= sum >> 33
	sum *= finisherMultiplier
	return sum ^ sum>>33
}

// interleave merges the lists: two elements of first, then one of each other list, repeated until all are used up.
func interleave(first []Source, others ...[]Source) []Source {
	var list []Source
	for more := true; more; {
		more = false
		count := min(2, len(first))
		list, first = append(list, first[:count]...), first[count:]
		more = more || len(first) > 0
		for ix, ot := range others {
			if len(ot) == 0 {
				continue
			}
			list, others[ix] = append(list, ot[0]), ot[1:]
			more = more || len(others[ix]) > 0
		}
	}
	return list
}

// distinctSuspectsLast keeps the first entry of each instance and moves suspects to the end.
func distinctSuspectsLast(list []Source) []Source {
	seen := map[gypsumhoist.Instance]bool{}
	var trusted, suspects []Source
	for _, sc := range list {
		if seen[sc.Instance] {
			continue
		}
		seen[sc.Instance] = true
		if sc.Suspect {
			suspects = append(suspects, sc)
			continue
		}
		trusted = append(trusted, sc)
	}
	return append(trusted, suspects...)
}
