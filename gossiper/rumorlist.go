package gossiper

import "time"

// rumorList holds the rumors that Gossiper.Rumors returns, as of takenAt; it is immutable.
type rumorList struct {
	takenAt time.Time
	rumors  []Rumor
}

func newRumorList(rumors []Rumor, at time.Time) *rumorList {
	return &rumorList{takenAt: at, rumors: rumors}
}

// live returns the rumors of a topic, or of all topics for an empty one, that have not expired, each with the rest of its lifetime.
func (rl *rumorList) live(topic string, now time.Time) []Rumor {
	var out []Rumor
	for _, rm := range rl.rumors {
		rm.TTL -= now.Sub(rl.takenAt)
		if rm.TTL > 0 && (topic == "" || rm.Topic == topic) {
			out = append(out, rm)
		}
	}
	return out
}
