package gypsumhoist

// SpendOutlook says what the limiter of a row's rate would do with the next request at a node.
type SpendOutlook string

// Outlooks.
const (
	// SpendTakesToken takes a token that the node holds.
	SpendTakesToken SpendOutlook = "takes_token"
	// SpendAsksKeeper asks the keeper of the row's tokens, which may have none.
	SpendAsksKeeper SpendOutlook = "asks_keeper"
	// SpendRefused refuses the request.
	SpendRefused SpendOutlook = "refused"
	// SpendUnknown is of a limiter that does not say.
	SpendUnknown SpendOutlook = "unknown"
)
