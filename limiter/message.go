package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// TokenRequest requests whole tokens from the leader of a row's shard on behalf of one node of its domain.
type TokenRequest struct {
	Key  RowKey
	Node gypsumhoist.Instance
	// ID is unique among the token requests of the node, also across its restarts.
	ID uint64
	// Want is the number of tokens requested, Waiting how many of them are for requests that wait.
	Want, Waiting int64
	// Importance is that of the most important request that waits.
	Importance gypsumhoist.Importance
}

// Grant answers a TokenRequest.
type Grant struct {
	Key    RowKey
	Node   gypsumhoist.Instance
	ID     uint64
	Amount int64
	// Empty means that the missing tokens will not be available soon; RetryAfter is the time after which to request them again.
	Empty      bool
	RetryAfter time.Duration
	// Unready means that the bucket is empty because it doesn't hold the row's share yet:
	// the row or its confirmation is still missing, or the lease has just begun.
	Unready bool
	// SettleSoon means that the node should report spent tokens at once.
	SettleSoon bool
}

// Settlement reports what has become of a grant so far. It is cumulative: a later one includes the earlier ones.
type Settlement struct {
	Key   RowKey
	Node  gypsumhoist.Instance
	Epoch uint64
	ID    uint64
	// Spent and Returned are whole tokens. Returned ones no longer exist at the node.
	Spent, Returned int64
}

// TransferRequest requests tokens from the leader of the same shard in another domain.
type TransferRequest struct {
	Key  RowKey
	From gypsumhoist.FailureDomain
	// ID is unique among the transfer requests of the domain.
	ID   uint64
	Want Amount
	// Spare means that no request waits for the tokens: only what the donor is unlikely to need is requested.
	Spare bool
}

// Transfer answers a TransferRequest. The donor has already debited the amount.
type Transfer struct {
	Key    RowKey
	Epoch  uint64
	ID     uint64
	Amount Amount
	// RetryAfter is how long to wait before another request is likely to get tokens.
	RetryAfter time.Duration
}

// TransferSettlement reports what has become of a transfer so far. It is cumulative: a later one includes the earlier ones.
type TransferSettlement struct {
	Key   RowKey
	From  gypsumhoist.FailureDomain
	Epoch uint64
	ID    uint64
	// Kept is spent or counted against the receiver's own share; Returned no longer exists at the receiver.
	Kept, Returned Amount
}

// Effect is an action that a DomainBucket requests from its owner: GrantEffect, TransferEffect or SettleEffect.
type Effect interface{ effect() }

// GrantEffect answers a node's token request.
type GrantEffect struct{ Grant Grant }

// TransferEffect requests tokens from another domain.
type TransferEffect struct {
	To      gypsumhoist.FailureDomain
	Request TransferRequest
}

// SettleEffect reports to another domain what has become of its transfer.
type SettleEffect struct {
	To         gypsumhoist.FailureDomain
	Settlement TransferSettlement
}

func (GrantEffect) effect()    {}
func (TransferEffect) effect() {}
func (SettleEffect) effect()   {}
