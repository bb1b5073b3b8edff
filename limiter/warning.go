package limiter

import (
	"fmt"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// transferTime is about how long a token takes from one domain to a request in another
// and, as a settlement, back to its donor.
const transferTime = 10 * time.Millisecond

// Warnings returns what an operator should know about a row's rate and burst, one sentence each.
// It is nil if there is nothing to report.
func Warnings(rw *registrar.Row, domains []gypsumhoist.FailureDomain) []string {
	if rw.Rate <= 0 || rw.Burst <= 0 {
		return []string{"the row refuses every request, as its rate or burst is 0"}
	}
	var warnings []string
	if able := CutOffDomains(rw, domains); len(able) < len(domains) {
		warnings = append(warnings, fmt.Sprintf(
			"burst %d is below the number of failure domains (%d): when cut off, only %s can serve the row",
			rw.Burst, len(domains), joinDomains(able)))
	}
	if timeToAccrue(Whole(rw.Burst), Amount(rw.Rate)*amountPerRate) < transferTime && len(domains) > 1 {
		warnings = append(warnings, fmt.Sprintf(
			"burst %d is less than the rate brings in %v: load that comes in one failure domain can't use the whole rate",
			rw.Burst, transferTime))
	}
	return warnings
}

// CutOffDomains returns the domains that can serve a row while they are cut off from all others.
func CutOffDomains(rw *registrar.Row, domains []gypsumhoist.FailureDomain) []gypsumhoist.FailureDomain {
	shares := Split(rw, domains)
	var able []gypsumhoist.FailureDomain
	for _, dm := range domains {
		if shares[dm].Burst >= One {
			able = append(able, dm)
		}
	}
	return able
}

func joinDomains(domains []gypsumhoist.FailureDomain) string {
	var names []string
	for _, dm := range domains {
		names = append(names, string(dm))
	}
	return strings.Join(names, ", ")
}
