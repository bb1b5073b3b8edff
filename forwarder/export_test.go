package forwarder

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
