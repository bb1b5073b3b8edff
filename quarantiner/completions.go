package quarantiner

import "time"

// Bounds of the record of recently completed requests.
const (
	completionsMax = 2048
	completionTTL  = 10 * time.Second
)

// bodyKey holds the values that a SuspectID is the hash of.
type bodyKey struct {
	head   Head
	prefix int
	sum    Sum
}

func (rec *record) key() bodyKey { return bodyKey{rec.head, rec.prefix, rec.sum} }

func (fl *flight) key() bodyKey {
	seen, sum := fl.fingerprint.sent()
	return bodyKey{fl.fingerprint.head, seen, sum}
}

// completions records which requests completed recently. Such a request is cleared at once if it is reported
// as a suspect, because it has been seen not to crash an upstream.
type completions struct {
	at   map[bodyKey]time.Duration
	ring [completionsMax]bodyKey
	next int
}

func newCompletions() completions {
	return completions{at: make(map[bodyKey]time.Duration, completionsMax)}
}

func (cm *completions) add(now time.Duration, key bodyKey) {
	if _, known := cm.at[key]; !known {
		delete(cm.at, cm.ring[cm.next])
		cm.ring[cm.next] = key
		cm.next = (cm.next + 1) % completionsMax
	}
	cm.at[key] = now
}

func (cm *completions) has(now time.Duration, key bodyKey) bool {
	at, known := cm.at[key]
	return known && now-at < completionTTL
}
