package gossiper

import "github.com/gypsumhoist/gypsumhoist/logger"

var (
	eventMember = logger.Define(2000, logger.LevelInfo, "member_seen",
		"An instance joined, restarted, came back or left; status shows which.")
	eventSuspect = logger.Define(2001, logger.LevelInfo, "member_suspect",
		"An instance did not answer its neighbours; it counts as unreachable unless it refutes this within two seconds.")
	eventUnreachable = logger.Define(2002, logger.LevelWarn, "member_unreachable",
		"An instance crashed or is cut off from the network. It is retried until it comes back or another instance takes its address.")
	eventDuplicate = logger.Define(2003, logger.LevelError, "instance_name_taken",
		"Another process uses the name of this instance; give one of them another name.")
	eventDomainCut = logger.Define(2004, logger.LevelWarn, "domain_cut_off",
		"No bridge of this instance's failure domain gets an answer from another one; calls to that domain fail until the network recovers.")
	eventDomainBack = logger.Define(2005, logger.LevelInfo, "domain_back",
		"A failure domain that was unreachable answers again.")
)
