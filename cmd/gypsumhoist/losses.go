package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/gypsumhoist/gypsumhoist/auditor"
)

// lossesCmd reports from saved logs which requests were lost and where each loss began.
type lossesCmd struct {
	Log   []string  `required:"" help:"Saved log lines of any instances: a file, or a folder whose files are all read; may be given several times." type:"existingpath" placeholder:"PATH"`
	Since time.Time `help:"Leave out what ended before this time (RFC 3339)."`
	Until time.Time `help:"Leave out what ended after this time (RFC 3339)."`
	HTML  string    `name:"html" help:"Write a page to this file instead." placeholder:"FILE" xor:"form"`
	JSON  bool      `name:"json" help:"Print JSON." xor:"form"`
	out   io.Writer
}

// Run prints the report. It returns an error if the logs hold no request.
func (lc *lossesCmd) Run() error {
	au := auditor.New()
	for _, path := range lc.Log {
		if err := filepath.WalkDir(path, func(name string, entry os.DirEntry, err error) error {
			if err != nil || !entry.Type().IsRegular() {
				return err
			}
			return readInto(au, name)
		}); err != nil {
			return err
		}
	}
	rp := au.Report(lc.Since, lc.Until)
	if rp.Requests == 0 {
		return errors.New("the saved lines tell of no request in that time")
	}
	wr := lc.writer()
	switch {
	case lc.HTML != "":
		return writeFile(lc.HTML, wr, func(page io.Writer) error { return auditor.WriteHTML(page, rp) })
	case lc.JSON:
		return json.NewEncoder(wr).Encode(rp)
	default:
		return auditor.WriteText(wr, rp)
	}
}

func (lc *lossesCmd) writer() io.Writer {
	if lc.out != nil {
		return lc.out
	}
	return os.Stdout
}

func readInto(au *auditor.Audit, name string) error {
	fl, err := os.Open(name)
	if err != nil {
		return err
	}
	defer fl.Close()
	return au.Read(fl)
}

// writeFile writes a file and reports on out that it is written.
func writeFile(name string, out io.Writer, write func(io.Writer) error) error {
	fl, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := write(fl); err != nil {
		// The file is incomplete; the error of the write matters more than that of Close.
		_ = fl.Close()
		return err
	}
	if err := fl.Close(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s is written.\n", name)
	return err
}
