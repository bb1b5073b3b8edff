package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// tableCmd groups the commands that show and edit the table.
type tableCmd struct {
	List   tableListCmd   `cmd:"" help:"List the rows."`
	Get    tableGetCmd    `cmd:"" help:"Show one row, a column a line."`
	Set    tableSetCmd    `cmd:"" help:"Change columns of a row, or add the row."`
	Delete tableDeleteCmd `cmd:"" help:"Delete a row."`
	Import tableImportCmd `cmd:"" help:"Put all rows of a CSV file in place, or none of them."`
	Export tableExportCmd `cmd:"" help:"Write all rows as a CSV file that import takes back."`

	Replace tableReplaceCmd `cmd:"" help:"Put a whole CSV file in the place of all rows, while the sheet in force is the one that it was made from."`
	Sheet   tableSheetCmd   `cmd:"" help:"Say which sheet is in force."`
}

// rowFlags name a row.
type rowFlags struct {
	Workspace string `arg:"" help:"Workspace of the row."`
	Route     string `arg:"" help:"Route of the row, a path prefix such as /slips."`
}

// tableListCmd lists the rows.
type tableListCmd struct {
	operatorFlags

	Workspace string `help:"List the rows of this workspace only."`
}

// Run lists the rows.
func (tl *tableListCmd) Run() error {
	answer, err := callOperatorPort(&tl.operatorFlags, 0, &registrarpb.ListRowsRequest{Workspace: tl.Workspace},
		registrarpb.OfficeClient.ListRows)
	if err != nil {
		return err
	}
	if tl.JSON {
		return tl.printJSON(answer)
	}
	heads := make([]string, 0, len(registrar.Columns()))
	for _, cl := range registrar.Columns() {
		heads = append(heads, string(cl))
	}
	records := [][]string{heads}
	for _, rt := range answer.GetRows() {
		records = append(records, columnValues(rt))
	}
	if err := tl.printColumns(records); err != nil {
		return err
	}
	_, err = fmt.Fprintf(tl.writer(), "\nRevision %d, rows: %d. %s\n", answer.GetRevision(), len(answer.GetRows()), answer.GetText())
	return err
}

// tableGetCmd shows one row.
type tableGetCmd struct {
	operatorFlags
	rowFlags
}

// Run prints the row with one column per line.
func (tg *tableGetCmd) Run() error {
	answer, err := getRow(&tg.operatorFlags, tg.rowFlags)
	if err != nil {
		return err
	}
	if len(answer.GetRows()) == 0 {
		return fmt.Errorf("there is no row %q %q at revision %d. %s", tg.Workspace, tg.Route, answer.GetRevision(), answer.GetText())
	}
	if tg.JSON {
		return tg.printJSON(answer.GetRows()[0])
	}
	var records [][]string
	values := columnValues(answer.GetRows()[0])
	for ix, cl := range registrar.Columns() {
		records = append(records, []string{string(cl), values[ix]})
	}
	return tg.printColumns(records)
}

// tableSetCmd changes or adds a row.
type tableSetCmd struct {
	operatorFlags
	editFlags
	rowFlags

	Values []string `arg:"" help:"Values as column=value; a new row needs service, rate and burst."`
	Number *uint64  `help:"Number of the row that the edit is based on, 0 for a new row. When it is left out, the present one is taken."`
}

// Run makes the edit.
func (ts *tableSetCmd) Run() error {
	rq := &registrarpb.EditRowRequest{
		Workspace: ts.Workspace, Route: ts.Route, EditId: ts.id(), WaitMs: ts.waitMS(), Values: map[string]string{},
	}
	for _, vl := range ts.Values {
		column, value, found := strings.Cut(vl, "=")
		if !found {
			return fmt.Errorf("%q is not of the form column=value", vl)
		}
		if _, twice := rq.Values[column]; twice {
			return fmt.Errorf("column %s is set twice", column)
		}
		rq.Values[column] = value
	}
	number, err := currentNumber(&ts.operatorFlags, ts.rowFlags, ts.Number)
	if err != nil {
		return err
	}
	rq.Number = number
	answer, err := callOperatorPort(&ts.operatorFlags, ts.Wait, rq, registrarpb.OfficeClient.EditRow)
	if err != nil {
		return ts.withResendHint(err, number)
	}
	return ts.printEdit(answer)
}

// tableDeleteCmd deletes a row.
type tableDeleteCmd struct {
	operatorFlags
	editFlags
	rowFlags

	Number *uint64 `help:"Number of the row that the edit is based on. When it is left out, the present one is taken."`
}

// Run deletes the row.
func (td *tableDeleteCmd) Run() error {
	number, err := currentNumber(&td.operatorFlags, td.rowFlags, td.Number)
	if err != nil {
		return err
	}
	rq := &registrarpb.DeleteRowRequest{
		Workspace: td.Workspace, Route: td.Route, Number: number, EditId: td.id(), WaitMs: td.waitMS(),
	}
	answer, err := callOperatorPort(&td.operatorFlags, td.Wait, rq, registrarpb.OfficeClient.DeleteRow)
	if err != nil {
		return td.withResendHint(err, number)
	}
	return td.printEdit(answer)
}

// tableImportCmd imports a CSV file.
type tableImportCmd struct {
	operatorFlags
	editFlags

	File string `arg:"" help:"CSV file as export writes it." type:"existingfile"`
}

// Run imports the file.
func (ti *tableImportCmd) Run() error {
	data, err := os.ReadFile(ti.File)
	if err != nil {
		return err
	}
	rq := &registrarpb.ImportRequest{Csv: string(data), EditId: ti.id(), WaitMs: ti.waitMS()}
	answer, err := callOperatorPort(&ti.operatorFlags, ti.Wait, rq, registrarpb.OfficeClient.Import)
	if err != nil {
		return fmt.Errorf("%w\nTo resend the same edit: add --edit-id=%s and leave the file as it is", err, ti.id())
	}
	return ti.printEdit(answer)
}

// tableExportCmd exports the table.
type tableExportCmd struct {
	operatorFlags
}

// Run writes the table as CSV to standard output. If the table may not be the newest, a note goes to standard error,
// because an older table cannot be imported again.
func (te *tableExportCmd) Run() error {
	answer, err := callOperatorPort(&te.operatorFlags, 0, &registrarpb.ExportRequest{}, registrarpb.OfficeClient.Export)
	if err != nil {
		return err
	}
	if te.JSON {
		return te.printJSON(answer)
	}
	if !answer.GetNewest() {
		fmt.Fprintln(os.Stderr, answer.GetText())
	}
	_, err = fmt.Fprint(te.writer(), answer.GetCsv())
	return err
}

func getRow(of *operatorFlags, rf rowFlags) (*registrarpb.ListRowsAnswer, error) {
	if rf.Workspace == "" || rf.Route == "" {
		return nil, errors.New("a row is named by its workspace and its route")
	}
	return callOperatorPort(of, 0, &registrarpb.ListRowsRequest{Workspace: rf.Workspace, Route: rf.Route}, registrarpb.OfficeClient.ListRows)
}

// currentNumber returns the row number that an edit is based on: the given one, or else that of the row in the table.
// It is 0 if the table has no such row.
func currentNumber(of *operatorFlags, rf rowFlags, given *uint64) (uint64, error) {
	if given != nil {
		return *given, nil
	}
	answer, err := getRow(of, rf)
	if err != nil {
		return 0, err
	}
	if len(answer.GetRows()) == 0 {
		return 0, nil
	}
	return answer.GetRows()[0].GetNumber(), nil
}

// withResendHint adds to an error how to resend the same edit, as its outcome may be unknown.
func (ef *editFlags) withResendHint(err error, number uint64) error {
	return fmt.Errorf("%w\nTo resend the same edit: repeat the command with --edit-id=%s --number=%d", err, ef.id(), number)
}

// columnValues returns the values of a row in the order of registrar.Columns.
func columnValues(rt *registrarpb.RowText) []string {
	return []string{
		rt.GetWorkspace(), rt.GetRoute(), rt.GetService(), rt.GetOpen(), rt.GetImportance(), rt.GetWeight(),
		rt.GetRate(), rt.GetBurst(), rt.GetRetries(), rt.GetAttempts(), rt.GetRetryPercent(), rt.GetIdempotent(), rt.GetDeadline(),
		rt.GetLatency(), rt.GetObjective(), rt.GetCutOff(), rt.GetColdRate(), strconv.FormatUint(rt.GetNumber(), 10),
	}
}
