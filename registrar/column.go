package registrar

// Column is the name of a table column, as used in CSV headers and on the command line.
type Column string

// Columns, in export order.
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
	ColumnColdRate     Column = "cold_rate"
	ColumnNumber       Column = "number"
)

// Columns returns all columns in export order.
func Columns() []Column {
	return []Column{
		ColumnWorkspace, ColumnRoute, ColumnService, ColumnOpen, ColumnImportance,
		ColumnWeight, ColumnRate, ColumnBurst, ColumnRetries, ColumnAttempts, ColumnRetryPercent,
		ColumnIdempotent, ColumnDeadline, ColumnLatency, ColumnObjective, ColumnCutOff, ColumnColdRate, ColumnNumber,
	}
}

// optional reports whether a file may omit the column, as files exported before the column existed do.
func (cl Column) optional() bool {
	return cl == ColumnLatency || cl == ColumnAttempts || cl == ColumnColdRate
}
