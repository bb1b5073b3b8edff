package registrar

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strings"
)

// importProblemsMax is the number of problems that an ImportError lists.
const importProblemsMax = 20

// byteOrderMark precedes the text in files that some spreadsheets write.
const byteOrderMark = "\ufeff"

// ImportError lists the invalid values of a CSV file. Nothing of the file was imported.
type ImportError struct {
	// Problems holds the first importProblemsMax problems in line order.
	Problems []*ValueError
	// More is the number of further problems.
	More int
}

// Error returns one line for each problem.
func (ie *ImportError) Error() string {
	lines := make([]string, 0, len(ie.Problems)+1)
	for _, ve := range ie.Problems {
		lines = append(lines, ve.Error())
	}
	if ie.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", ie.More))
	}
	return strings.Join(lines, "\n")
}

func (ie *ImportError) add(ve *ValueError) {
	if len(ie.Problems) < importProblemsMax {
		ie.Problems = append(ie.Problems, ve)
		return
	}
	ie.More++
}

// WriteCSV returns the rows as a CSV file that ParseCSV reads back.
func WriteCSV(rows []*Row) string {
	var sb strings.Builder
	wr := csv.NewWriter(&sb)
	columns := Columns()
	record := make([]string, len(columns))
	for ix, cl := range columns {
		record[ix] = string(cl)
	}
	// Writing to a strings.Builder never fails.
	_ = wr.Write(record)
	for _, rw := range rows {
		for ix, cl := range columns {
			record[ix] = rw.Text(cl)
		}
		_ = wr.Write(record)
	}
	wr.Flush()
	return sb.String()
}

// ParseCSV parses a file written by WriteCSV or saved by a spreadsheet: columns in any order,
// separated by commas or semicolons, with or without a byte order mark.
// In a new row (number blank or 0) blank values default to those of DefaultRow.
// If any value is not allowed, it returns no rows and an *ImportError.
func ParseCSV(txt string) ([]Row, error) {
	cp := newCSVParser(strings.TrimPrefix(txt, byteOrderMark))
	if !cp.readHeader() {
		return nil, &cp.problems
	}
	for cp.readRow() {
	}
	if len(cp.problems.Problems) > 0 {
		return nil, &cp.problems
	}
	return cp.rows, nil
}

// csvParser parses one file.
type csvParser struct {
	reader   *csv.Reader
	columns  []Column
	lines    map[rowName]int
	rows     []Row
	problems ImportError
}

func newCSVParser(txt string) *csvParser {
	rd := csv.NewReader(strings.NewReader(txt))
	rd.FieldsPerRecord = -1
	rd.TrimLeadingSpace = true
	header, _, _ := strings.Cut(txt, "\n")
	if strings.Count(header, ";") > strings.Count(header, ",") {
		rd.Comma = ';'
	}
	return &csvParser{reader: rd, lines: map[rowName]int{}}
}

// next returns the next non-blank record and its line. It returns nil at the end of the file and after an error.
func (cp *csvParser) next() ([]string, int) {
	for {
		record, err := cp.reader.Read()
		if errors.Is(err, io.EOF) {
			return nil, 0
		}
		if err != nil {
			cp.addSyntaxError(err)
			return nil, 0
		}
		if strings.TrimSpace(strings.Join(record, "")) == "" {
			continue
		}
		line, _ := cp.reader.FieldPos(0)
		return record, line
	}
}

func (cp *csvParser) addSyntaxError(err error) {
	ve := &ValueError{Line: 1, Allowed: "CSV with quotes that match: " + err.Error()}
	if pe := (*csv.ParseError)(nil); errors.As(err, &pe) {
		ve.Line = pe.Line
	}
	cp.problems.add(ve)
}

func (cp *csvParser) readHeader() bool {
	record, line := cp.next()
	seen := map[Column]bool{}
	for _, nm := range record {
		cl := Column(strings.ToLower(strings.TrimSpace(nm)))
		cp.columns = append(cp.columns, cl)
		if cl == "" {
			continue
		}
		if seen[cl] || !isColumn(cl) {
			cp.problems.add(&ValueError{Line: line, Column: Column(truncate(nm)), Value: truncate(nm), Allowed: columnList() + ", each once"})
		}
		seen[cl] = true
	}
	for _, cl := range Columns() {
		if !seen[cl] && !cl.optional() {
			cp.problems.add(&ValueError{Line: max(line, 1), Column: cl, Allowed: "a header that names this column"})
		}
	}
	return len(cp.problems.Problems) == 0
}

func isColumn(cl Column) bool {
	for _, known := range Columns() {
		if cl == known {
			return true
		}
	}
	return false
}

// readRow reads one row and reports whether there may be more.
func (cp *csvParser) readRow() bool {
	record, line := cp.next()
	if record == nil {
		return false
	}
	values := map[Column]string{}
	for ix, vl := range record {
		vl = strings.TrimSpace(vl)
		if ix < len(cp.columns) && cp.columns[ix] != "" {
			values[cp.columns[ix]] = vl
			continue
		}
		if vl != "" {
			cp.problems.add(&ValueError{
				Line: line, Column: Column(fmt.Sprintf("number %d of the line", ix+1)), Value: truncate(vl),
				Allowed: "nothing, as the header names no such column",
			})
		}
	}
	cp.addRow(values, line)
	return true
}

func (cp *csvParser) addRow(values map[Column]string, line int) {
	rw := DefaultRow("", "")
	valid := true
	isNew := values[ColumnNumber] == "" || values[ColumnNumber] == "0"
	for _, cl := range Columns() {
		if _, given := values[cl]; values[cl] == "" && (isNew || !given && cl.optional()) {
			continue
		}
		if err := rw.Set(cl, values[cl]); err != nil {
			cp.addError(err, line)
			valid = false
		}
	}
	if !valid {
		return
	}
	if err := rw.Check(); err != nil {
		cp.addError(err, line)
		return
	}
	nm := rowName{rw.Workspace, rw.Route}
	if first := cp.lines[nm]; first > 0 {
		cp.addError(&ValueError{
			Row: rw.Name(), Column: ColumnRoute, Value: rw.Route,
			Allowed: fmt.Sprintf("each row once; line %d has it, too", first),
		}, line)
		return
	}
	cp.lines[nm] = line
	cp.rows = append(cp.rows, rw)
}

func (cp *csvParser) addError(err error, line int) {
	ve := (*ValueError)(nil)
	if errors.As(err, &ve) {
		ve.Line = line
		cp.problems.add(ve)
	}
}
