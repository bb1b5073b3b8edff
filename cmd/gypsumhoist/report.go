package main

import (
	"io"
	"net/http"

	"github.com/gypsumhoist/gypsumhoist/reporter"
)

// reportCmd groups the reports on the fleet.
type reportCmd struct {
	Burn reportBurnCmd `cmd:"" help:"Say how fast each row spends what its objective allows to fail."`
}

// reportBurnCmd prints the burn rates of all rows.
type reportBurnCmd struct {
	operatorFlags

	HTML string `name:"html" help:"Write a page to this file instead." placeholder:"FILE"`
}

// Run prints the report.
func (rb *reportBurnCmd) Run() error {
	an, err := rb.fetch(http.MethodGet, "/report/burn")
	if err != nil {
		return err
	}
	var rp reporter.Report
	if err := an.decode(&rp, http.StatusOK); err != nil {
		return err
	}
	switch {
	case rb.HTML != "":
		return rb.writePage(rp)
	case rb.JSON:
		return rb.printBody(an)
	default:
		return reporter.WriteText(rb.writer(), rp)
	}
}

func (rb *reportBurnCmd) writePage(rp reporter.Report) error {
	return writeFile(rb.HTML, rb.writer(), func(page io.Writer) error { return reporter.WriteHTML(page, rp) })
}
