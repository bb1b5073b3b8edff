package retrier

import (
	"fmt"
	"strconv"

	"github.com/gypsumhoist/gypsumhoist"
)

// Headers between nodes. They are never sent to callers or upstreams.
const (
	// HeaderBudget carries the retry budget of a call.
	HeaderBudget = gypsumhoist.HeaderPrefix + "Retry-Budget"
	// HeaderUnspent carries the unspent retries back with an answer, in its trailer or header.
	HeaderUnspent = gypsumhoist.HeaderPrefix + "Retry-Unspent"
)

const maxBudgetDigits = 3

// FormatBudget formats a number of retries as a header value, clamped to the range from 0 to MaxBudget.
func FormatBudget(retries int) string { return strconv.Itoa(clamp(retries, MaxBudget)) }

// ParseBudget parses a header value written by FormatBudget.
// For any other text, including the empty one, it returns zero and an error.
func ParseBudget(txt string) (int, error) {
	if len(txt) == 0 || len(txt) > maxBudgetDigits {
		return 0, fmt.Errorf("retry budget %.8q is not a number from 0 to %d", txt, MaxBudget)
	}
	num, err := strconv.ParseUint(txt, 10, 16)
	if err != nil || num > MaxBudget {
		return 0, fmt.Errorf("retry budget %q is not a number from 0 to %d", txt, MaxBudget)
	}
	return int(num), nil
}
