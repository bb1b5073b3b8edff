package server

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// HomesOf exports homesOf to tests.
func HomesOf(
	pls []sharder.Placement, now, asOf time.Time, retention time.Duration,
) (current, previous []gypsumhoist.FailureDomain, ready bool) {
	ch := homesOf(pls, now, asOf, retention)
	return ch.current, ch.previous, ch.ready
}

// LimitRuntime exports limitRuntime to tests.
var LimitRuntime = limitRuntime

// ReadReport exports readReport to tests.
var ReadReport = readReport

// ReportPayload returns the payload and version of a report's rumor.
func ReportPayload(re sharder.Report) ([]byte, uint64, error) {
	rm, err := reportRumor(re)
	return rm.Payload, rm.Version, err
}

// CheckTLS returns the error of loading the certificates of TLS settings.
func CheckTLS(st loader.TLS) error {
	_, err := tcpNetwork(st)
	return err
}

// Results of NextJoinStep.
const (
	JoinNone    = joinNone
	JoinAdd     = joinAdd
	JoinPromote = joinPromote
	JoinReplace = joinReplace
)

// NextJoinStep returns what a leader does for a member whose first introduction was the given time ago.
func NextJoinStep(
	cfg replicator.Configuration, mb replicator.Member, find func(gypsumhoist.Instance) (gossiper.Member, bool), waited time.Duration,
) (joinStep, replicator.Member) {
	return joinState{config: cfg, member: mb, gossipMember: find, waited: waited}.next()
}

// SetEvacuatedLocally makes the node of a process refuse calls to its upstream as in an evacuated domain, while its router and all other
// processes know of no evacuation.
func SetEvacuatedLocally(sv *Server, dm gypsumhoist.FailureDomain) {
	sv.node.setEvacuated([]gypsumhoist.FailureDomain{dm})
	sv.node.router.SetEvacuated(nil)
}

// Departures exports departures to tests.
type Departures = departures

// RemovableMember returns the member that a leader removes at the given time.
func RemovableMember(
	dp Departures, cfg replicator.Configuration, find func(gypsumhoist.Instance) (gossiper.Member, bool), now time.Time,
) (replicator.Member, bool) {
	return dp.removable(cfg, find, now)
}

// RunCollector runs a collector until dying is closed. It returns a channel that is closed once it has ended.
func RunCollector(pressure <-chan bool, dying <-chan struct{}) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// It returns no error.
		_ = (&collector{pressure: pressure, dying: dying}).loop()
	}()
	return ended
}
