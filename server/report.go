package server

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/server/serverpb"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// reportTopic is the topic of rumors about shard groups.
const reportTopic = "shards"

// Lifetime and repetition of rumors about shard groups.
const (
	reportTTL            = 5 * time.Minute
	reportRepeatInterval = time.Minute // after which an unchanged report is sent again
)

// Widths in bits of a report's epoch and configuration index in a rumor's version. The generation is above both,
// so that versions order by generation, epoch and configuration.
const (
	versionEpochBits  = 16
	versionConfigBits = 32
)

// reportRumor encodes a report as a rumor.
func reportRumor(re sharder.Report) (gossiper.Rumor, error) {
	msg := &serverpb.Report{
		Domain: string(re.Key.Domain), Shard: uint32(re.Key.Shard), Generation: re.Generation,
		Epoch: re.Epoch, SeatsIndex: re.ConfigurationIndex, Leader: uint32(len(re.Voters)),
	}
	for ix, mb := range re.Voters {
		peer, err := mb.Peer.MarshalBinary()
		if err != nil {
			return gossiper.Rumor{}, err
		}
		msg.Voters = append(msg.Voters, &serverpb.Voter{Instance: string(mb.Instance), Boot: bootNumber(mb.Boot), Peer: peer})
		if mb.ID() == re.Leader.ID() {
			msg.Leader = uint32(ix)
		}
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return gossiper.Rumor{}, err
	}
	return gossiper.Rumor{
		Topic: reportTopic, Key: fmt.Sprintf("%s/%d", re.Key.Domain, re.Key.Shard),
		Version: reportVersion(re), Payload: data, TTL: reportTTL,
	}, nil
}

// reportVersion returns a number that orders the reports on one shard; an epoch or index too large for its bits saturates.
func reportVersion(re sharder.Report) uint64 {
	epoch := min(re.Epoch, 1<<versionEpochBits-1)
	config := min(re.ConfigurationIndex, 1<<versionConfigBits-1)
	return re.Generation<<(versionEpochBits+versionConfigBits) | epoch<<versionConfigBits | config
}

// readReport decodes a rumor's payload.
func readReport(data []byte) (sharder.Report, error) {
	var msg serverpb.Report
	if err := proto.Unmarshal(data, &msg); err != nil {
		return sharder.Report{}, err
	}
	if msg.GetDomain() == "" || msg.GetShard() >= sharder.ShardCount {
		return sharder.Report{}, errors.New("report names no valid shard")
	}
	re := sharder.Report{
		Key:        sharder.Key{Domain: gypsumhoist.FailureDomain(msg.GetDomain()), Shard: int(msg.GetShard())},
		Generation: msg.GetGeneration(), Epoch: msg.GetEpoch(), ConfigurationIndex: msg.GetSeatsIndex(),
	}
	for ix, vo := range msg.GetVoters() {
		var peer netip.AddrPort
		if err := peer.UnmarshalBinary(vo.GetPeer()); err != nil {
			return sharder.Report{}, err
		}
		mb := replicator.Member{
			Instance: gypsumhoist.Instance(vo.GetInstance()), Boot: bootText(gossiper.Boot(vo.GetBoot())), Peer: peer,
		}
		re.Voters = append(re.Voters, mb)
		if uint32(ix) == msg.GetLeader() {
			re.Leader = mb
		}
	}
	return re, nil
}

// sameReport reports whether two reports have the same version, leader and voters.
func sameReport(ra, rb sharder.Report) bool {
	return reportVersion(ra) == reportVersion(rb) && ra.Leader == rb.Leader && slices.Equal(ra.Voters, rb.Voters)
}
