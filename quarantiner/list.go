package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

// List returns all suspects with at least one death, the quarantined first.
func (co *Core) List(now time.Duration) []Entry {
	var out []Entry
	for id, rec := range co.records.byID {
		if len(rec.deaths) == 0 || now >= rec.until {
			continue
		}
		en := Entry{ID: id.String(), Request: rec.request, Status: StatusSuspect, Deaths: slices.Clone(rec.deaths), ExpiresIn: rec.until - now}
		if rec.quarantined() {
			en.Status = StatusQuarantined
		}
		out = append(out, en)
	}
	slices.SortFunc(out, func(ea, eb Entry) int {
		return cmp.Or(cmp.Compare(eb.Status, ea.Status), cmp.Compare(ea.ID, eb.ID))
	})
	return out
}

// otherMembers returns the other nodes of the service.
func (co *Core) otherMembers() []Member {
	out := make([]Member, 0, len(co.members.present))
	for pc, mb := range co.members.present {
		if pc != co.self {
			out = append(out, mb)
		}
	}
	return out
}
