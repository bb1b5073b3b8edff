package registrar

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

const (
	// sessionTimeout is how long a session stays valid after its last report.
	sessionTimeout = 6 * time.Second
	// unlistedTimeout is how long an instance that is not among the sources must still confirm, after it was last reported.
	unlistedTimeout = 30 * time.Second
	// lateMax is the maximum number of late instances that a report lists.
	lateMax = 16
)

// member is one boot of an instance with the highest revision known to be in force there.
type member struct {
	instance  gypsumhoist.Instance
	domain    gypsumhoist.FailureDomain
	boot      uint64
	revision  uint64
	lastHeard time.Time
}

// inboundSession is the receiver's state of one sender's reports.
type inboundSession struct {
	number    uint64
	sequence  uint64
	lastHeard time.Time
	control   bool
	members   map[gypsumhoist.Instance]uint64 // boots
}

// revisionTracker records which revision is in force at this instance and at those that report to it,
// directly or through other instances.
// It does no I/O and is not safe for concurrent use.
type revisionTracker struct {
	self     member
	control  bool
	started  time.Time
	known    map[gypsumhoist.Instance]member
	sessions map[gypsumhoist.Instance]*inboundSession
	sources  []Source
	listed   map[gypsumhoist.Instance]bool // instances in sources
	// parent is the instance that this one reports to. It doesn't count as below this one, so the summary ignores its reports.
	parent gypsumhoist.Instance
	// version increases with each change of the tracked state.
	version uint64
}

func newRevisionTracker(self Source, now time.Time) *revisionTracker {
	return &revisionTracker{
		self:     member{instance: self.Instance, domain: self.Domain, boot: self.Boot},
		control:  self.Control,
		started:  now,
		known:    map[gypsumhoist.Instance]member{},
		sessions: map[gypsumhoist.Instance]*inboundSession{},
	}
}

// setSources replaces the list of other instances.
func (rt *revisionTracker) setSources(sources []Source) {
	rt.sources = sources
	rt.listed = make(map[gypsumhoist.Instance]bool, len(sources))
	for _, sc := range sources {
		rt.listed[sc.Instance] = true
	}
	rt.version++
}

// confirm records the revision in force at this instance.
func (rt *revisionTracker) confirm(revision uint64) {
	if revision > rt.self.revision {
		rt.self.revision = revision
		rt.version++
	}
}

// receive processes a report. It returns false if the sender must restart with a full report.
func (rt *revisionTracker) receive(rq *registrarpb.ReportRequest, now time.Time) bool {
	from := gypsumhoist.Instance(rq.GetInstance())
	ss := rt.sessions[from]
	if rq.GetFull() {
		ss = &inboundSession{number: rq.GetSession(), control: rq.GetControl(), members: map[gypsumhoist.Instance]uint64{}}
		rt.sessions[from] = ss
		rt.version++
	}
	if ss == nil || ss.number != rq.GetSession() || !rq.GetFull() && rq.GetSequence() != ss.sequence+1 {
		return false
	}
	ss.sequence = rq.GetSequence()
	ss.lastHeard = now
	rt.mergeMembers(ss, rq, now)
	rt.mergeRevisions(ss, rq, now)
	return true
}

// mergeMembers updates which instances the sender reports.
func (rt *revisionTracker) mergeMembers(ss *inboundSession, rq *registrarpb.ReportRequest, now time.Time) {
	for _, in := range rq.GetRemoved() {
		delete(ss.members, gypsumhoist.Instance(in))
		rt.version++
	}
	for _, mb := range rq.GetAdded() {
		in := gypsumhoist.Instance(mb.GetInstance())
		if in == rt.self.instance {
			continue
		}
		ss.members[in] = mb.GetBoot()
		rt.version++
		old, ok := rt.known[in]
		if ok && old.boot >= mb.GetBoot() {
			continue
		}
		rt.known[in] = member{
			instance: in, domain: gypsumhoist.FailureDomain(mb.GetDomain()), boot: mb.GetBoot(), lastHeard: now,
		}
	}
}

// mergeRevisions raises the revisions of the instances that the sender reports.
func (rt *revisionTracker) mergeRevisions(ss *inboundSession, rq *registrarpb.ReportRequest, now time.Time) {
	late := map[gypsumhoist.Instance]uint64{}
	for _, lt := range rq.GetLate() {
		late[gypsumhoist.Instance(lt.GetInstance())] = lt.GetRevision()
	}
	for in, boot := range ss.members {
		mb := rt.known[in]
		if mb.boot != boot {
			continue // the sender reports an earlier boot
		}
		revision, isLate := late[in]
		if !isLate {
			revision = rq.GetBase()
		}
		if revision > mb.revision {
			mb.revision = revision
			rt.version++
		}
		mb.lastHeard = now
		rt.known[in] = mb
	}
}

// expire drops sessions after sessionTimeout and unlisted instances after unlistedTimeout without a report.
func (rt *revisionTracker) expire(now time.Time) {
	for in, ss := range rt.sessions {
		if now.Sub(ss.lastHeard) > sessionTimeout {
			delete(rt.sessions, in)
			rt.version++
		}
	}
	for in, mb := range rt.known {
		if !rt.listed[in] && now.Sub(mb.lastHeard) > unlistedTimeout {
			delete(rt.known, in)
			rt.version++
		}
	}
}

// summary returns this instance and those below it. Reports of control instances and of the parent are left out.
func (rt *revisionTracker) summary() map[gypsumhoist.Instance]member {
	all := map[gypsumhoist.Instance]member{rt.self.instance: rt.self}
	for from, ss := range rt.sessions {
		if ss.control || from == rt.parent {
			continue
		}
		for in := range ss.members {
			if mb, ok := rt.known[in]; ok {
				all[in] = mb
			}
		}
	}
	return all
}

// outboundSession is the sender's state of a session.
type outboundSession struct {
	number   uint64
	sequence uint64
	// sent maps the instances reported so far to their boots. It is nil before the first, full report.
	sent map[gypsumhoist.Instance]uint64
}

// nextReport returns the next report of the session: the instances added and removed since the last one, and all revisions.
func (rt *revisionTracker) nextReport(ss *outboundSession) *registrarpb.ReportRequest {
	all := rt.summary()
	ss.sequence++
	rq := &registrarpb.ReportRequest{
		Instance: string(rt.self.instance),
		Session:  ss.number,
		Sequence: ss.sequence,
		Full:     ss.sent == nil,
		Control:  rt.control,
	}
	if ss.sent == nil {
		ss.sent = map[gypsumhoist.Instance]uint64{}
	}
	for in, mb := range sorted(all) {
		if boot, ok := ss.sent[in]; ok && boot == mb.boot {
			continue
		}
		ss.sent[in] = mb.boot
		rq.Added = append(rq.Added, &registrarpb.Member{
			Instance: string(in), Domain: string(mb.domain), Boot: mb.boot,
		})
	}
	for in := range sorted(ss.sent) {
		if _, ok := all[in]; !ok {
			delete(ss.sent, in)
			rq.Removed = append(rq.Removed, string(in))
		}
	}
	rq.Base, rq.Late = baseAndLate(all)
	return rq
}

// baseAndLate returns the highest revision that all but at most lateMax instances have, and the instances below it.
func baseAndLate(all map[gypsumhoist.Instance]member) (uint64, []*registrarpb.Late) {
	members := make([]member, 0, len(all))
	for _, mb := range all {
		members = append(members, mb)
	}
	slices.SortFunc(members, func(ma, mb member) int {
		return cmp.Or(cmp.Compare(ma.revision, mb.revision), cmp.Compare(ma.instance, mb.instance))
	})
	base := members[min(lateMax, len(members)-1)].revision
	var late []*registrarpb.Late
	for _, mb := range members {
		if mb.revision >= base {
			break
		}
		late = append(late, &registrarpb.Late{Instance: string(mb.instance), Revision: mb.revision})
	}
	return base, late
}
