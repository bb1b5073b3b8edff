package sharder

import "github.com/gypsumhoist/gypsumhoist/logger"

var (
	eventOpened       = logger.Define(2100, logger.LevelInfo, "sharder_group_opened", "This instance became a member of a shard group.")
	eventOpenFailed   = logger.Define(2101, logger.LevelError, "sharder_group_open_failed", "This instance could not become a member of a shard group; the group continues with its other members.")
	eventClosed       = logger.Define(2102, logger.LevelInfo, "sharder_group_closed", "This instance is no longer a member of a shard group.")
	eventChanged      = logger.Define(2103, logger.LevelInfo, "sharder_seats_changed", "The leader added, promoted or removed a member of its group.")
	eventChangeFailed = logger.Define(2104, logger.LevelWarn, "sharder_change_failed", "The leader could not change the membership of its group; it tries again.")
)
