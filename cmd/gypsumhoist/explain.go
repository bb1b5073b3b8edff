package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// explainCmd shows what the instances decided about one request.
type explainCmd struct {
	operatorFlags

	Request string   `arg:"" help:"Request id, as the answer's Gypsumhoist-Request header gives it."`
	Log     []string `help:"Read saved log lines of any instances instead of asking the fleet; may be given several times." type:"existingfile" placeholder:"FILE"`
}

// Run prints the timeline of the request. It returns an error if no instance knows the request.
func (ec *explainCmd) Run() error {
	if len(ec.Log) > 0 {
		return ec.fromLogs()
	}
	an, err := ec.fetch(http.MethodGet, "/explain/"+url.PathEscape(ec.Request))
	if err != nil {
		return err
	}
	var ex explainer.Explanation
	if err := an.decode(&ex, http.StatusOK, http.StatusNotFound); err != nil {
		return err
	}
	if ec.JSON {
		err = ec.printBody(an)
	} else {
		err = explainer.WriteText(ec.writer(), ex)
	}
	if err == nil && an.status == http.StatusNotFound {
		return errors.New("the request is not known")
	}
	return err
}

// fromLogs prints the timeline of the request from saved log lines.
func (ec *explainCmd) fromLogs() error {
	ex := explainer.Explanation{Request: gypsumhoist.RequestID(ec.Request)}
	for _, name := range ec.Log {
		rcs, err := readLogFile(name, ex.Request)
		if err != nil {
			return err
		}
		ex.Records = append(ex.Records, rcs...)
	}
	explainer.SortRecords(ex.Records)
	if len(ex.Records) == 0 {
		return fmt.Errorf("the saved lines tell nothing of request %s", ec.Request)
	}
	if ec.JSON {
		return json.NewEncoder(ec.writer()).Encode(ex)
	}
	return explainer.WriteText(ec.writer(), ex)
}

func readLogFile(name string, id gypsumhoist.RequestID) ([]*explainer.Record, error) {
	fl, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer fl.Close()
	return explainer.ReadLog(fl, id)
}
