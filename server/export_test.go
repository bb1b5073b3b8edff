package server

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// HomesOf shows tests where claims are kept.
func HomesOf(pls []sharder.Placement, now, asOf time.Time, retention time.Duration) (present, before []gypsumhoist.FailureDomain, ready bool) {
	ch := homesOf(pls, now, asOf, retention)
	return ch.now, ch.before, ch.ready
}

// ReadReport and ReportPayload show tests the payload of a report's rumor.
var ReadReport = readReport

// ReportPayload writes what ReadReport reads.
func ReportPayload(re sharder.Report) ([]byte, uint64, error) {
	rm, err := reportRumor(re)
	return rm.Payload, rm.Version, err
}

// CheckTLS shows tests whether TLS settings can be used.
func CheckTLS(st loader.TLS) error {
	_, err := tcpNetwork(st)
	return err
}

// Steps of NextSeat.
const (
	SeatNone    = seatNone
	SeatAdd     = seatAdd
	SeatPromote = seatPromote
	SeatReplace = seatReplace
)

// NextSeat shows tests what a leader does for a member that introduced itself first so long ago.
func NextSeat(
	sts replicator.Seats, mb replicator.Member, find func(gypsumhoist.Instance) (gossiper.Member, bool), waited time.Duration,
) (seatStep, replicator.Member) {
	return seating{seats: sts, member: mb, find: find, waited: waited}.next()
}

// Farewells shows tests which seats a leader takes away.
type Farewells = farewells

// Over returns the member whose seat is taken away now.
func Over(
	fw Farewells, sts replicator.Seats, find func(gypsumhoist.Instance) (gossiper.Member, bool), now time.Time,
) (replicator.Member, bool) {
	return fw.over(sts, find, now)
}
