package main

import (
	"fmt"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// domainCmd groups the commands on failure domains.
type domainCmd struct {
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
