package main

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// domainCmd groups the commands on failure domains.
type domainCmd struct {
	Evacuate domainEvacuateCmd `cmd:"" help:"Send no new request to the upstreams of a failure domain, from any node, until it is restored."`
	Restore  domainRestoreCmd  `cmd:"" help:"End the evacuation of a failure domain."`
	Status   domainStatusCmd   `cmd:"" help:"Show whether a failure domain is evacuated, and how many requests run at its upstreams."`

	Drop domainDropCmd `cmd:"" help:"Forget a failure domain that was taken out for good, so that edits wait for it no longer."`
}

// domainDropCmd removes a failure domain from the table.
type domainDropCmd struct {
	operatorFlags
	editFlags

	Domain string `arg:"" help:"The failure domain. All its instances must be gone for good."`
}

// Run drops the domain.
func (dd *domainDropCmd) Run() error {
	rq := &registrarpb.DropDomainRequest{Domain: dd.Domain, EditId: dd.id(), WaitMs: dd.waitMS()}
	answer, err := callOperatorPort(&dd.operatorFlags, dd.Wait, rq, registrarpb.OfficeClient.DropDomain)
	if err != nil {
		return fmt.Errorf("%w\nTo resend the same edit: repeat the command with --edit-id=%s", err, dd.id())
	}
	return dd.printEdit(answer)
}

// evacuationFlags are the flags of the commands that evacuate and restore a failure domain.
type evacuationFlags struct {
	operatorFlags

	Wait   time.Duration `help:"How long to wait until the change is in force everywhere." default:"3s"`
	Domain string        `arg:"" help:"The failure domain."`
}

// order sends an order. A resend is harmless: a fulfilled order changes nothing.
func (ef *evacuationFlags) order(restore bool) error {
	rq := &registrarpb.EvacuateDomainRequest{Domain: ef.Domain, Restore: restore, WaitMs: uint32(max(ef.Wait, 0).Milliseconds())}
	answer, err := callOperatorPort(&ef.operatorFlags, ef.Wait, rq, registrarpb.OfficeClient.EvacuateDomain)
	if err != nil {
		return fmt.Errorf("%w\nRepeat the command; an order that is already fulfilled changes nothing", err)
	}
	return ef.printEdit(answer)
}

// domainEvacuateCmd evacuates a failure domain.
type domainEvacuateCmd struct{ evacuationFlags }

// Run evacuates the domain.
func (de *domainEvacuateCmd) Run() error { return de.order(false) }

// domainRestoreCmd ends the evacuation of a failure domain.
type domainRestoreCmd struct{ evacuationFlags }

// Run restores the domain.
func (dr *domainRestoreCmd) Run() error { return dr.order(true) }

// domainStatusCmd shows whether a failure domain is evacuated and empty.
type domainStatusCmd struct {
	operatorFlags

	Domain string `arg:"" help:"The failure domain; ask an instance of it, as others may know only some of its instances."`
}

// Run prints the state of the domain.
func (ds *domainStatusCmd) Run() error {
	an, err := ds.fetch(http.MethodGet, "/status/work/"+url.PathEscape(ds.Domain))
	if err != nil {
		return err
	}
	var dw server.DomainWork
	if an.status == http.StatusNotFound {
		return fmt.Errorf("no instance of failure domain %q is known at %s", ds.Domain, ds.At)
	}
	if err := an.decode(&dw, http.StatusOK); err != nil {
		return err
	}
	if ds.JSON {
		return ds.printBody(an)
	}
	state := "not evacuated"
	if dw.Evacuated {
		state = "evacuated"
	}
	if _, err := fmt.Fprintf(ds.writer(), "Failure domain %q is %s at revision %d; %d requests run or wait at its upstreams.\n",
		dw.Domain, state, dw.Revision, dw.Requests); err != nil {
		return err
	}
	if dw.Partial {
		if _, err := fmt.Fprintln(ds.writer(), "This instance is of another failure domain and may know only some of its instances."); err != nil {
			return err
		}
	}
	records := [][]string{{"\ninstance", "revision", "requests"}}
	for _, iw := range dw.Instances {
		records = append(records, []string{string(iw.Instance), strconv.FormatUint(iw.Revision, 10), strconv.Itoa(iw.Requests)})
	}
	if err := ds.printColumns(records); err != nil {
		return err
	}
	return ds.printSilent(dw.Silent)
}
