package claimer

import "github.com/gypsumhoist/gypsumhoist/logger"

var (
	eventEndAbandoned = logger.Define(1800, logger.LevelWarn, "claim_end_abandoned",
		"The end of a claim could not be stored in time; resends of its request get may_have_run until the claim expires.")
	eventEndsOverflow = logger.Define(1801, logger.LevelWarn, "claim_ends_overflow",
		"Too many ends of claims wait to be stored; the oldest was dropped. Look for a failure domain that can't be reached.")
)
