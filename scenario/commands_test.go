package scenario_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"rsc.io/script"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// commands returns the commands of the scripts.
func (sim *simulation) commands() map[string]script.Cmd {
	cmds := map[string]script.Cmd{}
	add := func(name, args, summary string, run func(args []string) error) {
		cmds[name] = script.Command(script.CmdUsage{Summary: summary, Args: args},
			func(_ *script.State, args ...string) (script.WaitFunc, error) {
				if sim.skipped {
					return nil, nil
				}
				return nil, run(args)
			})
	}
	// The baseline has no operators and no policy, so commands that act on these do nothing there.
	fleetOnly := func(name, args, summary string, run func(args []string) error) {
		add(name, args, summary, func(args []string) error {
			if sim.baseline {
				return nil
			}
			return run(args)
		})
	}
	add("fleet", "SITE", "start a site", sim.doFleet)
	add("load", "NAME factor=F [workspace=W] [domain=D] [sendings=N] [pause=D] [orders=N] [heeds] [poison=S] [class=C]",
		"start to send operations (orders), each in up to N attempts (sendings)", sim.doLoad)
	add("stop", "NAME", "end a load", sim.doStop)
	add("wait", "DURATION", "let virtual time pass", sim.doWait)
	add("mark", "NAME", "name the current time", func(args []string) error { sim.marks[args[0]] = time.Now(); return nil })
	add("slow", "SERVICE FACTOR", "set the factor on the service times of a service", sim.doSlow)
	fleetOnly("cold", "INSTANCE FACTOR", "set the factor on the service times of one upstream, as after a cold start", sim.doCold)
	add("lag", "SERVICE SECONDS", "make a service announce the load that it had so long ago", sim.doLag)
	add("lie", "SERVICE LOAD", "make a service announce a false load; a negative one ends that", sim.doLie)
	add("cut", "DOMAIN...", "partition failure domains from all others", sim.doCut)
	add("heal", "DOMAIN...", "end the partition of failure domains", sim.doHeal)
	add("freeze", "DOMAIN", "silence the open connections of a failure domain for good; new ones work", sim.doFreeze)
	fleetOnly("crash", "INSTANCE", "terminate an instance at once", sim.doCrash)
	fleetOnly("run", "INSTANCE", "start an instance", sim.doRun)
	fleetOnly("revive", "SERVICE", "restart the crashed upstreams of a service", sim.doRevive)
	fleetOnly("crashes", "SERVICE", "count the upstreams of a service that crashed since the start", sim.doCrashes)
	fleetOnly("drain", "INSTANCE", "shut an instance down gracefully", sim.doDrain)
	fleetOnly("withdraw", "WORKSPACE", "withdraw the workspace's key", sim.doWithdraw)
	fleetOnly("evacuate", "DOMAIN", "evacuate a failure domain", func(args []string) error { return sim.doEvacuate(args[0], false) })
	fleetOnly("restore", "DOMAIN", "end the evacuation of a failure domain", func(args []string) error { return sim.doEvacuate(args[0], true) })
	fleetOnly("runs", "DOMAIN MARK MARK", "count the requests that upstreams of a domain began between two marks", sim.doRuns)
	fleetOnly("edit", "WORKSPACE ROUTE COLUMN=VALUE...", "edit a row", sim.doEdit)
	fleetOnly("isolate", "INSTANCE", "partition one instance from all others", sim.doIsolate)
	fleetOnly("rejoin", "INSTANCE", "end the partition of an instance", sim.doRejoin)
	fleetOnly("wipe", "INSTANCE", "delete the data folder of an instance that does not run", sim.doWipe)
	fleetOnly("race", "WORKSPACE ROUTE INSTANCE INSTANCE", "edit a row with the same number at two instances concurrently, and resend the accepted edit", sim.doRace)
	fleetOnly("stuck", "WORKSPACE ROUTE INSTANCE", "fail if an isolated instance accepts an edit", sim.doStuck)
	fleetOnly("agree", "WORKSPACE ROUTE INSTANCE...", "fail unless all instances have the newest table in force, and the named ones the accepted row", sim.doAgree)
	add("measure", "MARK MARK [capacity=F]", "print the measures between two marks", sim.doMeasure)
	add("recover", "BEFORE BEFORE CAUSE END", "print the recovery time after a mark", sim.doRecover)
	fleetOnly("expect", "MEASURE OP VALUE", "fail unless the last value of a measure meets a bound", sim.doExpect)
	fleetOnly("judge", "", "fail if a guarantee was violated", sim.doJudge)
	add("nobaseline", "", "skip the baseline run of this script", func([]string) error { sim.skipped = sim.baseline; return nil })
	return cmds
}

func (sim *simulation) doFleet(args []string) error {
	si, ok := sites[args[0]]
	if !ok {
		return fmt.Errorf("unknown site %q", args[0])
	}
	return sim.startSite(si)
}

// options parses NAME=VALUE arguments; a bare NAME has the value "true".
func options(args []string) map[string]string {
	out := map[string]string{}
	for _, arg := range args {
		name, val, ok := strings.Cut(arg, "=")
		if !ok {
			val = "true"
		}
		out[name] = val
	}
	return out
}

// Timeouts of callers.
const (
	callerAttemptTimeout   = 5 * time.Second
	callerOperationTimeout = 15 * time.Second
)

// doLoad starts one load for each workspace and route, or only for those that the options select.
func (sim *simulation) doLoad(args []string) error {
	if sim.usedLoadNames[args[0]] {
		return fmt.Errorf("load name %q was already used: its operations would have the same names", args[0])
	}
	sim.usedLoadNames[args[0]] = true
	opt := options(args[1:])
	factor, err := strconv.ParseFloat(opt["factor"], 64)
	if err != nil {
		return fmt.Errorf("factor: %w", err)
	}
	attemptLimit, maxOperations, retryDelay := 1, 0, time.Second
	if txt := opt["orders"]; txt != "" {
		if maxOperations, err = strconv.Atoi(txt); err != nil {
			return err
		}
	}
	if txt := opt["sendings"]; txt != "" {
		if attemptLimit, err = strconv.Atoi(txt); err != nil {
			return err
		}
	}
	if txt := opt["pause"]; txt != "" {
		if retryDelay, err = time.ParseDuration(txt); err != nil {
			return err
		}
	}
	var domains []gypsumhoist.FailureDomain
	if txt := opt["domain"]; txt != "" {
		domains = append(domains, gypsumhoist.FailureDomain(txt))
	}
	for _, ws := range sim.site.workspaces {
		for _, rt := range sim.site.routes {
			if opt["workspace"] != "" && opt["workspace"] != string(ws.name) || opt["class"] != "" && opt["class"] != rt.class {
				continue
			}
			ca := emulator.Caller{
				Name: fmt.Sprintf("%s.%s.%s", args[0], ws.name, rt.class), Workspace: ws.name,
				Key: sim.keys[ws.name].secret, KeyID: sim.keys[ws.name].id, Method: rt.method, Route: rt.path,
				Service: sim.site.entry(), Class: rt.class, Rate: sim.site.usualDemand(ws, rt) * factor,
				EntryURLs: sim.entryURLs(domains...), UsesIdempotencyKey: rt.method == "POST",
				MaxAttempts: attemptLimit, MaxOperations: maxOperations, RetryDelay: retryDelay,
				HonorRetryAfter: opt["heeds"] != "", OperationTimeout: callerOperationTimeout, AttemptTimeout: callerAttemptTimeout, Poison: opt["poison"],
			}
			ld := emulator.NewLoad(ca, sim.fleet.Client(), sim.history, uint64(len(sim.loads)+1))
			sim.loads[ca.Name] = ld
			ld.Start()
		}
	}
	return nil
}

// doStop halts a load. The next measure or judge command, or the end of the simulation, waits for its operations in flight.
func (sim *simulation) doStop(args []string) error {
	for _, name := range slices.Sorted(maps.Keys(sim.loads)) {
		if strings.HasPrefix(name, args[0]+".") {
			sim.loads[name].Halt()
			sim.stoppingLoads = append(sim.stoppingLoads, sim.loads[name])
			delete(sim.loads, name)
		}
	}
	return nil
}

// waitForStoppingLoads waits for the operations in flight of halted loads.
func (sim *simulation) waitForStoppingLoads() {
	for _, ld := range sim.stoppingLoads {
		ld.Stop()
	}
	sim.stoppingLoads = nil
}

func (sim *simulation) doWait(args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

func (sim *simulation) doSlow(args []string) error {
	factor, err := strconv.ParseFloat(args[1], 64)
	for _, up := range sim.upstreams(gypsumhoist.Service(args[0])) {
		up.SetSlowdown(factor)
	}
	return err
}

func (sim *simulation) doCold(args []string) error {
	factor, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	pr := sim.fleet.Process(gypsumhoist.Instance(args[0]))
	if pr == nil {
		return fmt.Errorf("%s does not run", args[0])
	}
	pr.Upstream.SetSlowdown(factor)
	return nil
}

func (sim *simulation) doLag(args []string) error {
	seconds, err := strconv.Atoi(args[1])
	for _, up := range sim.upstreams(gypsumhoist.Service(args[0])) {
		up.SetReportLag(seconds)
	}
	return err
}

func (sim *simulation) doLie(args []string) error {
	load, err := strconv.Atoi(args[1])
	for _, up := range sim.upstreams(gypsumhoist.Service(args[0])) {
		up.SetFalseLoad(load)
	}
	return err
}

func domainsIn(args []string) []gypsumhoist.FailureDomain {
	var out []gypsumhoist.FailureDomain
	for _, arg := range args {
		out = append(out, gypsumhoist.FailureDomain(arg))
	}
	return out
}

func (sim *simulation) doCut(args []string) error {
	sim.network.CutBoth(sim.addresses(domainsIn(args)...))
	return nil
}

func (sim *simulation) doHeal(args []string) error {
	sim.network.HealBoth(sim.addresses(domainsIn(args)...))
	return nil
}

func (sim *simulation) doFreeze(args []string) error {
	sim.network.Freeze(sim.addresses(domainsIn(args)...))
	return nil
}

func (sim *simulation) doCrash(args []string) error {
	name := gypsumhoist.Instance(args[0])
	pr := sim.fleet.Process(name)
	if pr == nil {
		return fmt.Errorf("%s does not run", name)
	}
	sim.network.Crash(pr.Spec.Address())
	sim.fleet.Kill(name)
	return nil
}

func (sim *simulation) doRun(args []string) error {
	name := gypsumhoist.Instance(args[0])
	sim.history.AddEvent(checker.InstanceStarted{Instance: name, At: time.Now()})
	return sim.fleet.StartInstance(name)
}

// doCrashes counts the crashes so far: upstreams restarted by doRevive, and those that are down now.
func (sim *simulation) doCrashes(args []string) error {
	count := sim.restartedUpstreams
	for _, up := range sim.upstreams(gypsumhoist.Service(args[0])) {
		select {
		case <-up.Crashed():
			count++
		default:
		}
	}
	sim.measures["crashes"] = float64(count)
	fmt.Fprintf(sim.out, "%d upstreams of %s crashed\n", count, args[0])
	return nil
}

// doRevive restarts the crashed upstreams of a service.
func (sim *simulation) doRevive(args []string) error {
	for _, sp := range sim.fleet.InstanceSpecs() {
		pr := sim.fleet.Process(sp.Settings.Instance)
		if pr == nil || string(sp.Service.Name) != args[0] {
			continue
		}
		select {
		case <-pr.Upstream.Crashed():
			pr.Upstream.Stop()
			sim.restartedUpstreams++
			if err := sim.fleet.StartUpstream(sp.Settings.Instance); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

func (sim *simulation) doDrain(args []string) error {
	name := gypsumhoist.Instance(args[0])
	sim.history.AddEvent(checker.DrainStarted{Instance: name, At: time.Now()})
	return sim.fleet.Stop(context.Background(), name)
}

func (sim *simulation) doWithdraw(args []string) error {
	ws := gypsumhoist.Workspace(args[0])
	rq := &registrarpb.WithdrawKeyRequest{KeyId: sim.keys[ws].id, EditId: sim.nextEditID(), WaitMs: 7000}
	began := time.Now()
	an, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return sim.operatorClient().WithdrawKey(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return err
	}
	if an.GetInForce().GetEverywhere() {
		sim.history.AddEvent(checker.WithdrawalInForce{KeyID: sim.keys[ws].id, At: time.Now()})
	}
	sim.measures["in_force"] = time.Since(began).Seconds()
	fmt.Fprintf(sim.out, "withdraw %s: %s (%s)\n", ws, an.GetText(), time.Since(began))
	return nil
}

func (sim *simulation) doEvacuate(domain string, restore bool) error {
	rq := &registrarpb.EvacuateDomainRequest{Domain: domain, Restore: restore}
	began := time.Now()
	an, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return sim.operatorClient().EvacuateDomain(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return err
	}
	if an.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("order for %s: %s", domain, an.GetText())
	}
	sim.measures["acknowledged"] = time.Since(began).Seconds()
	fmt.Fprintf(sim.out, "restore=%t %s: acknowledged after %s\n", restore, domain, time.Since(began))
	return nil
}

func (sim *simulation) doRuns(args []string) error {
	domains := map[gypsumhoist.Instance]gypsumhoist.FailureDomain{}
	for _, sp := range sim.fleet.InstanceSpecs() {
		domains[sp.Settings.Instance] = sp.Settings.FailureDomain
	}
	count := 0
	for _, rn := range sim.history.Runs() {
		if string(domains[rn.Instance]) == args[0] && !rn.Began.Before(sim.marks[args[1]]) && rn.Began.Before(sim.marks[args[2]]) {
			count++
		}
	}
	sim.measures["runs"] = float64(count)
	fmt.Fprintf(sim.out, "%s..%s %s: %d runs\n", args[1], args[2], args[0], count)
	return nil
}

func (sim *simulation) doEdit(args []string) error {
	values := map[string]string{}
	maps.Copy(values, options(args[2:]))
	lr, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.ListRowsAnswer], error) {
		return sim.operatorClient().ListRows(ctx, connect.NewRequest(&registrarpb.ListRowsRequest{Workspace: args[0], Route: args[1]}))
	})
	if err != nil {
		return err
	}
	rq := &registrarpb.EditRowRequest{Workspace: args[0], Route: args[1], Values: values, EditId: sim.nextEditID(), WaitMs: 7000}
	if len(lr.GetRows()) > 0 {
		rq.Number = lr.GetRows()[0].GetNumber()
	}
	began := time.Now()
	an, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return sim.operatorClient().EditRow(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return err
	}
	sim.measures["in_force"] = time.Since(began).Seconds()
	fmt.Fprintf(sim.out, "edit %s %s: %s (%s)\n", args[0], args[1], an.GetText(), time.Since(began))
	if an.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("edit not accepted: %s", an.GetText())
	}
	return nil
}

func (sim *simulation) doMeasure(args []string) error {
	sim.waitForStoppingLoads()
	wn := checker.Window{From: sim.marks[args[0]], Until: sim.marks[args[1]]}
	capacity := sim.site.capacity
	if len(args) > 2 {
		factor, err := strconv.ParseFloat(strings.TrimPrefix(args[2], "capacity="), 64)
		if err != nil {
			return err
		}
		capacity *= factor
	}
	ms := checker.Measure(sim.history, wn, capacity, sim.rowLimits())
	fmt.Fprintf(sim.out, "%s..%s %s\n", args[0], args[1], ms)
	sim.measures["goodput"], sim.measures["worst"], sim.measures["wrongful"], sim.measures["attempts"] = ms.GoodputShare, ms.WorstShare, ms.WrongfulShare, ms.RunsPerOperation
	if os.Getenv("GYPSUMHOIST_SCENARIO_DETAILS") != "" {
		sim.printDetails(wn)
	}
	for name, share := range ms.ClassShares {
		sim.measures[name] = share
	}
	return nil
}

// printDetails prints how often each refusal occurred in a window.
func (sim *simulation) printDetails(wn checker.Window) {
	counts := map[string]int{}
	for _, op := range sim.history.Operations() {
		if op.Done || op.Sent.Before(wn.From) || !op.Sent.Before(wn.Until) {
			continue
		}
		for _, att := range op.Attempts {
			var text struct{ Reason, Detail string }
			if json.Unmarshal([]byte(att.Detail), &text) != nil {
				text.Detail = fmt.Sprint(att.Status)
			}
			counts[text.Reason+": "+text.Detail]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(sim.out, "  %5d %s\n", counts[name], name)
	}
}

// rowLimits returns the rate and burst of all rows of the entry routes.
func (sim *simulation) rowLimits() []checker.RowLimit {
	var out []checker.RowLimit
	for _, ws := range sim.site.workspaces {
		for _, rt := range sim.site.routes {
			out = append(out, checker.RowLimit{
				Workspace: ws.name, Route: rt.path, Rate: sim.site.rate(ws, rt), Burst: float64(sim.site.burst(ws, rt)),
			})
		}
	}
	return out
}

func (sim *simulation) doRecover(args []string) error {
	before := checker.Window{From: sim.marks[args[0]], Until: sim.marks[args[1]]}
	took, ok := checker.Recovery(sim.history, before, sim.marks[args[2]], sim.marks[args[3]], sim.rowLimits())
	fmt.Fprintf(sim.out, "recovered %v after %s: %v\n", ok, args[2], took)
	sim.measures["recovery"] = took.Seconds()
	return nil
}

func (sim *simulation) doExpect(args []string) error {
	want, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	got, ok := sim.measures[args[0]]
	if !ok {
		return fmt.Errorf("no measure %q so far", args[0])
	}
	if args[1] == ">=" && got >= want || args[1] == "<=" && got <= want {
		return nil
	}
	return fmt.Errorf("%s is %.4f, want %s %s", args[0], got, args[1], args[2])
}

func (sim *simulation) doJudge([]string) error {
	sim.waitForStoppingLoads()
	violations := checker.Check(sim.history)
	if len(violations) == 0 {
		return nil
	}
	var lines []string
	for _, vl := range violations[:min(len(violations), 10)] {
		lines = append(lines, vl.String())
	}
	return fmt.Errorf("%d guarantee violations:\n%s", len(violations), strings.Join(lines, "\n"))
}
