package throttler

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Outlook says what Admit would do with the next request of a class.
type Outlook struct {
	// Requests, Accepted and Overloaded are the counts of the class in the last 2 s.
	Requests   int `json:"requests"`
	Accepted   int `json:"accepted"`
	Overloaded int `json:"overloaded"`
	// Share is the share of the class's requests that is admitted now.
	Share float64 `json:"share"`
	// Chance is the probability that the next request is admitted: 0 or 1 for a workspace with recent requests while requests are refused.
	Chance float64 `json:"chance"`
	// A refusal would name a time from RetryAfterMin to RetryAfterMax.
	RetryAfterMin time.Duration `json:"retry_after_min_ns"`
	RetryAfterMax time.Duration `json:"retry_after_max_ns"`
}

// Peek says what Admit would do with a request. It decides on a copy of the counts, draws no random number and changes nothing.
func (th *Throttler) Peek(key Key, ws gypsumhoist.Workspace) Outlook {
	ol := Outlook{Share: 1, Chance: 1, RetryAfterMin: minRetryAfter, RetryAfterMax: maxRetryAfter}
	th.mu.Lock()
	defer th.mu.Unlock()
	known := th.classes[key]
	if known == nil {
		return ol
	}
	cl := *known
	cl.advance(th.now())
	ol.Requests, ol.Accepted, ol.Overloaded = int(sum(cl.requests[:])), int(sum(cl.accepted[:])), int(sum(cl.overloaded[:]))
	ol.Share = min(cl.share(), 1)
	if ol.Share >= 1 {
		return ol
	}
	// The first credit of a workspace is drawn at random.
	ol.Chance = ol.Share
	if credit, ok := cl.credit[ws]; ok {
		ol.Chance = 0
		if credit+ol.Share >= 1 {
			ol.Chance = 1
		}
	}
	return ol
}
