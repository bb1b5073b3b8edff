package limiter

import "time"

// Lives of outstanding tokens. Each place that counts tokens as outstanding does so longer than the place that may
// spend them, by a quarter of their life and 50 ms, because clocks run at different speeds.
const (
	// nodeTokenLife is how long a node may spend tokens, from when it requested them.
	nodeTokenLife = 250 * time.Millisecond
	// nodeTokenHold is how long a DomainBucket counts tokens as outstanding with a node, from when it granted them.
	nodeTokenHold = nodeTokenLife + nodeTokenLife/4 + 50*time.Millisecond
	// transferLife is how long a DomainBucket may use tokens of another domain, from when it requested them.
	transferLife = 150 * time.Millisecond
	// transferHold is how long a DomainBucket counts tokens as outstanding with another domain.
	// That domain may grant them to a node at the end of transferLife.
	transferHold = transferLife + nodeTokenLife + (transferLife+nodeTokenLife)/4 + 50*time.Millisecond
	// MaxTokenHold is how long after the end of a lease tokens that were handed out under it may be outstanding.
	MaxTokenHold = transferHold
)

const (
	// minPendingWait and maxPendingWait bound the time that a request waits for tokens at a DomainBucket.
	minPendingWait = 20 * time.Millisecond
	maxPendingWait = 100 * time.Millisecond
	// rebalanceInterval is the minimum time between two requests for spare tokens of one row.
	rebalanceInterval = 5 * time.Millisecond
	// rebalanceDomains is the number of domains from which spare tokens are requested at a time.
	rebalanceDomains = 3
	// minTransferRetry and maxTransferRetry bound Transfer.RetryAfter.
	minTransferRetry = time.Millisecond
	maxTransferRetry = time.Second
	// unreachableBackoff is the time until another request is sent to a domain that didn't answer.
	unreachableBackoff = 250 * time.Millisecond
	// minRetry and maxRetry bound Grant.RetryAfter.
	minRetry = time.Millisecond
	maxRetry = 10 * time.Millisecond
)

// pendingWait returns how long a request waits for tokens at a DomainBucket before it is answered with nothing:
// the time in which the row's rate over the fleet adds one token, within bounds.
// So no request is refused because of the few tokens that are lost while they are moved between buckets.
func pendingWait(fleet Amount) time.Duration {
	return min(max(timeToAccrue(One, fleet), minPendingWait), maxPendingWait)
}
