package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist/server"
)

// quarantineCmd groups the commands on quarantines.
type quarantineCmd struct {
	List quarantineListCmd `cmd:"" help:"List the requests that were in flight when an upstream crashed."`
	Lift quarantineLiftCmd `cmd:"" help:"Let a suspect run as any other request, at every node."`
}

// quarantineListCmd lists the suspects: requests that were in flight when an upstream crashed.
type quarantineListCmd struct {
	operatorFlags
}

// Run lists the suspects.
func (ql *quarantineListCmd) Run() error {
	an, err := ql.fetch(http.MethodGet, "/quarantine")
	if err != nil {
		return err
	}
	var qu server.Quarantine
	if err := an.decode(&qu, http.StatusOK); err != nil {
		return err
	}
	if ql.JSON {
		return ql.printBody(an)
	}
	if len(qu.Suspects) == 0 {
		if _, err := fmt.Fprintln(ql.writer(), "No request is under suspicion."); err != nil {
			return err
		}
		return ql.printSilent(qu.Silent)
	}
	records := [][]string{{"standing", "workspace", "route", "request", "upstreams_died", "counts_for", "known_at", "id"}}
	for _, su := range qu.Suspects {
		records = append(records, suspectColumns(su))
	}
	if err := ql.printColumns(records); err != nil {
		return err
	}
	return ql.printSilent(qu.Silent)
}

func suspectColumns(su server.Suspect) []string {
	status := "suspect"
	if su.Quarantined {
		status = "quarantined"
	}
	expiresIn := time.Duration(su.ExpiresInSeconds) * time.Second
	return []string{
		status, string(su.Workspace), su.Route, strings.TrimSpace(su.Method + " " + su.Target),
		joinNames(su.Deaths), expiresIn.String(), fmt.Sprintf("%d instances", len(su.KnownAt)), su.ID,
	}
}

// quarantineLiftCmd removes a request from the suspects and from quarantine.
type quarantineLiftCmd struct {
	operatorFlags

	ID string `arg:"" help:"Id of the suspect as quarantine list gives it."`
}

// Run removes the suspect.
func (ql *quarantineLiftCmd) Run() error {
	an, err := ql.fetch(http.MethodPost, "/quarantine/lift/"+url.PathEscape(ql.ID))
	if err != nil {
		return err
	}
	var lf server.LiftResult
	if err := an.decode(&lf, http.StatusOK, http.StatusNotFound); err != nil {
		return err
	}
	if ql.JSON {
		return ql.printBody(an)
	}
	if lf.Error != "" {
		if err := ql.printSilent(lf.Silent); err != nil {
			return err
		}
		return errors.New(lf.Error)
	}
	_, err = fmt.Fprintf(ql.writer(), "Lifted at %s, which tells all others.\n", lf.Instance)
	return err
}
