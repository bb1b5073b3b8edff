package reporter

import "fmt"

// objectiveFull is an objective of 100 %, in thousandths of a percent.
const objectiveFull = 100_000

// BurnRate returns the rate at which a row spends its error budget, the share of requests that its objective allows to fail:
// 1 spends exactly the budget over the period of the objective, 10 spends it in a tenth of that time.
// Without requests it is 0. The objective is in thousandths of a percent; 100 % is taken as 99.999 %.
func BurnRate(ct Counts, objective int) float64 {
	if ct.Valid() == 0 {
		return 0
	}
	allowed := float64(max(objectiveFull-objective, 1)) / objectiveFull
	return float64(ct.Bad) / float64(ct.Valid()) / allowed
}

// Level is the urgency of a row's alert. The zero value is the lowest level.
type Level uint8

// Levels.
const (
	LevelFine   Level = iota
	LevelTicket       // needs attention within days
	LevelPage         // needs attention now
)

// String returns fine, ticket or page.
func (lv Level) String() string {
	switch lv {
	case LevelPage:
		return "page"
	case LevelTicket:
		return "ticket"
	default:
		return "fine"
	}
}

// MarshalText writes the level as String does.
func (lv Level) MarshalText() ([]byte, error) { return []byte(lv.String()), nil }

// UnmarshalText parses a level as written by String. Any other text is an error.
func (lv *Level) UnmarshalText(txt []byte) error {
	for _, known := range []Level{LevelFine, LevelTicket, LevelPage} {
		if known.String() == string(txt) {
			*lv = known
			return nil
		}
	}
	return fmt.Errorf("unknown level %q, want fine, ticket or page", txt)
}

// badMin is the number of bad requests in the long window below which no level is raised:
// in a row with little traffic a single failure is a high burn rate, but no reason for an alert.
const badMin = 3

// alertRule raises a level while the burn rates over both windows are at least burnRate. The long window shows that the failures
// are significant, the short one that they are still going on.
type alertRule struct {
	level       Level
	long, short Window
	burnRate    float64
}

// alertRules are sorted by level, highest first. With an objective over 30 days, the first rule is met when
// 2 % of the error budget is spent in an hour, the second at 5 % in six hours, the third at 10 % in three days.
var alertRules = []alertRule{
	{LevelPage, Window1h, Window5m, 14.4},
	{LevelPage, Window6h, Window30m, 6},
	{LevelTicket, Window3d, Window6h, 1},
}

// LevelOf returns the level of a row from its counts in all windows. The objective is in thousandths of a percent.
func LevelOf(cts [WindowCount]Counts, objective int) Level {
	for _, ar := range alertRules {
		if cts[ar.long].Bad >= badMin && BurnRate(cts[ar.long], objective) >= ar.burnRate && BurnRate(cts[ar.short], objective) >= ar.burnRate {
			return ar.level
		}
	}
	return LevelFine
}
