package replicator

import (
	"errors"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

var (
	eventLeaseTaken       = logger.Define(2200, logger.LevelInfo, "replicator_lease_taken", "This member has become the group's leader and holds the lease.")
	eventLeaseLost        = logger.Define(2201, logger.LevelInfo, "replicator_lease_lost", "This member has lost the group's lease; another leader is elected as soon as a majority of the voters can communicate.")
	eventRemoved          = logger.Define(2202, logger.LevelInfo, "replicator_removed", "This member was removed from the group.")
	eventJournalFailed    = logger.Define(2203, logger.LevelError, "replicator_journal_failed", "The member stopped because its journal failed or a snapshot could not be restored; check the disk, then restart the instance.")
	eventSnapshotRestored = logger.Define(2204, logger.LevelInfo, "replicator_snapshot_restored", "The member lagged behind the leader's log and installed the leader's snapshot.")
	eventConfiguration    = logger.Define(2206, logger.LevelInfo, "replicator_configuration", "A change of the group's members is committed; voters and learners are the members from now on.")
	eventSendFailed       = logger.Define(2205, logger.LevelWarn, "replicator_send_failed", "Messages to a peer can't be delivered; only the first of consecutive failures is logged.")
)

// errCoveredBySnapshot is the cause of an unknown outcome when a restored snapshot covers the command's index.
var errCoveredBySnapshot = errors.New("covered by a snapshot from another leader")
