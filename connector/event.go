package connector

import "github.com/gypsumhoist/gypsumhoist/logger"

var (
	eventSilent = logger.Define(1100, logger.LevelWarn, "connections_silent",
		"Connections to an upstream received no byte while a new one was answered; they were retired. If it repeats, look for a device between the two ends that loses connection state.")
	eventProbeFailed = logger.Define(1101, logger.LevelWarn, "upstream_probe_failed",
		"Requests to an upstream received no byte and a probe over a new connection was not answered either: the upstream hangs or is unreachable.")
	eventPeerSilent = logger.Define(1104, logger.LevelWarn, "peer_connection_silent",
		"A connection to another instance received no byte, not even in response to a probe; it was closed, and other connections are probed, too.")
	eventConnFailed = logger.Define(1103, logger.LevelInfo, "connection_failed",
		"A connection was closed after an error: by the server, for example because a client went silent, or to an upstream that sent data without a request.")
	eventBroken = logger.Define(1110, logger.LevelWarn, "responses_broken",
		"An upstream or another instance sent responses that are malformed, or closed a connection before the request was sent; they were not passed on. One line a second at most, with their number; look at the sender.")
	eventRefused = logger.Define(1111, logger.LevelWarn, "clients_refused",
		"Clients of a port were beyond a limit of [bounds] and were refused; the counts are by limit, since the last such line, of which there is at most one in 10 s for each port.")
	eventServeFailed = logger.Define(1102, logger.LevelError, "listener_failed",
		"A port no longer accepts connections; restart the process.")
)
