package allocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

// hurry has the loop report soon.
func (al *Allocator) hurry() { nudge(al.urgent) }

func nudge(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// run reports to the keeper from time to time, and soon when a request lacks a token.
// The keeper itself looks more often at what its domain lacks.
func (al *Allocator) run() error {
	every := reportEvery
	tick := time.NewTicker(every)
	defer tick.Stop()
	reported := time.Time{}
	for {
		select {
		case <-al.tmb.Dying():
			return nil
		case now := <-tick.C:
			if next := al.pace(); next != every {
				every = next
				tick.Reset(every)
			}
			al.lend()
			al.fetch()
			if now.Sub(reported) < reportEvery {
				continue
			}
			al.forget()
		case <-al.needy:
			al.fetch()
		case <-al.urgent:
		}
		reported = time.Now()
		al.report()
		select {
		case <-al.tmb.Dying():
			return nil
		case <-time.After(urgentPause):
		}
	}
}

// pace returns how often run looks around.
func (al *Allocator) pace() time.Duration {
	al.mu.Lock()
	defer al.mu.Unlock()
	if al.keeping() {
		return fetchEvery
	}
	return reportEvery
}

// keeping reports whether this node is its domain's keeper. The lock is held.
func (al *Allocator) keeping() bool {
	first := al.keepers(al.domain, 1)
	return len(first) > 0 && first[0].Instance == al.self
}

// report asks the first keeper that answers for tokens.
func (al *Allocator) report() {
	asked := al.now()
	lines := al.lines(asked)
	if at := time.Duration(al.answered.Load()); len(lines) == 0 && at > 0 && asked-at < idleEvery {
		return
	}
	before := al.inTouch(asked)
	for _, mb := range al.candidates() {
		grants, err := al.reportTo(mb, lines)
		if err != nil {
			al.shun(mb.Instance, err)
			continue
		}
		al.chose(mb.Instance)
		al.put(asked, grants)
		if !before {
			al.log.Log(eventLeased, "keeper", mb.Instance)
		}
		return
	}
	if before && !al.inTouch(al.now()) {
		al.log.Log(eventStandby, "nodes", al.nodes.Load())
	}
}

func (al *Allocator) lines(now time.Duration) []Line {
	var out []Line
	for ky, ps := range *al.purses.Load() {
		if ln, active := ps.line(now); active {
			ln.Key = ky
			out = append(out, ln)
		}
	}
	slices.SortFunc(out, func(la, lb Line) int { return compareKeys(la.Key, lb.Key) })
	return out
}

// put hands tokens to the purses and wakes the requests that wait for them.
func (al *Allocator) put(asked time.Duration, grants []Grant) {
	purses := *al.purses.Load()
	for _, gr := range grants {
		if ps := purses[gr.Key]; ps != nil {
			ps.put(gr, asked)
		}
	}
	al.answered.Store(int64(max(asked, 1)))
	al.mu.Lock()
	defer al.mu.Unlock()
	close(al.news)
	al.news = make(chan struct{})
}

// candidates returns the nodes of the domain that may be its keeper, the one to ask first before the others.
func (al *Allocator) candidates() []Member {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.keepers(al.domain, candidatesMost)
}

// candidatesMost is how many nodes are asked, one after the other, when the first does not answer.
const candidatesMost = 2

// keepers returns the first nodes of a domain in the order in which they are its keeper. The lock is held.
func (al *Allocator) keepers(domain gypsumhoist.FailureDomain, most int) []Member {
	now := time.Now()
	var out []Member
	for _, mb := range al.members[domain] {
		if len(out) == most {
			break
		}
		if mb.Alive && !now.Before(al.avoid[mb.Instance]) {
			out = append(out, mb)
		}
	}
	return out
}

// inOrder returns the nodes of each domain in the order in which they are its keeper: that of gossip's bridges, which every
// instance knows.
func inOrder(members []Member) map[gypsumhoist.FailureDomain][]Member {
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

// shun leaves a keeper out for a while.
func (al *Allocator) shun(in gypsumhoist.Instance, err error) { al.shunFor(in, err, avoidFor) }

func (al *Allocator) shunFor(in gypsumhoist.Instance, err error, span time.Duration) {
	al.log.Log(eventKeeperLost, "keeper", in, "err", err)
	al.mu.Lock()
	defer al.mu.Unlock()
	al.avoid[in] = time.Now().Add(span)
}

// alive returns the failure domains that have a node which may be their keeper, in order of their names. The lock is held.
func (al *Allocator) alive() []gypsumhoist.FailureDomain {
	var out []gypsumhoist.FailureDomain
	for dm, members := range al.members {
		if slices.ContainsFunc(members, func(mb Member) bool { return mb.Alive }) {
			out = append(out, dm)
		}
	}
	slices.Sort(out)
	return out
}

// homeOf chooses the failure domain that keeps a row whole, so that few rows move as domains come and go.
func homeOf(ky Key, domains []gypsumhoist.FailureDomain) gypsumhoist.FailureDomain {
	row := hasher.Name(string(ky.Workspace) + "\x00" + ky.Route)
	return slices.MaxFunc(domains, func(da, db gypsumhoist.FailureDomain) int {
		return cmp.Compare(hasher.Mix(row^hasher.Name(string(da))), hasher.Mix(row^hasher.Name(string(db))))
	})
}

func (al *Allocator) chose(in gypsumhoist.Instance) {
	al.mu.Lock()
	changed := al.last != in
	al.last = in
	al.mu.Unlock()
	if changed {
		al.log.Log(eventKeeper, "keeper", in)
	}
}
