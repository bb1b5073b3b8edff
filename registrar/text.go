package registrar

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// String returns the rate in requests per second, without trailing zeros.
func (rt Rate) String() string { return formatThousandths(int64(rt)) }

// String returns the kind in the form used by the table.
func (id Idempotence) String() string {
	switch id {
	case IdempotenceByMethod:
		return "by_method"
	case IdempotenceAll:
		return "all"
	case IdempotenceNone:
		return "none"
	default:
		return fmt.Sprintf("idempotence(%d)", uint8(id))
	}
}

// String returns the kind in the form used by the table.
func (co CutOff) String() string {
	switch co {
	case CutOffServe:
		return "serve"
	case CutOffRefuse:
		return "refuse"
	default:
		return fmt.Sprintf("cut_off(%d)", uint8(co))
	}
}

// Text returns the value of a column in the form used by CSV files.
// It is empty for an unknown column.
func (rw Row) Text(cl Column) string {
	switch cl {
	case ColumnWorkspace:
		return string(rw.Workspace)
	case ColumnRoute:
		return rw.Route
	case ColumnService:
		if rw.Split.Len() > 0 {
			return rw.Split.String()
		}
		return string(rw.Service)
	case ColumnOpen:
		return strconv.FormatBool(rw.Open)
	case ColumnImportance:
		if rw.Importance == ImportanceOfRoute {
			return ""
		}
		return strconv.Itoa(int(rw.Importance))
	case ColumnWeight:
		return strconv.Itoa(rw.Weight)
	case ColumnRate:
		return rw.Rate.String()
	case ColumnBurst:
		return strconv.FormatInt(rw.Burst, 10)
	case ColumnRetries:
		return strconv.Itoa(rw.Retries)
	case ColumnAttempts:
		return strconv.Itoa(rw.Attempts)
	case ColumnRetryPercent:
		return strconv.Itoa(rw.RetryPercent)
	case ColumnIdempotent:
		return rw.Idempotent.String()
	case ColumnDeadline:
		return rw.Deadline.String()
	case ColumnLatency:
		return rw.TargetLatency.String()
	case ColumnObjective:
		return formatThousandths(int64(rw.Objective))
	case ColumnCutOff:
		return rw.CutOff.String()
	case ColumnColdRate:
		return rw.ColdRate.String()
	case ColumnNumber:
		return strconv.FormatUint(rw.Number, 10)
	default:
		return ""
	}
}

// Set parses a value in the form that Text returns and assigns it to the column; surrounding blanks are ignored.
// It returns a *ValueError if the text can't be parsed. Limits are checked by Check.
func (rw *Row) Set(cl Column, txt string) error {
	txt = strings.TrimSpace(txt)
	allowed, ok := rw.set(cl, txt)
	if ok {
		return nil
	}
	if allowed == "" {
		allowed = columnList()
	}
	return &ValueError{Row: truncate(rw.Name()), Column: cl, Value: truncate(txt), Allowed: allowed}
}

func (rw *Row) set(cl Column, txt string) (allowed string, ok bool) {
	switch cl {
	case ColumnWorkspace:
		rw.Workspace = gypsumhoist.Workspace(txt)
		return "", true
	case ColumnRoute:
		rw.Route = txt
		return "", true
	case ColumnService:
		return rw.setService(txt)
	case ColumnOpen:
		return parseInto(&rw.Open, txt, "true or false", parseBool)
	case ColumnImportance:
		if txt == "" && rw.Route == AnyRoute {
			rw.Importance = ImportanceOfRoute
			return "", true
		}
		return parseInto(&rw.Importance, txt, "0 to 100", parseWhole[gypsumhoist.Importance])
	case ColumnWeight:
		return parseInto(&rw.Weight, txt, allowedValues(cl), parseWhole[int])
	case ColumnRate:
		return parseInto(&rw.Rate, txt, allowedValues(cl), parseThousandths[Rate])
	case ColumnBurst:
		return parseInto(&rw.Burst, txt, allowedValues(cl), parseWhole[int64])
	case ColumnRetries:
		return parseInto(&rw.Retries, txt, allowedValues(cl), parseWhole[int])
	case ColumnAttempts:
		return parseInto(&rw.Attempts, txt, allowedValues(cl), parseWhole[int])
	case ColumnRetryPercent:
		return parseInto(&rw.RetryPercent, txt, allowedValues(cl), parseWhole[int])
	case ColumnIdempotent:
		return parseInto(&rw.Idempotent, txt, allowedValues(cl), parseIdempotence)
	case ColumnDeadline:
		return parseInto(&rw.Deadline, txt, allowedValues(cl), time.ParseDuration)
	case ColumnLatency:
		return parseInto(&rw.TargetLatency, txt, allowedValues(cl), time.ParseDuration)
	case ColumnObjective:
		return parseInto(&rw.Objective, txt, allowedValues(cl), parseThousandths[int])
	case ColumnCutOff:
		return parseInto(&rw.CutOff, txt, allowedValues(cl), parseCutOff)
	case ColumnColdRate:
		return parseInto(&rw.ColdRate, txt, allowedValues(cl), parseThousandths[Rate])
	case ColumnNumber:
		return parseInto(&rw.Number, txt, "a whole number from 0", func(tx string) (uint64, error) {
			return strconv.ParseUint(tx, 10, 64)
		})
	default:
		return "", false
	}
}

func allowedValues(cl Column) string {
	for _, rl := range rowRules {
		if rl.column == cl {
			return rl.allowed
		}
	}
	return ""
}

func parseInto[T any](to *T, txt, allowed string, parse func(string) (T, error)) (string, bool) {
	vl, err := parse(txt)
	if err != nil {
		return allowed, false
	}
	*to = vl
	return "", true
}

// parseBool also accepts variants that spreadsheets write, such as TRUE and yes.
func parseBool(txt string) (bool, error) {
	switch strings.ToLower(txt) {
	case "true", "yes":
		return true, nil
	case "false", "no":
		return false, nil
	default:
		return false, strconv.ErrSyntax
	}
}

func parseWhole[T ~int | ~int32 | ~int64](txt string) (T, error) {
	vl, err := strconv.ParseInt(txt, 10, 32)
	return T(vl), err
}

func parseIdempotence(txt string) (Idempotence, error) {
	for _, id := range []Idempotence{IdempotenceByMethod, IdempotenceAll, IdempotenceNone} {
		if id.String() == txt {
			return id, nil
		}
	}
	return 0, strconv.ErrSyntax
}

func parseCutOff(txt string) (CutOff, error) {
	for _, co := range []CutOff{CutOffServe, CutOffRefuse} {
		if co.String() == txt {
			return co, nil
		}
	}
	return 0, strconv.ErrSyntax
}

// thousandthsDigits is the number of decimals of a value in thousandths.
const thousandthsDigits = 3

// formatThousandths formats a value in thousandths as a decimal number without trailing zeros.
func formatThousandths(vl int64) string {
	sign := ""
	if vl < 0 {
		sign, vl = "-", -vl
	}
	whole, part := vl/1000, vl%1000
	if part == 0 {
		return sign + strconv.FormatInt(whole, 10)
	}
	return sign + strconv.FormatInt(whole, 10) + "." + strings.TrimRight(fmt.Sprintf("%03d", part), "0")
}

// parseThousandths parses an unsigned decimal number with up to three decimals, as thousandths.
func parseThousandths[T ~int | ~int64](txt string) (T, error) {
	whole, part, _ := strings.Cut(txt, ".")
	if len(part) > thousandthsDigits || whole == "" || len(whole) > 9 {
		return 0, strconv.ErrSyntax
	}
	digits := whole + part + strings.Repeat("0", thousandthsDigits-len(part))
	vl, err := strconv.ParseUint(digits, 10, 62)
	return T(vl), err
}

func columnList() string {
	var names []string
	for _, cl := range Columns() {
		names = append(names, string(cl))
	}
	return "one of the columns " + strings.Join(names, ", ")
}
