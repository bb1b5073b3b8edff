package registrar

import (
	"fmt"
	"strings"
	"time"
)

// Limits of a row's values.
const (
	NameLengthMax    = 63  // bytes in a workspace's or service's name
	RouteLengthMax   = 256 // bytes in a route
	RouteSegmentsMax = 16  // path segments in a route
	WeightMin        = 1
	WeightMax        = 1000
	RateMax          = 1_000_000 * RateOne
	BurstMax         = 1_000_000 // whole requests
	RetriesMax       = 20
	RetryPercentMax  = 100
	DeadlineShortest = time.Millisecond
	DeadlineLongest  = 10 * time.Minute
	ObjectiveMax     = 100_000 // thousandths of a percent
)

// ValueError reports a row value that is not allowed.
type ValueError struct {
	// Line is the line of a CSV file, where the header is line 1. Zero means that the value didn't come from a file.
	Line int
	// Row is the row's name, "workspace route".
	Row string
	// Column and Value are as given; Allowed describes the values that the column accepts.
	Column  Column
	Value   string
	Allowed string
}

// Error returns line, row, column, value and the allowed values on one line.
func (ve *ValueError) Error() string {
	var sb strings.Builder
	if ve.Line > 0 {
		fmt.Fprintf(&sb, "line %d, ", ve.Line)
	}
	if strings.TrimSpace(ve.Row) != "" {
		fmt.Fprintf(&sb, "row %q, ", ve.Row)
	}
	fmt.Fprintf(&sb, "column %s: value %q is not allowed; allowed: %s", ve.Column, ve.Value, ve.Allowed)
	return sb.String()
}

// shownRunesMax is the number of runes to which errors truncate a refused value.
const shownRunesMax = 64

func truncate(txt string) string {
	runes := []rune(txt)
	if len(runes) <= shownRunesMax {
		return txt
	}
	return string(runes[:shownRunesMax]) + "…"
}

// Name returns the row's name, "workspace route", for messages.
func (rw Row) Name() string { return string(rw.Workspace) + " " + rw.Route }

// Check returns a *ValueError for the first value that is not allowed, in the order of Columns, or nil.
func (rw Row) Check() error {
	for _, rl := range rowRules {
		if rl.valid(rw) {
			continue
		}
		return &ValueError{Row: truncate(rw.Name()), Column: rl.column, Value: truncate(rw.Text(rl.column)), Allowed: rl.allowed}
	}
	return nil
}

// rowRule defines the values that a column accepts.
type rowRule struct {
	column  Column
	allowed string
	valid   func(rw Row) bool
}

var nameAllowed = fmt.Sprintf("1 to %d of a-z, A-Z, 0-9, '.', '_' and '-', the first a letter or digit", NameLengthMax)

var rowRules = []rowRule{
	{
		ColumnWorkspace, "* for every workspace, or " + nameAllowed,
		func(rw Row) bool { return rw.Workspace == AnyWorkspace || validName(string(rw.Workspace)) },
	},
	{
		ColumnRoute,
		fmt.Sprintf("* for all routes of one workspace, or a path that begins with /, with or without a host before it, "+
			"up to %d bytes and %d segments, without empty, '.' or '..' segments, query, fragment, '%%' or blanks",
			RouteLengthMax, RouteSegmentsMax),
		func(rw Row) bool { return rw.Route == AnyRoute && rw.Workspace != AnyWorkspace || validRoute(rw.Route) },
	},
	{
		ColumnService,
		fmt.Sprintf("a name of %s; or up to %d of them, each with a weight from 0 to %d as in \"a:90 b:10\", the sum above 0; "+
			"nothing in a row of route *", nameAllowed, SplitMax, PartWeightMax),
		Row.validService,
	},
	{ColumnOpen, "false in a row of route *", func(rw Row) bool { return !rw.Open || rw.Route != AnyRoute }},
	{
		ColumnImportance, "0 to 100, or nothing in a row of route *",
		func(rw Row) bool {
			return rw.Importance >= 0 && rw.Importance <= 100 || rw.Importance == ImportanceOfRoute && rw.Route == AnyRoute
		},
	},
	{
		ColumnWeight,
		fmt.Sprintf("%d to %d", WeightMin, WeightMax),
		func(rw Row) bool { return rw.Weight >= WeightMin && rw.Weight <= WeightMax },
	},
	{
		ColumnRate,
		fmt.Sprintf("requests a second, more than 0 and up to %s, with up to 3 decimals; rate and burst both 0 for no bound, "+
			"where workspace or route is *", RateMax),
		func(rw Row) bool { return rw.Rate > 0 && rw.Rate <= RateMax || rw.rateOptional() && !rw.RateLimited() },
	},
	{
		ColumnBurst,
		fmt.Sprintf("whole requests, 1 to %d", BurstMax),
		func(rw Row) bool {
			return rw.Burst >= 1 && rw.Burst <= BurstMax || rw.rateOptional() && !rw.RateLimited()
		},
	},
	{
		ColumnRetries,
		fmt.Sprintf("0 to %d", RetriesMax),
		func(rw Row) bool { return rw.Retries >= 0 && rw.Retries <= RetriesMax },
	},
	{
		ColumnAttempts,
		fmt.Sprintf("0 for no bound, or up to %d", RetriesMax+1),
		func(rw Row) bool { return rw.Attempts >= 0 && rw.Attempts <= RetriesMax+1 },
	},
	{
		ColumnRetryPercent,
		fmt.Sprintf("0 to %d", RetryPercentMax),
		func(rw Row) bool { return rw.RetryPercent >= 0 && rw.RetryPercent <= RetryPercentMax },
	},
	{
		ColumnIdempotent, "by_method, all or none",
		func(rw Row) bool { return rw.Idempotent <= IdempotenceNone },
	},
	{
		ColumnDeadline,
		fmt.Sprintf("a duration such as 250ms or 2s, %s to %s", DeadlineShortest, DeadlineLongest),
		func(rw Row) bool { return rw.Deadline >= DeadlineShortest && rw.Deadline <= DeadlineLongest },
	},
	{
		ColumnLatency,
		fmt.Sprintf("a duration such as 250ms, 0s for none, up to %s", DeadlineLongest),
		func(rw Row) bool { return rw.TargetLatency >= 0 && rw.TargetLatency <= DeadlineLongest },
	},
	{
		ColumnObjective,
		"a percentage from 0 to 100 with up to 3 decimals, such as 99.9",
		func(rw Row) bool { return rw.Objective >= 0 && rw.Objective <= ObjectiveMax },
	},
	{
		ColumnColdRate,
		fmt.Sprintf("requests a second that a cold upstream takes, with up to 3 decimals, 0 for no bound, up to %s", RateMax),
		func(rw Row) bool { return rw.ColdRate >= 0 && rw.ColdRate <= RateMax },
	},
	{ColumnCutOff, "serve or refuse", func(rw Row) bool { return rw.CutOff <= CutOffRefuse }},
}

func validName(nm string) bool {
	if nm == "" || len(nm) > NameLengthMax {
		return false
	}
	for ix := range len(nm) {
		ch := nm[ix]
		alnum := ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9'
		if !alnum && (ix == 0 || ch != '.' && ch != '_' && ch != '-') {
			return false
		}
	}
	return true
}

func validRoute(rt string) bool {
	host, path := splitRoute(rt)
	if len(rt) > RouteLengthMax || path == "" || host != "" && !validHost(host) {
		return false
	}
	if path == "/" {
		return true
	}
	if strings.ContainsAny(path, "?#%\\\"") || strings.ContainsFunc(path, func(ru rune) bool { return ru <= ' ' || ru >= 0x7f }) {
		return false
	}
	segments := strings.Split(strings.TrimSuffix(path[1:], "/"), "/")
	for _, sg := range segments {
		if sg == "" || sg == "." || sg == ".." {
			return false
		}
	}
	return len(segments) <= RouteSegmentsMax
}

// validHost reports whether a host may precede a route's path: a lower-case name or an IP address, with or without a port.
func validHost(host string) bool {
	return strings.Trim(host, "abcdefghijklmnopqrstuvwxyz0123456789.-:_") == "" && host != "*"
}

// splitRoute returns the host and the path of a route; the path is empty if there is no "/".
func splitRoute(rt string) (host, path string) {
	at := strings.IndexByte(rt, '/')
	if at < 0 {
		return rt, ""
	}
	return rt[:at], rt[at:]
}
