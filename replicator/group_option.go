package replicator

// GroupOption sets up a Group; see Host.Open.
type GroupOption func(*Group)

// WithInitialMembers sets the initial voters of a new group, including the group's own member. The list must be the same
// on each of them. It is used only if the journal is empty. Without it, a member with an empty journal waits
// until it is added to the group and receives the log from the leader.
func WithInitialMembers(members ...Member) GroupOption {
	return func(gp *Group) { gp.initialMembers = members }
}

// WithJournal sets the journal that persists the member's state; the default is a MemoryJournal.
// The group closes it.
func WithJournal(jn Journal) GroupOption {
	return func(gp *Group) { gp.journal = jn }
}

// WithTimings sets the group's timings; invalid ones are replaced by DefaultTimings.
func WithTimings(tm Timings) GroupOption {
	return func(gp *Group) { gp.timings = tm }
}

// WithSnapshotEvery sets the number of applied entries that a snapshot replaces. The snapshot is delayed until these
// entries have at least as many bytes as the previous snapshot. The default, also for values below one, is 1024.
func WithSnapshotEvery(entries int) GroupOption {
	return func(gp *Group) {
		if entries > 0 {
			gp.snapshotEvery = uint64(entries)
		}
	}
}

// WithSeed sets the seed of the group's random election timeouts.
func WithSeed(seed uint64) GroupOption {
	return func(gp *Group) { gp.seed = seed }
}
