package main

import (
	"crypto/rand"
	"fmt"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// keyCmd groups the commands on callers' keys.
type keyCmd struct {
	Grant    keyGrantCmd    `cmd:"" help:"Make a key for a workspace and show it once."`
	Withdraw keyWithdrawCmd `cmd:"" help:"End a key for good."`
	List     keyListCmd     `cmd:"" help:"List the granted keys by their ids."`
}

// keyGrantCmd grants a key.
type keyGrantCmd struct {
	operatorFlags
	editFlags

	Workspace string `arg:"" help:"Workspace that the key stands for."`
}

// Run generates the key locally and sends only its hash, so that a resend after a lost answer grants the same key.
func (kg *keyGrantCmd) Run() error {
	key, gr, err := registrar.MintKey(gypsumhoist.Workspace(kg.Workspace), rand.Reader)
	if err != nil {
		return err
	}
	rq := &registrarpb.GrantKeyRequest{
		Workspace: kg.Workspace, KeyId: string(gr.KeyID), KeyHash: gr.Hash[:], EditId: kg.id(), WaitMs: kg.waitMS(),
	}
	answer, err := callOperatorPort(&kg.operatorFlags, kg.Wait, rq, registrarpb.OfficeClient.GrantKey)
	if err != nil {
		return fmt.Errorf("%w\nIf key %s stands in `key list` later, withdraw it: its text was not shown", err, gr.KeyID)
	}
	if answer.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED || answer.GetKeyId() != string(gr.KeyID) {
		return kg.printEdit(answer)
	}
	answer.Key = key
	if kg.JSON {
		return kg.printJSON(answer)
	}
	_, err = fmt.Fprintf(kg.writer(), "%s\nThis is the key. It is kept nowhere and not shown again.\n%s\n", key, answer.GetText())
	return err
}

// keyWithdrawCmd withdraws a key.
type keyWithdrawCmd struct {
	operatorFlags
	editFlags

	KeyID string `arg:"" name:"key-id" help:"Id of the key, the part between the underscores."`
}

// Run withdraws the key and prints where that is in force.
func (kw *keyWithdrawCmd) Run() error {
	rq := &registrarpb.WithdrawKeyRequest{KeyId: kw.KeyID, EditId: kw.id(), WaitMs: kw.waitMS()}
	answer, err := callOperatorPort(&kw.operatorFlags, kw.Wait, rq, registrarpb.OfficeClient.WithdrawKey)
	if err != nil {
		return fmt.Errorf("%w\nTo resend the same edit: repeat the command with --edit-id=%s", err, kw.id())
	}
	return kw.printEdit(answer)
}

// keyListCmd lists the keys.
type keyListCmd struct {
	operatorFlags

	Workspace string `help:"List the keys of this workspace only."`
}

// Run lists the keys.
func (kl *keyListCmd) Run() error {
	answer, err := callOperatorPort(&kl.operatorFlags, 0, &registrarpb.ListKeysRequest{Workspace: kl.Workspace},
		registrarpb.OfficeClient.ListKeys)
	if err != nil {
		return err
	}
	if kl.JSON {
		return kl.printJSON(answer)
	}
	records := [][]string{{"workspace", "key_id", "granted"}}
	for _, ky := range answer.GetKeys() {
		records = append(records, []string{ky.GetWorkspace(), ky.GetKeyId(), ky.GetGranted()})
	}
	if err := kl.printColumns(records); err != nil {
		return err
	}
	_, err = fmt.Fprintf(kl.writer(), "\nRevision %d, keys: %d. %s\n", answer.GetRevision(), len(answer.GetKeys()), answer.GetText())
	return err
}
