package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// statusCmd shows which revision of the table is in force in each failure domain.
type statusCmd struct {
	operatorFlags
}

// Run prints the status.
func (sc *statusCmd) Run() error {
	answer, err := callOperatorPort(&sc.operatorFlags, 0, &registrarpb.StatusRequest{}, registrarpb.OfficeClient.Status)
	if err != nil {
		return err
	}
	if sc.JSON {
		return sc.printJSON(answer)
	}
	if err := sc.printTable(answer); err != nil {
		return err
	}
	return sc.printShards()
}

func (sc *statusCmd) printTable(answer *registrarpb.StatusAnswer) error {
	if _, err := fmt.Fprintf(sc.writer(), "Revision %d. %s\n", answer.GetRevision(), answer.GetText()); err != nil {
		return err
	}
	if dms := answer.GetEvacuated(); len(dms) > 0 {
		if _, err := fmt.Fprintf(sc.writer(), "Evacuated: %s.\n", strings.Join(dms, ", ")); err != nil {
			return err
		}
	}
	if err := sc.printDomains(answer.GetInForce().GetDomains()); err != nil {
		return err
	}
	return sc.printControls(answer.GetControls())
}

func (sc *statusCmd) printDomains(domains []*registrarpb.DomainInForce) error {
	if len(domains) == 0 {
		return nil
	}
	records := [][]string{{"\nfailure_domain", "instances", "confirmed", "not_confirmed"}}
	for _, dm := range domains {
		var late []string
		for _, lt := range dm.GetLate() {
			heard := "never heard"
			if lt.GetHeard() != "" {
				heard = fmt.Sprintf("revision %d at %s", lt.GetRevision(), lt.GetHeard())
			}
			late = append(late, fmt.Sprintf("%s (%s)", lt.GetInstance(), heard))
		}
		records = append(records, []string{
			dm.GetDomain(), strconv.FormatUint(uint64(dm.GetInstances()), 10),
			strconv.FormatUint(uint64(dm.GetConfirmed()), 10), strings.Join(late, ", "),
		})
	}
	return sc.printColumns(records)
}

func (sc *statusCmd) printControls(controls []*registrarpb.ControlText) error {
	if len(controls) == 0 {
		return nil
	}
	records := [][]string{{"\ncontrol_instance", "failure_domain", "peer", "voter"}}
	for _, ct := range controls {
		records = append(records, []string{ct.GetInstance(), ct.GetDomain(), ct.GetPeer(), strconv.FormatBool(ct.GetVoter())})
	}
	return sc.printColumns(records)
}
