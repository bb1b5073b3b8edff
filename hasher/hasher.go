// Package hasher provides 64-bit hashes whose bits are well distributed.
package hasher

import "hash/fnv"

// Name returns a hash of a name that is the same in every process, so that all processes order names alike.
// It is safe for concurrent use.
func Name(name string) uint64 {
	hs := fnv.New64a()
	// Write of a hash never fails.
	_, _ = hs.Write([]byte(name))
	return Mix(hs.Sum64())
}

// Mix spreads each bit of a hash over all bits (the finalizer of MurmurHash3), because FNV hashes of short inputs
// lie close together. It is safe for concurrent use.
func Mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
