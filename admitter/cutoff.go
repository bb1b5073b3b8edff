package admitter

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// HeaderCutOff carries a cut-off in the answers of an upstream's node to other nodes.
const HeaderCutOff = gypsumhoist.HeaderPrefix + "Cut-Off"

// cutOffSlice is the least time for which a refusal counts for the cut-off; the most is twice that.
const cutOffSlice = 250 * time.Millisecond

// FormatCutOff returns a cut-off as a header value.
func FormatCutOff(im gypsumhoist.Importance) string {
	return strconv.Itoa(int(clipCutOff(im)))
}

// ParseCutOff parses a header value as FormatCutOff returns it.
// For any other text it returns an error and zero, which sheds nothing.
func ParseCutOff(txt string) (gypsumhoist.Importance, error) {
	num, err := strconv.ParseUint(txt, 10, 8)
	if err != nil || num > uint64(cutOffMax) {
		return 0, fmt.Errorf("cut-off %.8q is not a number from 0 to %d", txt, cutOffMax)
	}
	return gypsumhoist.Importance(num), nil
}

// cutOffMax is the cut-off that sheds all fresh requests.
const cutOffMax = gypsumhoist.ImportanceMax + 1

func clipCutOff(im gypsumhoist.Importance) gypsumhoist.Importance {
	return max(gypsumhoist.ImportanceMin, min(im, cutOffMax))
}

// rank orders requests in the queue: by importance, then nested calls before fresh requests.
type rank int

const (
	rankCount = 2 * (int(gypsumhoist.ImportanceMax) + 1)
	noRank    = rank(-1)
)

func rankOf(im gypsumhoist.Importance, depth int) rank {
	im = max(gypsumhoist.ImportanceMin, min(im, gypsumhoist.ImportanceMax))
	rk := rank(2 * im)
	if depth > 0 {
		rk++
	}
	return rk
}

// cutOff records the ranks that were recently refused and admitted.
type cutOff struct {
	slice    int64
	current  rankSpan
	previous rankSpan
}

// rankSpan holds the ranks of one slice of time.
type rankSpan struct {
	refused  rank // highest rank refused for lack of capacity, noRank if none
	admitted rank // lowest rank admitted, rankCount if none
}

func emptySpan() rankSpan { return rankSpan{refused: noRank, admitted: rank(rankCount)} }

func newCutOff() cutOff { return cutOff{current: emptySpan(), previous: emptySpan()} }

func (co *cutOff) rotate(now time.Duration) {
	slice := int64(now / cutOffSlice)
	switch slice - co.slice {
	case 0:
		return
	case 1:
		co.previous = co.current
	default:
		co.previous = emptySpan()
	}
	co.current = emptySpan()
	co.slice = slice
}

func (co *cutOff) refused(now time.Duration, rk rank) {
	co.rotate(now)
	co.current.refused = max(co.current.refused, rk)
}

func (co *cutOff) admitted(now time.Duration, rk rank) {
	co.rotate(now)
	co.current.admitted = min(co.current.admitted, rk)
}

// value returns the importance below which all fresh requests are currently refused.
func (co *cutOff) value(now time.Duration) gypsumhoist.Importance {
	co.rotate(now)
	refused := max(co.current.refused, co.previous.refused)
	if refused == noRank {
		return 0
	}
	lowest := min(co.current.admitted, co.previous.admitted, refused+1)
	return gypsumhoist.Importance((int(lowest) + 1) / 2)
}
