package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	entryLine = `time=2026-06-12T12:58:59.9Z instance=east-2 event=1210 level=info name=request_answered request=bb hop=false workspace=fairs route=/slips service=slips importance=88 row=1 revision=8 table_age= status=502 verdict=may_have_run reason=connection took=120ms steps="router picked west-1"` + "\n"
	hopLine   = `time=2026-06-12T12:58:59.89Z instance=west-1 event=1211 level=info name=request_refused request=bb hop=true workspace=fairs route=/slips status=0 verdict=may_have_run reason=connection took=100ms steps="connector failed reset"` + "\n"
)

func saveLog(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "saved.log")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func TestExplainMergesSavedLogs(t *testing.T) {
	var out strings.Builder
	ec := explainCmd{Request: "bb", Log: []string{saveLog(t, hopLine), saveLog(t, entryLine)}}
	ec.out = &out
	if err := ec.Run(); err != nil {
		t.Fatal(err)
	}
	entry, hop := strings.Index(out.String(), "east-2 (entry)"), strings.Index(out.String(), "west-1 (hop)")
	if entry < 0 || hop < entry || !strings.Contains(out.String(), "failed reset") {
		t.Fatalf("want the entry before the hop, got:\n%s", out.String())
	}
}

func TestExplainFailsForAnUnknownRequest(t *testing.T) {
	ec := explainCmd{Request: "zz", Log: []string{saveLog(t, entryLine)}}
	ec.out = &strings.Builder{}
	if err := ec.Run(); err == nil || !strings.Contains(err.Error(), "zz") {
		t.Fatalf("got %v, want an error that names the request", err)
	}
}
