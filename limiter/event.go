package limiter

import "github.com/gypsumhoist/gypsumhoist/logger"

var (
	eventLeaseBegun = logger.Define(1700, logger.LevelInfo, "limiter_lead_begun",
		"This instance is now the keeper of a shard's token buckets; rows start empty.")
	eventLeaseEnded = logger.Define(1701, logger.LevelInfo, "limiter_lead_ended",
		"This instance is no longer the keeper of a shard's token buckets.")
	eventLeaderUnreachable = logger.Define(1702, logger.LevelWarn, "limiter_leader_unreachable",
		"No leader answered a request for tokens; requests of the rows are refused with rate_unavailable until one does.")
)
