package scenario_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// partitionInstance returns the address of an instance and those of all others, as the two sides of a partition.
func (sim *simulation) partitionInstance(name string) (one, rest []netip.Addr) {
	for _, sp := range sim.fleet.InstanceSpecs() {
		if string(sp.Settings.Instance) == name {
			one = append(one, sp.Address())
			continue
		}
		rest = append(rest, sp.Address())
	}
	return one, rest
}

func (sim *simulation) doIsolate(args []string) error {
	sim.network.CutBoth(sim.partitionInstance(args[0]))
	return nil
}

func (sim *simulation) doRejoin(args []string) error {
	sim.network.HealBoth(sim.partitionInstance(args[0]))
	return nil
}

// doWipe deletes the data folder of an instance that does not run, as when a disk is lost.
func (sim *simulation) doWipe(args []string) error {
	for _, sp := range sim.fleet.InstanceSpecs() {
		if string(sp.Settings.Instance) == args[0] {
			return os.RemoveAll(sp.Settings.DataFolder)
		}
	}
	return fmt.Errorf("unknown instance %q", args[0])
}

// readRow returns a row as one instance reports it.
func (sim *simulation) readRow(ws, route, at string) (*registrarpb.RowText, error) {
	lr, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.ListRowsAnswer], error) {
		return sim.fleet.OperatorClient(sim.client, gypsumhoist.Instance(at)).ListRows(ctx,
			connect.NewRequest(&registrarpb.ListRowsRequest{Workspace: ws, Route: route}))
	})
	if err != nil {
		return nil, err
	}
	if len(lr.GetRows()) != 1 {
		return nil, fmt.Errorf("found %d rows of workspace %s and route %s, want 1", len(lr.GetRows()), ws, route)
	}
	return lr.GetRows()[0], nil
}

// editAt sends an edit to one instance and resends it until it is answered.
func (sim *simulation) editAt(at string, rq *registrarpb.EditRowRequest) (*registrarpb.EditAnswer, error) {
	return retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return sim.fleet.OperatorClient(sim.client, gypsumhoist.Instance(at)).EditRow(ctx, connect.NewRequest(rq))
	})
}

// doRace lets two operators edit one row concurrently at two instances, both with the same row number.
// One edit is accepted and the other is a conflict; the accepted one, resent at the other instance, gets the first answer again.
func (sim *simulation) doRace(args []string) error {
	row, err := sim.readRow(args[0], args[1], args[2])
	if err != nil {
		return err
	}
	type answer struct {
		an  *registrarpb.EditAnswer
		err error
	}
	requests := make([]*registrarpb.EditRowRequest, 2)
	answers := make([]chan answer, 2)
	for ix, at := range args[2:4] {
		requests[ix] = &registrarpb.EditRowRequest{
			Workspace: args[0], Route: args[1], Number: row.GetNumber(), EditId: sim.nextEditID(),
			Values: map[string]string{"burst": fmt.Sprint(900 + ix)},
		}
		answers[ix] = make(chan answer, 1)
		go func() {
			an, err := sim.editAt(at, requests[ix])
			answers[ix] <- answer{an, err}
		}()
	}
	accepted, conflicts := -1, 0
	var first *registrarpb.EditAnswer
	for ix := range answers {
		got := <-answers[ix]
		switch {
		case got.err != nil:
			return got.err
		case got.an.GetOutcome() == registrarpb.Outcome_OUTCOME_ACCEPTED:
			accepted, first = ix, got.an
		case got.an.GetOutcome() == registrarpb.Outcome_OUTCOME_CONFLICT:
			conflicts++
		}
	}
	if accepted < 0 || conflicts != 1 {
		return fmt.Errorf("of two edits with the same number %d got a conflict, and the accepted one is %d (-1: none)", conflicts, accepted)
	}
	sim.acceptedBurst = requests[accepted].Values["burst"]
	again, err := sim.editAt(args[3-accepted], requests[accepted])
	if err != nil {
		return err
	}
	if again.GetOutcome() != first.GetOutcome() || again.GetRevision() != first.GetRevision() {
		return fmt.Errorf("resent edit got %s at revision %d, first answer was %s at revision %d",
			again.GetOutcome(), again.GetRevision(), first.GetOutcome(), first.GetRevision())
	}
	return nil
}

// isolatedEditTimeout is how long an operator waits for an isolated instance, which cannot accept anything.
const isolatedEditTimeout = 5 * time.Second

// doStuck sends an edit to an isolated instance, which must not accept it.
func (sim *simulation) doStuck(args []string) error {
	row, err := sim.readRow(args[0], args[1], args[2])
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), isolatedEditTimeout)
	defer cancel()
	an, err := sim.fleet.OperatorClient(sim.client, gypsumhoist.Instance(args[2])).EditRow(ctx, connect.NewRequest(&registrarpb.EditRowRequest{
		Workspace: args[0], Route: args[1], Number: row.GetNumber(), EditId: sim.nextEditID(), Values: map[string]string{"burst": "777"},
	}))
	if err == nil && an.Msg.GetOutcome() == registrarpb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("isolated %s accepted an edit as revision %d", args[2], an.Msg.GetRevision())
	}
	return nil
}

// doAgree checks that every instance has the newest revision in force,
// and that the named ones hold the row that won the last race.
func (sim *simulation) doAgree(args []string) error {
	for _, at := range args[2:] {
		row, err := sim.readRow(args[0], args[1], at)
		if err != nil {
			return err
		}
		if row.GetBurst() != sim.acceptedBurst {
			return fmt.Errorf("%s reports burst %s, accepted was %s", at, row.GetBurst(), sim.acceptedBurst)
		}
	}
	var newest uint64
	for _, name := range sim.fleet.Names() {
		if pr := sim.fleet.Process(name); pr != nil {
			newest = max(newest, pr.Server.Revision())
		}
	}
	for _, name := range sim.fleet.Names() {
		if pr := sim.fleet.Process(name); pr != nil && pr.Server.Revision() != newest {
			return fmt.Errorf("%s has revision %d in force, the newest is %d", name, pr.Server.Revision(), newest)
		}
	}
	return nil
}
