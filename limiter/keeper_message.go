package limiter

import "github.com/gypsumhoist/gypsumhoist"

// keeperEvent is an event for the keeper: *takeEvent, *transferEvent, *transferReplyEvent or tableEvent.
type keeperEvent interface{ keeperEvent() }

// tableEvent reports a new table.
type tableEvent struct{}

// takeEvent is a message from a node.
type takeEvent struct {
	shard       int
	requests    []TokenRequest
	settlements []Settlement
	unanswered  int
	grants      []Grant
	answered    bool
	done        chan takeResult
}

type takeResult struct {
	epoch  uint64
	grants []Grant
	err    error
}

// transferEvent is a message from another domain.
type transferEvent struct {
	shard       int
	requests    []TransferRequest
	settlements []TransferSettlement
	done        chan transferResult
}

type transferResult struct {
	epoch     uint64
	transfers []Transfer
	err       error
}

// transferReplyEvent is another domain's reply, or the error when there was none.
type transferReplyEvent struct {
	shard     int
	epoch     uint64 // of the bucket that sent the requests
	from      gypsumhoist.FailureDomain
	requests  []TransferRequest
	transfers []Transfer
	err       error
}

func (tableEvent) keeperEvent()          {}
func (*takeEvent) keeperEvent()          {}
func (*transferEvent) keeperEvent()      {}
func (*transferReplyEvent) keeperEvent() {}
