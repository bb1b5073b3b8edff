package retrier

import "time"

// table is a map of a limited number of entries. It is not safe for concurrent use.
type table[K comparable, V any] struct {
	most      int
	entries   map[K]*entry[V]
	lastSweep time.Duration
}

type entry[V any] struct {
	value    V
	lastUsed time.Duration
}

func newTable[K comparable, V any](most int) table[K, V] {
	return table[K, V]{most: most, entries: map[K]*entry[V]{}}
}

// at returns the value of a key, a zero one if it is new. While the table is full, all new keys share the value of the zero key.
func (tb *table[K, V]) at(key K, now time.Duration) *V {
	en, ok := tb.entries[key]
	if !ok {
		tb.sweep(now)
		if len(tb.entries) >= tb.most {
			var shared K
			key = shared
			en = tb.entries[key]
		}
	}
	if en == nil {
		en = &entry[V]{}
		tb.entries[key] = en
	}
	en.lastUsed = now
	return &en.value
}

// sweep drops the entries of a full table that have not been used for idleTimeout, at most once per ratioSlice.
func (tb *table[K, V]) sweep(now time.Duration) {
	if len(tb.entries) < tb.most || now-tb.lastSweep < ratioSlice {
		return
	}
	tb.lastSweep = now
	for key, en := range tb.entries {
		if now-en.lastUsed > idleTimeout {
			delete(tb.entries, key)
		}
	}
}
