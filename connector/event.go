package connector

import "github.com/gypsumhoist/gypsumhoist/logger"

var (
	eventSilent = logger.Define(1100, logger.LevelWarn, "connections_silent",
		"Connections to an upstream brought no byte while a fresh one was answered; they were retired. If it repeats, look for what between the two ends loses track of connections.")
	eventProbeFailed = logger.Define(1101, logger.LevelWarn, "upstream_probe_failed",
		"Requests to an upstream brought no byte and a fresh connection was not answered either: the upstream hangs or is cut off.")
	eventPeerSilent = logger.Define(1104, logger.LevelWarn, "peer_connection_silent",
		"A connection to another instance brought no byte though it was asked for one; it was closed, and others are asked too.")
	eventConnFailed = logger.Define(1103, logger.LevelInfo, "connection_failed",
		"A connection was closed after an error: by the server, such as for a client that went silent, or to an upstream that wrote without being asked.")
	eventServeFailed = logger.Define(1102, logger.LevelError, "listener_failed",
		"A port no longer accepts connections; restart the process.")
)
