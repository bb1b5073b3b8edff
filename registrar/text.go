package registrar

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// String returns the rate in requests a second with as many decimals as it needs.
func (rt Rate) String() string { return thousandths(int64(rt)) }

// String returns the kind as it stands in the table.
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

// String returns the kind as it stands in the table.
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

// Text returns the value of a column as it stands in a CSV file.
// An unknown column gets the empty text.
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
		return thousandths(int64(rw.Objective))
	case ColumnCutOff:
		return rw.CutOff.String()
	case ColumnNumber:
		return strconv.FormatUint(rw.Number, 10)
	default:
		return ""
	}
}

// Set changes one column to a value as Text writes it; blanks around it are dropped.
// It returns a *ValueError when the text can't be read as a value of the column;
// whether the value is within bounds is for Check to say.
func (rw *Row) Set(cl Column, txt string) error {
	txt = strings.TrimSpace(txt)
	allowed, fine := rw.set(cl, txt)
	if fine {
		return nil
	}
	if allowed == "" {
		allowed = columnList()
	}
	return &ValueError{Row: clip(rw.Name()), Column: cl, Value: clip(txt), Allowed: allowed}
}

func (rw *Row) set(cl Column, txt string) (allowed string, fine bool) {
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
		return parseInto(&rw.Weight, txt, ruleOf(cl), parseWhole[int])
	case ColumnRate:
		return parseInto(&rw.Rate, txt, ruleOf(cl), parseThousandths[Rate])
	case ColumnBurst:
		return parseInto(&rw.Burst, txt, ruleOf(cl), parseWhole[int64])
	case ColumnRetries:
		return parseInto(&rw.Retries, txt, ruleOf(cl), parseWhole[int])
	case ColumnAttempts:
		return parseInto(&rw.Attempts, txt, ruleOf(cl), parseWhole[int])
	case ColumnRetryPercent:
		return parseInto(&rw.RetryPercent, txt, ruleOf(cl), parseWhole[int])
	case ColumnIdempotent:
		return parseInto(&rw.Idempotent, txt, ruleOf(cl), parseIdempotence)
	case ColumnDeadline:
		return parseInto(&rw.Deadline, txt, ruleOf(cl), time.ParseDuration)
	case ColumnLatency:
		return parseInto(&rw.TargetLatency, txt, ruleOf(cl), time.ParseDuration)
	case ColumnObjective:
		return parseInto(&rw.Objective, txt, ruleOf(cl), parseThousandths[int])
	case ColumnCutOff:
		return parseInto(&rw.CutOff, txt, ruleOf(cl), parseCutOff)
	case ColumnNumber:
		return parseInto(&rw.Number, txt, "a whole number from 0", func(tx string) (uint64, error) {
			return strconv.ParseUint(tx, 10, 64)
		})
	default:
		return "", false
	}
}

func ruleOf(cl Column) string {
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

// parseBool takes what spreadsheets make of true and false, too.
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

// thousandthsDigits is how many decimals a value in thousandths has.
const thousandthsDigits = 3

// thousandths writes a value in thousandths as a decimal number without needless zeros.
func thousandths(vl int64) string {
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

// parseThousandths reads a number without sign and with up to three decimals.
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
