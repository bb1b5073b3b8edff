package forwarder

import (
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// CheckTarget and PlainPath are the checks of a request's target, for fuzzing.
var (
	CheckTarget = checkTarget
	PlainPath   = plainPath
)

// TagOf is tagOf for tests.
var TagOf = tagOf

// Ranked is ranked for tests.
var Ranked = ranked

// LastFeedback is lastFeedback.
var LastFeedback = lastFeedback

// Progress is what a node learns of the calls that runs make.
type Progress struct{ progress }

// Learn takes a run that ended well.
func (pg *Progress) Learn(route string, calls int) { pg.learn(route, calls) }

// Several reports whether a call is one of several.
func (pg *Progress) Several(parent *authenticator.Call[*retrier.Budget]) bool {
	return pg.several(parent)
}
