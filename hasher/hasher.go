// Package hasher finishes hashes.
package hasher

// Mix spreads each bit of a hash over the whole word (the finalizer of MurmurHash3), as FNV leaves those of short inputs
// close together. It is safe for concurrent use.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
