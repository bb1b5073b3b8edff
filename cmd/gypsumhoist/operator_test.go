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

// soloLog is a replicated log of one member, in memory.
type soloLog struct {
	mu     sync.Mutex
	state  *registrar.State
	holder *registrar.Holder
}

func (sl *soloLog) Propose(_ context.Context, cmd []byte) ([]byte, error) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	answer := sl.state.Apply(cmd, time.Now())
	sl.holder.Take(sl.state.Table())
	return answer, nil
}

func (sl *soloLog) Barrier(context.Context) error { return nil }

// operator runs commands against an office of its own.
type operator struct {
	t  *testing.T
	at netip.AddrPort
	sl *soloLog
}

func newOperator(t *testing.T) *operator {
	sl := &soloLog{state: registrar.NewState(), holder: registrar.NewHolder()}
	of := registrar.NewOffice(registrar.WithProposer(sl), registrar.WithHolder(sl.holder),
		registrar.WithSheet(sl.state.Sheet))
	_, handler := of.Handler()
	sv := httptest.NewServer(handler)
	t.Cleanup(sv.Close)
	return &operator{t: t, at: netip.MustParseAddrPort(strings.TrimPrefix(sv.URL, "http://")), sl: sl}
}

// run parses a command line as main does and returns what it prints.
func (op *operator) run(args ...string) (string, error) {
	op.t.Helper()
	var out strings.Builder
	cmds := struct {
		Table  tableCmd  `cmd:""`
		Key    keyCmd    `cmd:""`
		Status statusCmd `cmd:""`
		Domain domainCmd `cmd:""`

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
		&cmds.Explain.operatorFlags, &cmds.Report.Burn.operatorFlags,
		&cmds.Quarantine.List.operatorFlags, &cmds.Quarantine.Lift.operatorFlags,
	} {
		of.out = &out
	}
	parser, err := kong.New(&cmds)
	if err != nil {
		op.t.Fatal(err)
	}
	ctx, err := parser.Parse(append(args, "--at", op.at.String()))
	if err != nil {
		return "", err
	}
	err = ctx.Run()
	return out.String(), err
}

func (op *operator) mustRun(want string, args ...string) string {
	op.t.Helper()
	out, err := op.run(args...)
	if err != nil || !strings.Contains(out, want) {
		op.t.Fatalf("%v printed %q, %v; want %q", args, out, err, want)
	}
	return out
}

func (op *operator) mustFail(want string, args ...string) {
	op.t.Helper()
	out, err := op.run(args...)
	if err == nil || !strings.Contains(err.Error(), want) {
		op.t.Fatalf("%v printed %q, %v; want an error with %q", args, out, err, want)
	}
}

func TestSheetCommands(t *testing.T) {
	op := newOperator(t)
	op.mustRun("is now number 1", "table", "set", "derwent", "/slips", "service=rolls", "rate=1.5", "burst=10")
	file := filepath.Join(t.TempDir(), "table.csv")
	csv := op.mustRun("derwent,/slips,rolls", "table", "export")
	write := func(old, now string) {
		if err := os.WriteFile(file, []byte(strings.Replace(csv, old, now, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("/slips", "/rolls")
	op.mustRun("version 3 is in force", "table", "replace", file, "--version=3", "--base=0")
	op.mustRun("was accepted before", "table", "replace", file, "--version=3", "--base=0")
	op.mustFail("there is no row", "table", "get", "derwent", "/slips")
	op.mustRun("Sheet version 3 is in force", "table", "sheet")
	write("/slips", "/fees")
	op.mustFail("Sheet version 3 is in force, but the new one was made from version 0", "table", "replace", file, "--version=4", "--base=0")
	op.mustFail("is not above version 3", "table", "replace", file, "--version=2", "--base=3")
	write(",1.5,", ",often,")
	op.mustFail("column rate", "table", "replace", file, "--version=5", "--base=3")
}

func TestTableCommands(t *testing.T) {
	op := newOperator(t)
	op.mustRun("is now number 1", "table", "set", "derwent", "/slips", "service=rolls", "rate=1.5", "burst=10")
	op.mustRun("is now number 2", "table", "set", "derwent", "/slips", "importance=90")
	op.mustRun("importance     90", "table", "get", "derwent", "/slips")
	op.mustRun("rows: 1.", "table", "list")
	op.mustRun(`"rate":`, "table", "list", "--json")
	op.mustFail(`is number 2, but the edit had seen number 1`, "table", "set", "--number=1", "derwent", "/slips", "rate=2")
	op.mustFail("column rate: value \"often\" is not allowed; allowed: ", "table", "set", "derwent", "/slips", "rate=often")
	op.mustFail("not of the form column=value", "table", "set", "derwent", "/slips", "rate")
	op.mustFail("there is no row", "table", "get", "derwent", "/none")
	op.mustRun("Revision 2", "status")
	op.mustFail("names no shard group", "domain", "drop", "hobart")

	file := filepath.Join(t.TempDir(), "table.csv")
	csv := op.mustRun("derwent,/slips,rolls", "table", "export")
	if err := os.WriteFile(file, []byte(strings.Replace(csv, ",1.5,", ",2.5,", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	op.mustRun("1 row changed", "table", "import", file)
	op.mustFail("Nothing was imported; changed since the export: 1 row", "table", "import", file)
	op.mustRun("is deleted", "table", "delete", "derwent", "/slips")
}

func TestKeyCommands(t *testing.T) {
	op := newOperator(t)
	key, _, _ := strings.Cut(op.mustRun("not shown again", "key", "grant", "derwent"), "\n")
	gr, ok := op.sl.holder.Current().Authenticate(key)
	if !ok || gr.Workspace != "derwent" {
		t.Fatalf("the printed key %q is not valid", key)
	}
	if out := op.mustRun(string(gr.KeyID), "key", "list"); strings.Contains(out, key) {
		t.Fatal("key list shows a key")
	}
	op.mustRun("is withdrawn", "key", "withdraw", "--edit-id=w", string(gr.KeyID))
	op.mustRun("is withdrawn", "key", "withdraw", "--edit-id=w", string(gr.KeyID))
	op.mustFail("There is no key", "key", "withdraw", string(gr.KeyID))
	op.at = netip.MustParseAddrPort("127.0.0.1:1")
	op.mustFail("no answer from the operator port 127.0.0.1:1", "key", "list")
}
