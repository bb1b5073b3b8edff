package registrar

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of a Split.
const (
	SplitMax      = 8         // services of one split
	PartWeightMax = 1_000_000 // weight of one of them
)

// Part is one service of a Split with its weight.
type Part struct {
	Service gypsumhoist.Service
	Weight  int
}

// Split shares the requests of a route between services by weight. It is a plain value that can be compared;
// the zero value is no split.
type Split struct {
	parts [SplitMax]Part
	count int
}

// NewSplit returns a split. Parts beyond SplitMax are left out, so that Check refuses the row.
func NewSplit(parts ...Part) Split {
	var sp Split
	sp.count = len(parts)
	copy(sp.parts[:], parts)
	return sp
}

// Len returns the number of services.
func (sp *Split) Len() int { return sp.count }

// Parts returns the services in the order in which they were given.
func (sp *Split) Parts() []Part { return sp.parts[:min(sp.count, SplitMax)] }

// At returns the service to which a place between 0 and 1 belongs, each service having a share of the
// places by its weight. A split without weight gives the first service.
func (sp *Split) At(place float64) gypsumhoist.Service {
	left := place * float64(sp.sum())
	last := sp.parts[0].Service
	for _, pt := range sp.Parts() {
		if pt.Weight <= 0 {
			continue
		}
		last = pt.Service
		if left < float64(pt.Weight) {
			break
		}
		left -= float64(pt.Weight)
	}
	return last
}

// String returns the split as it stands in the table: "a:90 b:10".
func (sp *Split) String() string {
	texts := make([]string, 0, SplitMax)
	for _, pt := range sp.Parts() {
		texts = append(texts, string(pt.Service)+":"+strconv.Itoa(pt.Weight))
	}
	return strings.Join(texts, " ")
}

func (sp *Split) sum() int {
	sum := 0
	for _, pt := range sp.Parts() {
		sum += pt.Weight
	}
	return sum
}

// fine reports whether each service is named once and has an allowed weight, and the sum is above zero.
func (sp *Split) fine() bool {
	if sp.count > SplitMax || sp.sum() <= 0 {
		return false
	}
	seen := map[gypsumhoist.Service]bool{}
	for _, pt := range sp.Parts() {
		if !nameFine(string(pt.Service)) || seen[pt.Service] || pt.Weight < 0 || pt.Weight > PartWeightMax {
			return false
		}
		seen[pt.Service] = true
	}
	return true
}

// parseSplit reads what String writes.
func parseSplit(txt string) (Split, error) {
	var parts []Part
	for _, field := range strings.Fields(txt) {
		name, weight, found := strings.Cut(field, ":")
		num, err := strconv.Atoi(weight)
		if !found || err != nil {
			return Split{}, fmt.Errorf("%q is no service with its weight", field)
		}
		parts = append(parts, Part{Service: gypsumhoist.Service(name), Weight: num})
	}
	return NewSplit(parts...), nil
}

// Services returns the services to which the row's requests may go.
func (rw *Row) Services() []gypsumhoist.Service {
	if rw.Split.Len() == 0 {
		if rw.Service == "" {
			return nil
		}
		return []gypsumhoist.Service{rw.Service}
	}
	var svcs []gypsumhoist.Service
	for _, pt := range rw.Split.Parts() {
		svcs = append(svcs, pt.Service)
	}
	return svcs
}

// Bounded reports whether the row has a rate and a burst.
func (rw *Row) Bounded() bool { return rw.Rate != 0 || rw.Burst != 0 }

func (rw *Row) mayBeUnbounded() bool { return rw.Workspace == AnyWorkspace || rw.Route == AnyRoute }

func (rw *Row) setService(txt string) (allowed string, fine bool) {
	rw.Service, rw.Split = "", Split{}
	if !strings.Contains(txt, ":") {
		rw.Service = gypsumhoist.Service(txt)
		return "", true
	}
	return parseInto(&rw.Split, txt, ruleOf(ColumnService), parseSplit)
}

func (rw Row) serviceFine() bool {
	switch {
	case rw.Route == AnyRoute:
		return rw.Service == "" && rw.Split.Len() == 0
	case rw.Split.Len() > 0:
		return rw.Service == "" && rw.Split.fine()
	default:
		return nameFine(string(rw.Service))
	}
}
