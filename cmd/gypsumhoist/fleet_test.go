package main

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fakeAnswers are the answers of a fake operator port, by method and path.
var fakeAnswers = map[string]struct {
	status int
	body   string
}{
	"GET /explain/r1": {200, `{"request":"r1","records":[{"request":"r1","instance":"n1","method":"GET","workspace":"derwent",
		"route":"/slips","row_number":3,"revision":17,"status":429,"verdict":"not_run","reason":"rate",
		"steps":[{"after_ns":1000000,"duty":"limiter","what":"refused","detail":"rate spent"}]}],"silent":["n9"]}`},
	"GET /explain/r2": {404, `{"request":"r2","records":[]}`},
	"GET /report/burn": {200, `{"rows":[{"workspace":"derwent","route":"/slips","objective":99900,"level":"page",
		"windows":[{"good":1,"bad":3}],"burn":[750,0,0,0,0]}],"answered":2,"silent":["n9"]}`},
	"GET /quarantine": {200, `{"suspects":[{"id":"abcd","workspace":"derwent","route":"/slips","method":"POST","target":"/slips/7",
		"quarantined":true,"deaths":["n1","n2"],"left_s":90,"known_at":["n3"]}]}`},
	"POST /quarantine/lift/abcd": {200, `{"instance":"n3"}`},
	"GET /status/work/hobart": {200, `{"failure_domain":"hobart","evacuated":true,"revision":7,"requests":3,"partial":true,
		"instances":[{"instance":"n1","failure_domain":"hobart","revision":7,"requests":3}],"silent":["n9"]}`},
	"GET /route": {200, `{"instance":"n1","revision":17,"table_age_ns":200000000,"workspace":"derwent","route":"/slips","row_number":3,
		"importance":70,"deadline_ns":1500000000,"retries":2,"throttle":{"share":0.5,"chance":0,"retry_after_min_ns":250000000},
		"limits":[{"route":"/slips","rate_per_s":2.5,"burst":7,"tokens":3,"outlook":"takes_token"}],
		"services":[{"service":"rolls","share":1,"next":true,"forecast":{"cut_off":80,"reports":5,"below":true},"forecast_further":{},
		"refusal":{"component":"throttler","reason":"overload","status":503,"retry_after_ns":250000000,"retry_after_max_ns":750000000,"detail":"too few"},
		"routing":{"known":true,"next":"n3","next_reason":"probe","candidates":[
		{"instance":"n2","failure_domain":"hobart","state":"ready","share":1,"slots":20,"load":4.5,"slow_start":0.25,
		"node_report_age_ns":30000000,"predicted_completion_ns":12000000},
		{"instance":"n3","failure_domain":"hobart","state":"ready","excluded":"ejected","ejected_for_ns":400000000,"slow_start":1}]}}]}`},
	"GET /status/work/nowhere":   {404, `{}`},
	"POST /quarantine/lift/none": {404, `{"error":"suspect none is not known","silent":["n9"]}`},
}

func newFakePort(t *testing.T) *commandRunner {
	sv := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		an, ok := fakeAnswers[req.Method+" "+req.URL.Path]
		if !ok {
			http.NotFound(wr, req)
			return
		}
		wr.WriteHeader(an.status)
		_, _ = wr.Write([]byte(an.body))
	}))
	t.Cleanup(sv.Close)
	return &commandRunner{t: t, at: netip.MustParseAddrPort(strings.TrimPrefix(sv.URL, "http://"))}
}

func TestExplainCommand(t *testing.T) {
	cr := newFakePort(t)
	out := cr.mustRun("row derwent /slips number 3, revision 17", "explain", "r1")
	for _, want := range []string{"n1 (entry)", "limiter", "rate spent", "not_run 429", "No answer from n9"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q lacks %q", out, want)
		}
	}
	cr.mustRun(`"row_number":3`, "explain", "r1", "--json")
	cr.mustFail("not known", "explain", "r2")
}

// Guards against a refusal or an exclusion that the text leaves out.
func TestRouteCommand(t *testing.T) {
	cr := newFakePort(t)
	out := cr.mustRun("Row derwent /slips number 3: importance 70", "route", "GET", "/slips", "--workspace=derwent")
	for _, want := range []string{
		"From n1, revision 17", "3 tokens here, takes_token", "cut-off 80 by 5 reports, the newest 0s old (the request is below it)",
		"Refused by the throttler: overload (503), Retry-After 250ms to 750ms: too few.", "The next attempt goes to n3 (probe)",
		"1.000", "4.5/20", "30ms", "12ms", "slow start at 0.25", "ejected, no probes for 400ms",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("%q lacks %q", out, want)
		}
	}
	cr.mustRun(`"row_number":3`, "route", "GET", "/slips", "--json")
}

func TestReportBurnCommand(t *testing.T) {
	cr := newFakePort(t)
	out := cr.mustRun("750.00", "report", "burn")
	for _, want := range []string{"page", "derwent", "99.9%", "No answer from n9"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q lacks %q", out, want)
		}
	}
	cr.mustRun(`"answered":2`, "report", "burn", "--json")
	file := filepath.Join(t.TempDir(), "burn.html")
	cr.mustRun("is written", "report", "burn", "--html", file)
	page, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(page), "</html>") {
		t.Errorf("page %q, %v", page, err)
	}
	cr.mustFail("not a directory", "report", "burn", "--html", filepath.Join(file, "x", "y"))
}

// An operator must not take a domain for empty whose instances are silent or partly unknown.
func TestDomainStatusCommand(t *testing.T) {
	cr := newFakePort(t)
	out := cr.mustRun(`"hobart" is evacuated at revision 7; 3 requests`, "domain", "status", "hobart")
	for _, want := range []string{"n1", "may know only some", "No answer from n9"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q lacks %q", out, want)
		}
	}
	cr.mustRun(`"evacuated":true`, "domain", "status", "hobart", "--json")
	cr.mustFail("no instance of failure domain", "domain", "status", "nowhere")
}

func TestQuarantineCommands(t *testing.T) {
	cr := newFakePort(t)
	out := cr.mustRun("quarantined", "quarantine", "list")
	for _, want := range []string{"POST /slips/7", "n1, n2", "1m30s", "abcd"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q lacks %q", out, want)
		}
	}
	cr.mustRun("Lifted at n3", "quarantine", "lift", "abcd")
	cr.mustFail("is not known", "quarantine", "lift", "none")
	cr.at = netip.MustParseAddrPort("127.0.0.1:1")
	cr.mustFail("choose another instance with --at", "quarantine", "list")
}
