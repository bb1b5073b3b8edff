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

// commands returns the commands of the scenario language.
func (wd *world) commands() map[string]script.Cmd {
	cmds := map[string]script.Cmd{}
	add := func(name, args, summary string, run func(args []string) error) {
		cmds[name] = script.Command(script.CmdUsage{Summary: summary, Args: args},
			func(_ *script.State, args ...string) (script.WaitFunc, error) {
				if wd.skip {
					return nil, nil
				}
				return nil, run(args)
			})
	}
	// An operator's or the fleet's own act has no meaning for the baseline.
	policy := func(name, args, summary string, run func(args []string) error) {
		add(name, args, summary, func(args []string) error {
			if wd.baseline {
				return nil
			}
			return run(args)
		})
	}
	add("fleet", "SITE", "start a site", wd.doFleet)
	add("load", "NAME factor=F [workspace=W] [domain=D] [sendings=N] [pause=D] [orders=N] [heeds] [poison=S] [class=C]", "send orders", wd.doLoad)
	add("stop", "NAME", "end a load", wd.doStop)
	add("wait", "DURATION", "let time pass", wd.doWait)
	add("mark", "NAME", "name this moment", func(args []string) error { wd.marks[args[0]] = time.Now(); return nil })
	add("slow", "SERVICE FACTOR", "multiply the service times", wd.doSlow)
	policy("cold", "INSTANCE FACTOR", "multiply the service times of one upstream, as a cold start does", wd.doCold)
	add("lag", "SERVICE SECONDS", "report the load of so long ago", wd.doLag)
	add("lie", "SERVICE LOAD", "report a load that is not true; below zero ends it", wd.doLie)
	add("cut", "DOMAIN...", "cut failure domains off from all others", wd.doCut)
	add("heal", "DOMAIN...", "end their cut", wd.doHeal)
	add("freeze", "DOMAIN", "silence the domain's open connections for good", wd.doFreeze)
	policy("crash", "INSTANCE", "end an instance at once", wd.doCrash)
	policy("run", "INSTANCE", "start an instance", wd.doRun)
	policy("revive", "SERVICE", "start the crashed upstreams of a service again", wd.doRevive)
	policy("crashes", "SERVICE", "count the upstreams of a service that crashed since the start", wd.doCrashes)
	policy("drain", "INSTANCE", "stop an instance in a planned way", wd.doDrain)
	policy("withdraw", "WORKSPACE", "withdraw the workspace's key", wd.doWithdraw)
	policy("edit", "WORKSPACE ROUTE COLUMN=VALUE...", "edit a row", wd.doEdit)
	policy("isolate", "INSTANCE", "cut one instance off from all others", wd.doIsolate)
	policy("rejoin", "INSTANCE", "end that cut", wd.doRejoin)
	policy("wipe", "INSTANCE", "lose the disk of an instance that does not run", wd.doWipe)
	policy("race", "WORKSPACE ROUTE INSTANCE INSTANCE", "edit a row with equal numbers at two instances at once, and resend", wd.doRace)
	policy("stuck", "WORKSPACE ROUTE INSTANCE", "see that an isolated instance accepts no edit", wd.doStuck)
	policy("agree", "WORKSPACE ROUTE INSTANCE...", "see that all instances have the newest table in force, and the accepted row", wd.doAgree)
	add("measure", "MARK MARK [NAME]", "print the users' measures between two marks", wd.doMeasure)
	add("recover", "BEFORE BEFORE CAUSE END", "print the time to recover after a mark", wd.doRecover)
	policy("expect", "MEASURE OP VALUE", "fail unless the last measure holds", wd.doExpect)
	policy("judge", "", "fail if a promise was broken", wd.doJudge)
	add("nobaseline", "", "run this script with the fleet only", func([]string) error { wd.skip = wd.baseline; return nil })
	return cmds
}

func (wd *world) doFleet(args []string) error {
	si, ok := sites[args[0]]
	if !ok {
		return fmt.Errorf("no site %q", args[0])
	}
	return wd.start(si)
}

// options reads NAME=VALUE arguments; a bare word counts as true.
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

// Callers' habits where a script says nothing.
const (
	callerDeadline = 5 * time.Second
	callerPatience = 15 * time.Second
)

// doLoad starts one load for each workspace and route, or for those that are named.
func (wd *world) doLoad(args []string) error {
	if wd.named[args[0]] {
		return fmt.Errorf("there was a load %q before: its orders have the same names", args[0])
	}
	wd.named[args[0]] = true
	opt := options(args[1:])
	factor, err := strconv.ParseFloat(opt["factor"], 64)
	if err != nil {
		return fmt.Errorf("factor: %w", err)
	}
	sendings, orders, pause := 1, 0, time.Second
	if txt := opt["orders"]; txt != "" {
		if orders, err = strconv.Atoi(txt); err != nil {
			return err
		}
	}
	if txt := opt["sendings"]; txt != "" {
		if sendings, err = strconv.Atoi(txt); err != nil {
			return err
		}
	}
	if txt := opt["pause"]; txt != "" {
		if pause, err = time.ParseDuration(txt); err != nil {
			return err
		}
	}
	var domains []gypsumhoist.FailureDomain
	if txt := opt["domain"]; txt != "" {
		domains = append(domains, gypsumhoist.FailureDomain(txt))
	}
	for _, ws := range wd.site.workspaces {
		for _, rt := range wd.site.routes {
			if opt["workspace"] != "" && opt["workspace"] != string(ws.name) || opt["class"] != "" && opt["class"] != rt.class {
				continue
			}
			ca := emulator.Caller{
				Name: fmt.Sprintf("%s.%s.%s", args[0], ws.name, rt.class), Workspace: ws.name,
				Key: wd.keys[ws.name].text, KeyID: wd.keys[ws.name].id, Method: rt.method, Route: rt.path,
				Service: wd.site.entry(), Class: rt.class, Rate: wd.site.usual(ws, rt) * factor,
				EntryURLs: wd.entries(domains...), UsesIdempotencyKey: rt.method == "POST", MaxAttempts: sendings, MaxOperations: orders, RetryDelay: pause,
				HonorRetryAfter: opt["heeds"] != "", OperationTimeout: callerPatience, AttemptTimeout: callerDeadline, Poison: opt["poison"],
			}
			ld := emulator.NewLoad(ca, wd.fleet.Client(), wd.history, uint64(len(wd.loads)+1))
			wd.loads[ca.Name] = ld
			ld.Start()
		}
	}
	return nil
}

// doStop ends a load; its last orders are waited for only when the world closes or a measure is taken.
func (wd *world) doStop(args []string) error {
	for _, name := range slices.Sorted(maps.Keys(wd.loads)) {
		if strings.HasPrefix(name, args[0]+".") {
			wd.loads[name].Halt()
			wd.halted = append(wd.halted, wd.loads[name])
			delete(wd.loads, name)
		}
	}
	return nil
}

// settle waits for the last orders of the loads that were stopped.
func (wd *world) settle() {
	for _, ld := range wd.halted {
		ld.Stop()
	}
	wd.halted = nil
}

func (wd *world) doWait(args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

func (wd *world) doSlow(args []string) error {
	factor, err := strconv.ParseFloat(args[1], 64)
	for _, up := range wd.upstreams(gypsumhoist.Service(args[0])) {
		up.SetSlowdown(factor)
	}
	return err
}

func (wd *world) doCold(args []string) error {
	factor, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	pr := wd.fleet.Process(gypsumhoist.Instance(args[0]))
	if pr == nil {
		return fmt.Errorf("%s does not run", args[0])
	}
	pr.Upstream.SetSlowdown(factor)
	return nil
}

func (wd *world) doLag(args []string) error {
	seconds, err := strconv.Atoi(args[1])
	for _, up := range wd.upstreams(gypsumhoist.Service(args[0])) {
		up.SetReportLag(seconds)
	}
	return err
}

func (wd *world) doLie(args []string) error {
	load, err := strconv.Atoi(args[1])
	for _, up := range wd.upstreams(gypsumhoist.Service(args[0])) {
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

func (wd *world) doCut(args []string) error {
	wd.network.CutBoth(wd.addresses(domainsIn(args)...))
	return nil
}

func (wd *world) doHeal(args []string) error {
	wd.network.HealBoth(wd.addresses(domainsIn(args)...))
	return nil
}

func (wd *world) doFreeze(args []string) error {
	wd.network.Freeze(wd.addresses(domainsIn(args)...))
	return nil
}

func (wd *world) doCrash(args []string) error {
	name := gypsumhoist.Instance(args[0])
	pr := wd.fleet.Process(name)
	if pr == nil {
		return fmt.Errorf("%s does not run", name)
	}
	wd.network.Crash(pr.Spec.Address())
	wd.fleet.Kill(name)
	return nil
}

func (wd *world) doRun(args []string) error {
	name := gypsumhoist.Instance(args[0])
	wd.history.AddEvent(checker.InstanceStarted{Instance: name, At: time.Now()})
	return wd.fleet.Run(name)
}

// doCrashes counts crashes: those that were revived, and those that lie down now.
func (wd *world) doCrashes(args []string) error {
	count := wd.revived
	for _, up := range wd.upstreams(gypsumhoist.Service(args[0])) {
		select {
		case <-up.Crashed():
			count++
		default:
		}
	}
	wd.last["crashes"] = float64(count)
	fmt.Fprintf(wd.out, "%d upstreams of %s crashed\n", count, args[0])
	return nil
}

// doRevive starts crashed upstreams again.
func (wd *world) doRevive(args []string) error {
	for _, pl := range wd.fleet.Places() {
		pr := wd.fleet.Process(pl.Settings.Instance)
		if pr == nil || string(pl.Service.Name) != args[0] {
			continue
		}
		select {
		case <-pr.Upstream.Crashed():
			pr.Upstream.Stop()
			wd.revived++
			if err := wd.fleet.RunUpstream(pl.Settings.Instance); err != nil {
				return err
			}
		default:
		}
	}
	return nil
}

func (wd *world) doDrain(args []string) error {
	name := gypsumhoist.Instance(args[0])
	wd.history.AddEvent(checker.DrainStarted{Instance: name, At: time.Now()})
	return wd.fleet.Stop(context.Background(), name)
}

func (wd *world) doWithdraw(args []string) error {
	ws := gypsumhoist.Workspace(args[0])
	rq := &registrarpb.WithdrawKeyRequest{KeyId: wd.keys[ws].id, EditId: wd.editID(), WaitMs: 7000}
	began := time.Now()
	an, err := operate(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return wd.office().WithdrawKey(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return err
	}
	if an.GetInForce().GetEverywhere() {
		wd.history.AddEvent(checker.WithdrawalInForce{KeyID: wd.keys[ws].id, At: time.Now()})
	}
	wd.last["in_force"] = time.Since(began).Seconds()
	fmt.Fprintf(wd.out, "withdraw %s: %s (%s)\n", ws, an.GetText(), time.Since(began))
	return nil
}

func (wd *world) doEdit(args []string) error {
	values := map[string]string{}
	maps.Copy(values, options(args[2:]))
	lr, err := operate(func(ctx context.Context) (*connect.Response[registrarpb.ListRowsAnswer], error) {
		return wd.office().ListRows(ctx, connect.NewRequest(&registrarpb.ListRowsRequest{Workspace: args[0], Route: args[1]}))
	})
	if err != nil {
		return err
	}
	rq := &registrarpb.EditRowRequest{Workspace: args[0], Route: args[1], Values: values, EditId: wd.editID(), WaitMs: 7000}
	if len(lr.GetRows()) > 0 {
		rq.Number = lr.GetRows()[0].GetNumber()
	}
	began := time.Now()
	an, err := operate(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return wd.office().EditRow(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return err
	}
	wd.last["in_force"] = time.Since(began).Seconds()
	fmt.Fprintf(wd.out, "edit %s %s: %s (%s)\n", args[0], args[1], an.GetText(), time.Since(began))
	if an.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("edit was not accepted: %s", an.GetText())
	}
	return nil
}

func (wd *world) doMeasure(args []string) error {
	wd.settle()
	wn := checker.Window{From: wd.marks[args[0]], Until: wd.marks[args[1]]}
	capacity := wd.site.capacity
	if len(args) > 2 {
		factor, err := strconv.ParseFloat(strings.TrimPrefix(args[2], "capacity="), 64)
		if err != nil {
			return err
		}
		capacity *= factor
	}
	ms := checker.Measure(wd.history, wn, capacity, wd.demands())
	fmt.Fprintf(wd.out, "%s..%s %s\n", args[0], args[1], ms)
	wd.last["goodput"], wd.last["worst"], wd.last["wrongful"], wd.last["attempts"] = ms.GoodputShare, ms.WorstShare, ms.WrongfulShare, ms.RunsPerOperation
	if os.Getenv("GYPSUMHOIST_SCENARIO_DETAILS") != "" {
		wd.printDetails(wn)
	}
	for name, share := range ms.ClassShares {
		wd.last[name] = share
	}
	return nil
}

// printDetails prints how often each refusal was given in a window.
func (wd *world) printDetails(wn checker.Window) {
	counts := map[string]int{}
	for _, or := range wd.history.Operations() {
		if or.Done || or.Sent.Before(wn.From) || !or.Sent.Before(wn.Until) {
			continue
		}
		for _, sd := range or.Attempts {
			var text struct{ Reason, Detail string }
			if json.Unmarshal([]byte(sd.Detail), &text) != nil {
				text.Detail = fmt.Sprint(sd.Status)
			}
			counts[text.Reason+": "+text.Detail]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(wd.out, "  %5d %s\n", counts[name], name)
	}
}

// demands returns what the rows let through.
func (wd *world) demands() []checker.RowLimit {
	var out []checker.RowLimit
	for _, ws := range wd.site.workspaces {
		for _, rt := range wd.site.routes {
			out = append(out, checker.RowLimit{
				Workspace: ws.name, Route: rt.path, Rate: wd.site.rate(ws, rt), Burst: float64(wd.site.burst(ws, rt)),
			})
		}
	}
	return out
}

func (wd *world) doRecover(args []string) error {
	before := checker.Window{From: wd.marks[args[0]], Until: wd.marks[args[1]]}
	took, ok := checker.Recovery(wd.history, before, wd.marks[args[2]], wd.marks[args[3]], wd.demands())
	fmt.Fprintf(wd.out, "recovered %v after %s: %v\n", ok, args[2], took)
	wd.last["recovery"] = took.Seconds()
	return nil
}

func (wd *world) doExpect(args []string) error {
	want, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	got, ok := wd.last[args[0]]
	if !ok {
		return fmt.Errorf("nothing has measured %q", args[0])
	}
	if args[1] == ">=" && got >= want || args[1] == "<=" && got <= want {
		return nil
	}
	return fmt.Errorf("%s is %.4f, want %s %s", args[0], got, args[1], args[2])
}

func (wd *world) doJudge([]string) error {
	wd.settle()
	faults := checker.Check(wd.history)
	if len(faults) == 0 {
		return nil
	}
	var lines []string
	for _, ft := range faults[:min(len(faults), 10)] {
		lines = append(lines, ft.String())
	}
	return fmt.Errorf("%d promises broken:\n%s", len(faults), strings.Join(lines, "\n"))
}
