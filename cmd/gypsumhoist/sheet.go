package main

import (
	"encoding/csv"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// tableReplaceCmd replaces the table by a sheet.
type tableReplaceCmd struct {
	operatorFlags

	File    string        `arg:"" help:"CSV file as export writes it; the numbers of its rows count nothing." type:"existingfile"`
	Version uint64        `required:"" help:"Version of the sheet, above that of its base."`
	Base    uint64        `required:"" help:"Version of the sheet that it was made from, 0 for the first one."`
	Keys    string        `help:"CSV file with a workspace and the SHA-256 of a key, in hex, a line. It takes the place of all keys; without it they stay." type:"existingfile"`
	Wait    time.Duration `help:"How long to wait until the sheet is in force everywhere." default:"3s"`
}

// Run replaces the table. If the same file, version and base are sent again, the answer is that to the first request.
func (tr *tableReplaceCmd) Run() error {
	data, err := os.ReadFile(tr.File)
	if err != nil {
		return err
	}
	keys, err := tr.readKeys()
	if err != nil {
		return err
	}
	rq := &registrarpb.ReplaceRequest{
		Version: tr.Version, Base: tr.Base, Csv: string(data), Keys: keys, KeepKeys: tr.Keys == "",
		WaitMs: uint32(max(tr.Wait, 0).Milliseconds()),
	}
	answer, err := callOperatorPort(&tr.operatorFlags, tr.Wait, rq, registrarpb.OfficeClient.Replace)
	if err != nil {
		return fmt.Errorf("%w\nTo resend the same sheet: repeat the command and leave the file as it is", err)
	}
	return tr.printEdit(answer)
}

// readKeys reads the file of keys. It returns no keys and no error if no file is given.
func (tr *tableReplaceCmd) readKeys() ([]*registrarpb.SheetKey, error) {
	if tr.Keys == "" {
		return nil, nil
	}
	data, err := os.ReadFile(tr.Keys)
	if err != nil {
		return nil, err
	}
	rd := csv.NewReader(strings.NewReader(string(data)))
	rd.FieldsPerRecord = 2
	records, err := rd.ReadAll()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", tr.Keys, err)
	}
	var keys []*registrarpb.SheetKey
	for line, rc := range records {
		hash, err := hex.DecodeString(strings.TrimSpace(rc[1]))
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %q is no SHA-256 in hex", tr.Keys, line+1, rc[1])
		}
		keys = append(keys, &registrarpb.SheetKey{Workspace: strings.TrimSpace(rc[0]), Hash: hash})
	}
	if len(keys) == 0 {
		return nil, errors.New(tr.Keys + " names no key; leave --keys out to let the present ones stay")
	}
	return keys, nil
}

// tableSheetCmd shows the version of the sheet in force.
type tableSheetCmd struct {
	operatorFlags
}

// Run prints the version.
func (ts *tableSheetCmd) Run() error {
	answer, err := callOperatorPort(&ts.operatorFlags, 0, &registrarpb.ReadSheetRequest{}, registrarpb.OfficeClient.ReadSheet)
	if err != nil {
		return err
	}
	if ts.JSON {
		return ts.printJSON(answer)
	}
	_, err = fmt.Fprintf(ts.writer(), "Sheet version %d is in force, since revision %d.\n", answer.GetVersion(), answer.GetRevision())
	return err
}
