package gypsumhoist

import "fmt"

// Verdict says whether a request that got no complete answer may have run at an upstream.
// The zero value is VerdictMayHaveRun, which guarantees nothing.
type Verdict uint8

// Verdicts.
const (
	// VerdictMayHaveRun means that it is unknown whether the request has run.
	VerdictMayHaveRun Verdict = iota
	// VerdictNotRun means that no upstream has run the request or ever will.
	VerdictNotRun
	// VerdictRan means that an upstream answered the request.
	VerdictRan
)

// String returns the verdict in the form that HeaderVerdict carries.
func (vd Verdict) String() string {
	switch vd {
	case VerdictNotRun:
		return "not_run"
	case VerdictRan:
		return "ran"
	default:
		return "may_have_run"
	}
}

// ParseVerdict parses a verdict as String writes it.
// For any other text it returns an error together with VerdictMayHaveRun.
func ParseVerdict(txt string) (Verdict, error) {
	for _, vd := range []Verdict{VerdictMayHaveRun, VerdictNotRun, VerdictRan} {
		if vd.String() == txt {
			return vd, nil
		}
	}
	return VerdictMayHaveRun, fmt.Errorf("verdict %q is none of may_have_run, not_run, ran", txt)
}
