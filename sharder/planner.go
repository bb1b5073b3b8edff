package sharder

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// GenerationDelay is how long a majority must have been known to be lost, without a report of the group,
// before a new generation is planned: a report of a group that still works would have arrived by then.
const GenerationDelay = 10 * time.Second

// Planner determines the generations that the control leader should add to the table. It does no I/O; its only
// state is when it first saw the proof that each group lost its majority. It is not safe for concurrent use.
type Planner struct {
	lostSince map[Key]time.Time
}

// Plan returns placements for shards that have none, and for those that have permanently lost a majority
// of their last known voters: the voters' instances run newer processes, or announced that they left.
// Suspicion is no proof, as a network partition looks the same. The result may be proposed repeatedly;
// the table must accept a placement only if its generation is the current one plus one.
func (pn *Planner) Plan(now time.Time, placements []Placement, candidates []Candidate, reports []Report) []Placement {
	if pn.lostSince == nil {
		pn.lostSince = map[Key]time.Time{}
	}
	current, latest := newestPlacements(placements), newestReports(reports)
	var plan []Placement
	for _, fd := range domainsOf(candidates) {
		alive := aliveMembers(fd, candidates)
		for shard := range ShardCount {
			key := Key{Domain: fd, Shard: shard}
			old, ok := current[key]
			if len(alive) == 0 || ok && !pn.majorityLost(now, old, latest[key], candidates) {
				continue
			}
			initial := byPreference(key, alive)[:GroupSize(len(alive))]
			plan = append(plan, Placement{Domain: fd, Shard: shard, Generation: old.Generation + 1, InitialMembers: initial, FormedAt: now})
		}
	}
	return plan
}

// majorityLost reports whether a generation has been proven to have lost its majority for at least GenerationDelay,
// with no report of it received within that time.
func (pn *Planner) majorityLost(now time.Time, pl Placement, re Report, candidates []Candidate) bool {
	voters := pl.InitialMembers
	if re.Generation == pl.Generation && len(re.Voters) > 0 {
		voters = re.Voters
	}
	lost := 0
	for _, mb := range voters {
		if processEnded(mb, candidates) {
			lost++
		}
	}
	if len(voters) == 0 || len(voters)-lost > len(voters)/2 {
		delete(pn.lostSince, pl.Key())
		return false
	}
	since, ok := pn.lostSince[pl.Key()]
	if !ok {
		since = now
		pn.lostSince[pl.Key()] = now
	}
	silent := re.Generation < pl.Generation || now.Sub(re.ReceivedAt) >= GenerationDelay
	return silent && now.Sub(since) >= GenerationDelay
}

// processEnded reports whether the process of a member is proven to have ended.
func processEnded(mb replicator.Member, candidates []Candidate) bool {
	boot := processBoot(mb.Boot)
	for _, ca := range candidates {
		if ca.Member.Instance != mb.Instance {
			continue
		}
		if ca.Member.Boot > boot || ca.Member.Boot == boot && ca.State == StateLeft {
			return true
		}
	}
	return false
}

func newestPlacements(placements []Placement) map[Key]Placement {
	newest := make(map[Key]Placement, len(placements))
	for _, pl := range placements {
		if pl.Generation > newest[pl.Key()].Generation {
			newest[pl.Key()] = pl
		}
	}
	return newest
}

func newestReports(reports []Report) map[Key]Report {
	newest := make(map[Key]Report, len(reports))
	for _, re := range reports {
		if old, ok := newest[re.Key]; !ok || re.Newer(old) {
			newest[re.Key] = re
		}
	}
	return newest
}

func domainsOf(candidates []Candidate) []gypsumhoist.FailureDomain {
	var fds []gypsumhoist.FailureDomain
	seen := map[gypsumhoist.FailureDomain]bool{}
	for _, ca := range candidates {
		if !seen[ca.Domain] {
			seen[ca.Domain] = true
			fds = append(fds, ca.Domain)
		}
	}
	return fds
}

func aliveMembers(fd gypsumhoist.FailureDomain, candidates []Candidate) []replicator.Member {
	var alive []replicator.Member
	for _, ca := range candidates {
		if ca.Domain == fd && ca.State == StateAlive {
			alive = append(alive, ca.Member)
		}
	}
	return alive
}
