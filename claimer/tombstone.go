package claimer

import "time"

// tombstone marks a released token. A late copy of its claim is refused until keepUntil.
type tombstone struct {
	token     Token
	keepUntil time.Time
}

// addTombstone keeps a tombstone if there is room for it. Without it, a late copy of the claim may claim the
// key again: then more requests are refused, but none runs twice.
func (ma *Machine) addTombstone(tb tombstone) {
	if _, found := ma.released[tb.token]; found || len(ma.tombstones) >= maxTombstones {
		return
	}
	ma.released[tb.token] = struct{}{}
	ma.tombstones = append(ma.tombstones, tb)
}

func (ma *Machine) expireTombstones() {
	for len(ma.tombstones) > 0 && !ma.tombstones[0].keepUntil.After(ma.now) {
		delete(ma.released, ma.tombstones[0].token)
		ma.tombstones = ma.tombstones[1:]
	}
}
