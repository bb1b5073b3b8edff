package claimer

import "time"

// Settings configures a machine. All members of all groups must use the same settings,
// because the effect of a replicated command depends on them.
type Settings struct {
	// Retention is how long a claim is kept, and the age at which a UUIDv7 key is refused.
	Retention time.Duration
	// CallerSkew is how far the time of a key may lie in the future.
	CallerSkew time.Duration
	// LeaderSkew is the maximum difference between the clocks of two leaders.
	LeaderSkew time.Duration
	// MaxBytes bounds the memory of one machine. Answers take at most half of it,
	// and each workspace takes at most half of it.
	MaxBytes int
}

// DefaultSettings returns the settings that the fleet uses.
func DefaultSettings() Settings {
	return Settings{
		Retention:  time.Hour,
		CallerSkew: time.Minute,
		LeaderSkew: 5 * time.Second,
		MaxBytes:   8 << 20,
	}
}

const (
	// recordOverhead is the size of a record in bytes apart from its key and its answer.
	recordOverhead = 320
	// maxRunFor is the longest run time that a claim may request.
	maxRunFor = time.Hour
	// tombstoneTTL is how long a released token stays refused, in case a copy of its claim arrives late.
	tombstoneTTL = 2 * time.Minute
	// maxTombstones bounds the tombstones that are kept.
	maxTombstones = 4096
	// runningRetryAfter is how long a caller should wait before it requests the answer of a running request again.
	runningRetryAfter = time.Second
	// fullRetryAfter is how long a caller should wait when there is no room for its claim.
	fullRetryAfter = 5 * time.Second
)
