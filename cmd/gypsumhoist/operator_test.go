package main

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// singleMemberLog is a replicated log in memory with a single member.
type singleMemberLog struct {
	mu     sync.Mutex
	state  *registrar.State
	holder *registrar.Holder
}

func (ml *singleMemberLog) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	ml.mu.Lock()
	defer ml.mu.Unlock()
	answer := ml.state.Apply(cmd, time.Now())
	ml.holder.Update(ml.state.Table())
	return answer, nil
}

func (ml *singleMemberLog) Barrier(context.Context) error { return nil }

// commandRunner runs commands against an operator port.
type commandRunner struct {
	t   *testing.T
	at  netip.AddrPort
	log *singleMemberLog
}

func newCommandRunner(t *testing.T) *commandRunner {
	ml := &singleMemberLog{state: registrar.NewState(), holder: registrar.NewHolder()}
	service := registrar.NewOperatorService(registrar.WithProposer(ml), registrar.WithHolder(ml.holder),
		registrar.WithSheet(ml.state.Sheet))
	service.SetSources([]registrar.Source{{Instance: "n1", Domain: "hobart"}, {Instance: "n2", Domain: "kingston"}})
	_, handler := service.Handler()
	sv := httptest.NewServer(handler)
	t.Cleanup(sv.Close)
	return &commandRunner{t: t, at: netip.MustParseAddrPort(strings.TrimPrefix(sv.URL, "http://")), log: ml}
}

// run parses a command line as main does, runs it and returns its output.
func (cr *commandRunner) run(args ...string) (string, error) {
	cr.t.Helper()
	var out strings.Builder
	cmds := struct {
		Table  tableCmd  `cmd:""`
		Key    keyCmd    `cmd:""`
		Status statusCmd `cmd:""`
		Domain domainCmd `cmd:""`

		Route      routeCmd      `cmd:""`
		Explain    explainCmd    `cmd:""`
		Report     reportCmd     `cmd:""`
		Quarantine quarantineCmd `cmd:""`
	}{}
	for _, of := range []*operatorFlags{
		&cmds.Table.List.operatorFlags, &cmds.Table.Get.operatorFlags, &cmds.Table.Set.operatorFlags,
		&cmds.Table.Delete.operatorFlags, &cmds.Table.Import.operatorFlags, &cmds.Table.Export.operatorFlags,
		&cmds.Table.Replace.operatorFlags, &cmds.Table.Sheet.operatorFlags,
		&cmds.Key.Grant.operatorFlags, &cmds.Key.Withdraw.operatorFlags, &cmds.Key.List.operatorFlags,
		&cmds.Status.operatorFlags, &cmds.Domain.Drop.operatorFlags,
		&cmds.Domain.Evacuate.operatorFlags, &cmds.Domain.Restore.operatorFlags, &cmds.Domain.Status.operatorFlags,
		&cmds.Route.operatorFlags, &cmds.Explain.operatorFlags, &cmds.Report.Burn.operatorFlags,
		&cmds.Quarantine.List.operatorFlags, &cmds.Quarantine.Lift.operatorFlags,
	} {
		of.out = &out
	}
	parser, err := kong.New(&cmds)
	if err != nil {
		cr.t.Fatal(err)
	}
	ctx, err := parser.Parse(append(args, "--at", cr.at.String()))
	if err != nil {
		return "", err
	}
	err = ctx.Run()
	return out.String(), err
}

func (cr *commandRunner) mustRun(want string, args ...string) string {
	cr.t.Helper()
	out, err := cr.run(args...)
	if err != nil || !strings.Contains(out, want) {
		cr.t.Fatalf("%v printed %q, %v; want %q", args, out, err, want)
	}
	return out
}

func (cr *commandRunner) mustFail(want string, args ...string) {
	cr.t.Helper()
	out, err := cr.run(args...)
	if err == nil || !strings.Contains(err.Error(), want) {
		cr.t.Fatalf("%v printed %q, %v; want an error with %q", args, out, err, want)
	}
}

func TestSheetCommands(t *testing.T) {
	cr := newCommandRunner(t)
	cr.mustRun("is now number 1", "table", "set", "derwent", "/slips", "service=rolls", "rate=1.5", "burst=10")
	file := filepath.Join(t.TempDir(), "table.csv")
	csv := cr.mustRun("derwent,/slips,rolls", "table", "export")
	write := func(old, now string) {
		if err := os.WriteFile(file, []byte(strings.Replace(csv, old, now, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("/slips", "/rolls")
	cr.mustRun("version 3 is in force", "table", "replace", file, "--version=3", "--base=0")
	cr.mustRun("was accepted before", "table", "replace", file, "--version=3", "--base=0")
	cr.mustFail("there is no row", "table", "get", "derwent", "/slips")
	cr.mustRun("Sheet version 3 is in force", "table", "sheet")
	write("/slips", "/fees")
	cr.mustFail("Sheet version 3 is in force, but the new one was made from version 0", "table", "replace", file, "--version=4", "--base=0")
	cr.mustFail("is not above version 3", "table", "replace", file, "--version=2", "--base=3")
	write(",1.5,", ",often,")
	cr.mustFail("column rate", "table", "replace", file, "--version=5", "--base=3")
}

func TestTableCommands(t *testing.T) {
	cr := newCommandRunner(t)
	cr.mustRun("is now number 1", "table", "set", "derwent", "/slips", "service=rolls", "rate=1.5", "burst=10")
	cr.mustRun("is now number 2", "table", "set", "derwent", "/slips", "importance=90")
	cr.mustRun("importance     90", "table", "get", "derwent", "/slips")
	cr.mustRun("rows: 1.", "table", "list")
	cr.mustRun(`"rate":`, "table", "list", "--json")
	cr.mustFail(`is number 2, but the edit had seen number 1`, "table", "set", "--number=1", "derwent", "/slips", "rate=2")
	cr.mustFail("column rate: value \"often\" is not allowed; allowed: ", "table", "set", "derwent", "/slips", "rate=often")
	cr.mustFail("not of the form column=value", "table", "set", "derwent", "/slips", "rate")
	cr.mustFail("there is no row", "table", "get", "derwent", "/none")
	cr.mustRun("Revision 2", "status")
	cr.mustFail("names no shard group", "domain", "drop", "hobart")

	file := filepath.Join(t.TempDir(), "table.csv")
	csv := cr.mustRun("derwent,/slips,rolls", "table", "export")
	if err := os.WriteFile(file, []byte(strings.Replace(csv, ",1.5,", ",2.5,", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	cr.mustRun("1 row changed", "table", "import", file)
	cr.mustFail("Nothing was imported; changed since the export: 1 row", "table", "import", file)
	cr.mustRun("is deleted", "table", "delete", "derwent", "/slips")
}

func TestDomainCommands(t *testing.T) {
	cr := newCommandRunner(t)
	cr.mustRun("Failure domain \"hobart\" is evacuated.", "domain", "evacuate", "hobart")
	cr.mustRun("was evacuated already", "domain", "evacuate", "hobart")
	cr.mustRun("Evacuated: hobart.", "status")
	// Within 3 s of its start an instance doesn't refuse a domain that it does not know: it may not know all yet.
	cr.mustFail("nothing was changed", "domain", "evacuate", "nowhere")
	cr.mustRun(`"revision":`, "domain", "restore", "hobart", "--json")
	cr.mustRun("was not evacuated", "domain", "restore", "hobart")
	cr.mustRun("Revision 2", "status")
}

func TestKeyCommands(t *testing.T) {
	cr := newCommandRunner(t)
	key, _, _ := strings.Cut(cr.mustRun("not shown again", "key", "grant", "derwent"), "\n")
	gr, ok := cr.log.holder.Current().Authenticate(key)
	if !ok || gr.Workspace != "derwent" {
		t.Fatalf("the printed key %q is not valid", key)
	}
	if out := cr.mustRun(string(gr.KeyID), "key", "list"); strings.Contains(out, key) {
		t.Fatal("key list shows a key")
	}
	cr.mustRun("is withdrawn", "key", "withdraw", "--edit-id=w", string(gr.KeyID))
	cr.mustRun("is withdrawn", "key", "withdraw", "--edit-id=w", string(gr.KeyID))
	cr.mustFail("There is no key", "key", "withdraw", string(gr.KeyID))
	cr.at = netip.MustParseAddrPort("127.0.0.1:1")
	cr.mustFail("no answer from the operator port 127.0.0.1:1", "key", "list")
}
