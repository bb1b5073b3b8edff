package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

// requestReport triggers a report before the next interval ends.
func (al *Allocator) requestReport() { signal(al.reportNow) }

// signal wakes the receiver of a channel with a buffer of one, unless a signal is already pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// run reports to the keeper at regular intervals, and early when a request lacks a token.
// On the keeper itself it ticks more often, to check for deficits of the domain.
func (al *Allocator) run() error {
	every := reportInterval
	tick := time.NewTicker(every)
	defer tick.Stop()
	reported := time.Time{}
	for {
		select {
		case <-al.tmb.Dying():
			return nil
		case now := <-tick.C:
			if next := al.tickInterval(); next != every {
				every = next
				tick.Reset(every)
			}
			al.lend()
			al.fetch()
			al.reportShare()
			if now.Sub(reported) < reportInterval {
				continue
			}
			al.evictIdleBuckets()
		case <-al.fetchNow:
			al.fetch()
		case <-al.reportNow:
		}
		reported = time.Now()
		al.report()
		select {
		case <-al.tmb.Dying():
			return nil
		case <-time.After(reportPause):
		}
	}
}

// tickInterval returns the interval at which run ticks.
func (al *Allocator) tickInterval() time.Duration {
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.isKeeper() {
		return fetchInterval
	}
	return reportInterval
}

// isKeeper reports whether this node is its domain's keeper. The caller holds the lock.
func (al *Allocator) isKeeper() bool {
	first := al.keepers(al.domain, 1)
	return len(first) > 0 && first[0].Instance == al.self
}

// report sends a report to the first keeper candidate that answers, and applies its grants.
func (al *Allocator) report() {
	sentAt := al.now()
	reports := al.rowReports(sentAt)
	if at := time.Duration(al.lastAnswered.Load()); len(reports) == 0 && at > 0 && sentAt-at < idleReportInterval {
		return
	}
	hadLease := al.hasLease(sentAt)
	for _, mb := range al.keeperCandidates() {
		grants, err := al.reportTo(mb, reports)
		if err != nil {
			al.avoidNode(mb.Instance, err)
			continue
		}
		al.noteKeeper(mb.Instance)
		al.releaseShare(mb.Instance)
		al.applyGrants(sentAt, grants)
		if !hadLease {
			al.log.Log(eventStandbyEnded, "keeper", mb.Instance)
		}
		return
	}
	if hadLease && !al.hasLease(al.now()) {
		al.log.Log(eventStandbyBegan, "nodes", al.nodes.Load())
	}
}

// releaseShare asks the keeper that has the node's share to count it no more if another one has answered a report.
func (al *Allocator) releaseShare(next gypsumhoist.Instance) {
	now := clocker.Now()
	al.mu.Lock()
	rl, ok := al.assignment.beginRelease(now, next)
	at := slices.IndexFunc(al.members[al.domain], func(mb Member) bool { return mb.Instance == rl.holder })
	if !ok || at < 0 || time.Now().Before(al.avoidUntil[rl.holder]) {
		al.mu.Unlock()
		return
	}
	to := al.members[al.domain][at]
	al.mu.Unlock()
	al.tmb.Go(func() error {
		if _, _, err := al.exchangeReport(to, sentShare{known: true}, nil); err != nil {
			// The holder stops by itself.
			return nil
		}
		al.mu.Lock()
		defer al.mu.Unlock()
		al.assignment.released(clocker.Now(), rl)
		return nil
	})
}

func (al *Allocator) rowReports(now time.Duration) []RowReport {
	var out []RowReport
	for ky, nb := range *al.buckets.Load() {
		if rr, active := nb.report(now); active {
			rr.Key = ky
			out = append(out, rr)
		}
	}
	slices.SortFunc(out, func(ra, rb RowReport) int { return compareKeys(ra.Key, rb.Key) })
	return out
}

// applyGrants adds tokens to the buckets and wakes the requests that wait for them.
func (al *Allocator) applyGrants(sentAt time.Duration, grants []Grant) {
	buckets := *al.buckets.Load()
	for _, gr := range grants {
		if nb := buckets[gr.Key]; nb != nil {
			nb.addGrant(gr, sentAt)
		}
	}
	al.lastAnswered.Store(int64(max(sentAt, 1)))
	al.mu.Lock()
	defer al.mu.Unlock()
	close(al.grantsArrived)
	al.grantsArrived = make(chan struct{})
}

// keeperCandidates returns the nodes that may be the domain's keeper, the preferred one first.
func (al *Allocator) keeperCandidates() []Member {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.keepers(al.domain, maxKeeperCandidates)
}

// maxKeeperCandidates is how many nodes are tried, one after the other, until one answers.
const maxKeeperCandidates = 2

// keepers returns the first nodes of a domain in keeper order that are alive and not avoided. The caller holds the lock.
func (al *Allocator) keepers(domain gypsumhoist.FailureDomain, limit int) []Member {
	now := time.Now()
	var out []Member
	for _, mb := range al.members[domain] {
		if len(out) == limit {
			break
		}
		if mb.Alive && !now.Before(al.avoidUntil[mb.Instance]) {
			out = append(out, mb)
		}
	}
	return out
}

// keeperOrder groups members by domain, sorted by the order in which they become its keeper. The order is the one by which gossip
// selects bridges, so every instance knows the first nodes of every domain.
func keeperOrder(members []Member) map[gypsumhoist.FailureDomain][]Member {
	ranks := make(map[gypsumhoist.Instance]uint64, len(members))
	out := map[gypsumhoist.FailureDomain][]Member{}
	for _, mb := range members {
		ranks[mb.Instance] = hasher.Name(string(mb.Instance))
		out[mb.Domain] = append(out[mb.Domain], mb)
	}
	for _, domain := range out {
		slices.SortFunc(domain, func(ma, mb Member) int {
			return cmp.Or(cmp.Compare(ranks[ma.Instance], ranks[mb.Instance]), cmp.Compare(ma.Instance, mb.Instance))
		})
	}
	return out
}

// avoidNode stops calls to a keeper for avoidFailedFor.
func (al *Allocator) avoidNode(in gypsumhoist.Instance, err error) {
	al.avoidNodeFor(in, err, avoidFailedFor)
}

func (al *Allocator) avoidNodeFor(in gypsumhoist.Instance, err error, span time.Duration) {
	al.log.Log(eventKeeperSilent, "keeper", in, "err", err)
	al.mu.Lock()
	defer al.mu.Unlock()
	al.avoidUntil[in] = time.Now().Add(span)
}

// aliveDomains returns the failure domains with an alive member, sorted by name. The caller holds the lock.
func (al *Allocator) aliveDomains() []gypsumhoist.FailureDomain {
	var out []gypsumhoist.FailureDomain
	for dm, members := range al.members {
		if slices.ContainsFunc(members, func(mb Member) bool { return mb.Alive }) {
			out = append(out, dm)
		}
	}
	slices.Sort(out)
	return out
}

// homeOf selects the home domain of a centralized row by rendezvous hashing, so that few rows move as domains come and go.
func homeOf(ky Key, domains []gypsumhoist.FailureDomain) gypsumhoist.FailureDomain {
	row := hasher.Name(string(ky.Workspace) + "\x00" + ky.Route)
	return slices.MaxFunc(domains, func(da, db gypsumhoist.FailureDomain) int {
		return cmp.Compare(hasher.Mix(row^hasher.Name(string(da))), hasher.Mix(row^hasher.Name(string(db))))
	})
}

// noteKeeper logs a change of the keeper that answers.
func (al *Allocator) noteKeeper(in gypsumhoist.Instance) {
	al.mu.Lock()
	changed := al.lastKeeper != in
	al.lastKeeper = in
	al.mu.Unlock()
	if changed {
		al.log.Log(eventKeeperChosen, "keeper", in)
	}
}
