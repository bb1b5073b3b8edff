package registrar

// Column names one column of the table, as it stands in a CSV header and in the command line.
type Column string

// Columns, in the order of an export.
const (
	ColumnWorkspace    Column = "workspace"
	ColumnRoute        Column = "route"
	ColumnService      Column = "service"
	ColumnOpen         Column = "open"
	ColumnImportance   Column = "importance"
	ColumnWeight       Column = "weight"
	ColumnRate         Column = "rate"
	ColumnBurst        Column = "burst"
	ColumnRetries      Column = "retries"
	ColumnAttempts     Column = "attempts"
	ColumnRetryPercent Column = "retry_percent"
	ColumnIdempotent   Column = "idempotent"
	ColumnDeadline     Column = "deadline"
	ColumnLatency      Column = "latency"
	ColumnObjective    Column = "objective"
	ColumnCutOff       Column = "cut_off"
	ColumnNumber       Column = "number"
)

// Columns returns all columns in the order of an export.
func Columns() []Column {
	return []Column{
		ColumnWorkspace, ColumnRoute, ColumnService, ColumnOpen, ColumnImportance,
		ColumnWeight, ColumnRate, ColumnBurst, ColumnRetries, ColumnAttempts, ColumnRetryPercent,
		ColumnIdempotent, ColumnDeadline, ColumnLatency, ColumnObjective, ColumnCutOff, ColumnNumber,
	}
}

// optional reports whether a file may lack the column, as those do that were written before it came.
func (cl Column) optional() bool { return cl == ColumnLatency || cl == ColumnAttempts }
