package forwarder

import (
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// CheckTarget and UnambiguousPath are the checks of a request's target, for fuzzing.
var (
	CheckTarget     = checkTarget
	UnambiguousPath = unambiguousPath
)

// AnswerTag exports answerTag.
var AnswerTag = answerTag

// CombinedImportance exports combinedImportance.
var CombinedImportance = combinedImportance

// LastFeedback exports lastFeedback.
var LastFeedback = lastFeedback

// ExpectedBytes returns the expected size of a response of a route.
func (fw *Forwarder) ExpectedBytes(route string) int { return fw.routeBytes.expected(route) }

// NestedStats exports nestedStats.
type NestedStats struct{ nestedStats }

// Learn adds a successful run of a route.
func (ns *NestedStats) Learn(route string, calls int) { ns.learn(route, calls) }

// HasSiblings reports whether a call has siblings.
func (ns *NestedStats) HasSiblings(parent *authenticator.Call[*retrier.Budget]) bool {
	return ns.hasSiblings(parent)
}
