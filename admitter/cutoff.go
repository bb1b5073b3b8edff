package admitter

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// HeaderCutOff carries a cut-off from an upstream's node on its answers to other nodes.
const HeaderCutOff = gypsumhoist.HeaderPrefix + "Cut-Off"

// cutOffSlice is how long a refusal at least counts for the cut-off; it counts at most twice that.
const cutOffSlice = 250 * time.Millisecond

// FormatCutOff writes a cut-off as a header value.
func FormatCutOff(im gypsumhoist.Importance) string {
	return strconv.Itoa(int(clipCutOff(im)))
}

// ParseCutOff reads a header value as FormatCutOff writes it.
// Any other text is an error together with zero, which sheds nothing.
func ParseCutOff(txt string) (gypsumhoist.Importance, error) {
	num, err := strconv.ParseUint(txt, 10, 8)
	if err != nil || num > uint64(cutOffMax) {
		return 0, fmt.Errorf("cut-off %.8q is no number from 0 to %d", txt, cutOffMax)
	}
	return gypsumhoist.Importance(num), nil
}

// cutOffMax sheds every fresh request.
const cutOffMax = gypsumhoist.ImportanceMax + 1

func clipCutOff(im gypsumhoist.Importance) gypsumhoist.Importance {
	return max(gypsumhoist.ImportanceMin, min(im, cutOffMax))
}

// rank orders requests in the queue: importance first, then work that is deep in a chain.
type rank int

// Ranks.
const (
	ranks  = 2 * (int(gypsumhoist.ImportanceMax) + 1)
	noRank = rank(-1)
)

func rankOf(im gypsumhoist.Importance, depth int) rank {
	im = max(gypsumhoist.ImportanceMin, min(im, gypsumhoist.ImportanceMax))
	rk := rank(2 * im)
	if depth > 0 {
		rk++
	}
	return rk
}

// cutOff remembers which ranks were refused and which were admitted of late.
type cutOff struct {
	slice   int64
	present rankSpan
	past    rankSpan
}

// rankSpan is what one slice of time saw.
type rankSpan struct {
	refused  rank // highest rank refused for lack of capacity, noRank if none
	admitted rank // lowest rank admitted, ranks if none
}

func emptySpan() rankSpan { return rankSpan{refused: noRank, admitted: rank(ranks)} }

func newCutOff() cutOff { return cutOff{present: emptySpan(), past: emptySpan()} }

func (co *cutOff) turn(now time.Duration) {
	slice := int64(now / cutOffSlice)
	switch slice - co.slice {
	case 0:
		return
	case 1:
		co.past = co.present
	default:
		co.past = emptySpan()
	}
	co.present = emptySpan()
	co.slice = slice
}

func (co *cutOff) refused(now time.Duration, rk rank) {
	co.turn(now)
	co.present.refused = max(co.present.refused, rk)
}

func (co *cutOff) admitted(now time.Duration, rk rank) {
	co.turn(now)
	co.present.admitted = min(co.present.admitted, rk)
}

// value returns the importance below which no fresh request gets in at present.
func (co *cutOff) value(now time.Duration) gypsumhoist.Importance {
	co.turn(now)
	refused := max(co.present.refused, co.past.refused)
	if refused == noRank {
		return 0
	}
	lowest := min(co.present.admitted, co.past.admitted, refused+1)
	return gypsumhoist.Importance((int(lowest) + 1) / 2)
}
