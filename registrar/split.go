package registrar

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
)

// Limits of a Split.
const (
	SplitMax      = 8         // services in a split
	PartWeightMax = 1_000_000 // weight of a service
)

// Part is a service of a Split with its weight.
type Part struct {
	Service gypsumhoist.Service
	Weight  int
}

// Split distributes the requests of a route over services by weight. Splits can be compared with ==;
// the zero value is no split.
type Split struct {
	parts [SplitMax]Part
	count int
}

// NewSplit returns a split. It counts parts beyond SplitMax without storing them, so that Row.Check refuses the row.
func NewSplit(parts ...Part) Split {
	var sp Split
	sp.count = len(parts)
	copy(sp.parts[:], parts)
	return sp
}

// Len returns the number of services.
func (sp *Split) Len() int { return sp.count }

// Parts returns the services in the given order.
func (sp *Split) Parts() []Part { return sp.parts[:min(sp.count, SplitMax)] }

// At returns the service for a point in [0, 1), which the services divide among themselves by weight.
// If all weights are zero, it returns the first service.
func (sp *Split) At(point float64) gypsumhoist.Service {
	left := point * float64(sp.sum())
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

// String returns the split in the form used by the table: "a:90 b:10".
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

// valid reports whether the services are distinct, their names and weights are allowed, and the sum of weights is above zero.
func (sp *Split) valid() bool {
	if sp.count > SplitMax || sp.sum() <= 0 {
		return false
	}
	seen := map[gypsumhoist.Service]bool{}
	for _, pt := range sp.Parts() {
		if !validName(string(pt.Service)) || seen[pt.Service] || pt.Weight < 0 || pt.Weight > PartWeightMax {
			return false
		}
		seen[pt.Service] = true
	}
	return true
}

// parseSplit parses the form that String returns.
func parseSplit(txt string) (Split, error) {
	var parts []Part
	for _, field := range strings.Fields(txt) {
		name, weight, found := strings.Cut(field, ":")
		num, err := strconv.Atoi(weight)
		if !found || err != nil {
			return Split{}, fmt.Errorf("%q is not of the form service:weight", field)
		}
		parts = append(parts, Part{Service: gypsumhoist.Service(name), Weight: num})
	}
	return NewSplit(parts...), nil
}

// Services returns the services that the row's requests may be sent to.
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

// RateLimited reports whether the row limits the request rate.
func (rw *Row) RateLimited() bool { return rw.Rate != 0 || rw.Burst != 0 }

// rateOptional reports whether rate and burst of the row may both be zero.
func (rw *Row) rateOptional() bool { return rw.Workspace == AnyWorkspace || rw.Route == AnyRoute }

func (rw *Row) setService(txt string) (allowed string, ok bool) {
	rw.Service, rw.Split = "", Split{}
	if !strings.Contains(txt, ":") {
		rw.Service = gypsumhoist.Service(txt)
		return "", true
	}
	return parseInto(&rw.Split, txt, allowedValues(ColumnService), parseSplit)
}

func (rw Row) validService() bool {
	switch {
	case rw.Route == AnyRoute:
		return rw.Service == "" && rw.Split.Len() == 0
	case rw.Split.Len() > 0:
		return rw.Service == "" && rw.Split.valid()
	default:
		return validName(string(rw.Service))
	}
}
