package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// printShards prints the state of the shard groups, which keep rates and claims, and the warnings about rows.
func (sc *statusCmd) printShards() error {
	an, err := sc.fetch(http.MethodGet, "/status/shards")
	if err != nil {
		return err
	}
	if an.status == http.StatusNotFound {
		// An instance of an earlier version does not serve this path.
		_, err := fmt.Fprintln(sc.writer(), "\nThis instance doesn't tell about shard groups.")
		return err
	}
	var sh server.ShardStatus
	if err := an.decode(&sh, http.StatusOK); err != nil {
		return err
	}
	if err := sc.printDomainGroups(sh.Domains); err != nil {
		return err
	}
	if err := sc.printGroupWarnings(sh.Groups); err != nil {
		return err
	}
	for _, rw := range sh.Rows {
		for _, text := range rw.Warnings {
			if _, err := fmt.Fprintf(sc.writer(), "\nRow %s %s: %s.\n", rw.Workspace, rw.Route, text); err != nil {
				return err
			}
		}
	}
	return sc.printSilent(sh.Silent)
}

func (sc *statusCmd) printDomainGroups(domains []server.DomainGroups) error {
	if len(domains) == 0 {
		return nil
	}
	records := [][]string{{"\nfailure_domain", "shard_groups", "with_leader"}}
	for _, dg := range domains {
		records = append(records, []string{string(dg.Domain), strconv.Itoa(dg.Placed), strconv.Itoa(dg.Led)})
	}
	return sc.printColumns(records)
}

// domainWarning is a warning about a failure domain.
type domainWarning struct {
	domain gypsumhoist.FailureDomain
	text   string
}

// printGroupWarnings prints each warning about a failure domain once, with the shards that it concerns.
func (sc *statusCmd) printGroupWarnings(groups []server.GroupStatus) error {
	shards := map[domainWarning][]string{}
	var order []domainWarning
	for _, gs := range groups {
		if gs.Warning == "" {
			continue
		}
		wn := domainWarning{gs.Domain, gs.Warning}
		if shards[wn] == nil {
			order = append(order, wn)
		}
		shards[wn] = append(shards[wn], strconv.Itoa(gs.Shard))
	}
	for _, wn := range order {
		_, err := fmt.Fprintf(sc.writer(), "\n%s, shards %s: %s.\n", wn.domain, strings.Join(shards[wn], " "), wn.text)
		if err != nil {
			return err
		}
	}
	return nil
}
