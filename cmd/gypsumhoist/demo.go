package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// demoCmd runs a small fleet on loopback addresses in one process.
type demoCmd struct {
	Stay bool `help:"Keep the fleet running after the show, until interrupted."`
	Log  bool `help:"Write the log lines of all instances to standard error."`
}

// demoDeployment has three failure domains and two services, of which the first calls the second.
var demoDeployment = emulator.Deployment{
	Domains: []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"},
	Services: []emulator.Service{
		{Name: "slips", Upstreams: 3, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond, NestedPaths: []string{"/roster"}},
		{Name: "roster", Upstreams: 3, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond},
	},
	ControlCount: 3,
}

// demoAddress returns a different loopback address for each instance.
func demoAddress(domain, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 77, byte(domain + 1), byte(number)})
}

// demo holds the fleet of one demonstration, its clients and the key that they use.
type demo struct {
	fleet     *emulator.Fleet
	client    *http.Client
	operators registrarpb.OfficeClient
	entryURL  string
	key       string
	keyID     string
}

// Run starts the fleet, demonstrates it and stops it.
func (cmd *demoCmd) Run() error {
	folder, err := os.MkdirTemp("", "gypsumhoist-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	var opts []emulator.FleetOption
	if cmd.Log {
		opts = append(opts, emulator.WithLog(os.Stderr))
	}
	dm := &demo{fleet: emulator.NewFleet(demoDeployment.InstanceSpecs(demoAddress, folder), opts...)}
	dm.client = dm.fleet.Client()
	defer dm.fleet.Close()
	if err := dm.fleet.Start(); err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := dm.run(ctx); err != nil {
		return err
	}
	if cmd.Stay {
		fmt.Println("The fleet runs on. Interrupt to stop it.")
		<-ctx.Done()
	}
	return nil
}

func (dm *demo) run(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		dm.editRows, dm.grantKey, dm.awaitReady, dm.call, dm.showRefusals, dm.showIdempotency, dm.crashInstance, dm.withdrawKey,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stepTimeout limits the retries of one step.
const stepTimeout = 20 * time.Second

func (dm *demo) editRows(ctx context.Context) error {
	fmt.Println("Six instances run in three failure domains; three of them keep the table.")
	first := dm.fleet.Names()[0]
	dm.operators = dm.fleet.OperatorClient(dm.client, first)
	dm.entryURL = "http://" + dm.fleet.InstanceSpecs()[0].Settings.Listen.Callers.String()
	rows := map[string]map[string]string{
		"/slips":  {"service": "slips", "rate": "50", "burst": "20", "importance": "80", "retries": "2"},
		"/roster": {"service": "roster", "rate": "100", "burst": "50", "importance": "60"},
	}
	for route, values := range rows {
		rq := &registrarpb.EditRowRequest{Workspace: "school", Route: route, Values: values, EditId: "demo" + route, WaitMs: 5000}
		an, err := retry(ctx, func() (*connect.Response[registrarpb.EditAnswer], error) {
			return dm.operators.EditRow(ctx, connect.NewRequest(rq))
		})
		if err != nil {
			return fmt.Errorf("edit row: %w", err)
		}
		fmt.Printf("Row school %s: %s\n", route, an.Msg.GetText())
	}
	return nil
}

// retry repeats a call until it succeeds, stepTimeout has passed or the context ends, and returns the last result.
// An edit keeps its edit id in all calls, so that it takes effect once.
func retry[T any](ctx context.Context, call func() (T, error)) (T, error) {
	end := time.Now().Add(stepTimeout)
	for {
		got, err := call()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return got, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (dm *demo) grantKey(ctx context.Context) error {
	rq := &registrarpb.GrantKeyRequest{Workspace: "school", EditId: "demo-key", WaitMs: 5000}
	an, err := dm.operators.GrantKey(ctx, connect.NewRequest(rq))
	if err != nil {
		return fmt.Errorf("grant key: %w", err)
	}
	dm.key, dm.keyID = an.Msg.GetKey(), an.Msg.GetKeyId()
	fmt.Printf("Key for school: %s\n\n  curl -H 'Gypsumhoist-Key: %s' %s/slips/7\n\n", an.Msg.GetText(), dm.key, dm.entryURL)
	return nil
}

// send sends one request and prints the answer.
func (dm *demo) send(ctx context.Context, method, path, key string, pairs ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, dm.entryURL+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(gypsumhoist.HeaderKey, key)
	for ix := 0; ix < len(pairs); ix += 2 {
		req.Header.Set(pairs[ix], pairs[ix+1])
	}
	rs, err := dm.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, err
	}
	text, _, _ := strings.Cut(strings.TrimRight(string(data), "."), "\n")
	fmt.Printf("  %s %s -> %s %s\n", method, path, rs.Status, text)
	return rs, nil
}

// readyStreak is the number of successive requests that must succeed before the demonstration goes on.
const readyStreak = 10

// awaitReady waits until the groups that keep rates and claims have formed, and the buckets hold some burst.
func (dm *demo) awaitReady(ctx context.Context) error {
	fmt.Println("The failure domains form the groups that keep rates and claims; until then calls are refused as not run.")
	served := 0
	_, err := retry(ctx, func() (struct{}, error) {
		for ; served < readyStreak; served++ {
			if err := dm.probe(ctx, served); err != nil {
				served = 0
				return struct{}{}, err
			}
		}
		return struct{}{}, nil
	})
	return err
}

// probe sends one request and returns an error unless the answer is 200.
func (dm *demo) probe(ctx context.Context, number int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, dm.entryURL+"/slips/0", nil)
	if err != nil {
		return err
	}
	req.Header.Set(gypsumhoist.HeaderKey, dm.key)
	req.Header.Set(gypsumhoist.HeaderIdempotencyKey, fmt.Sprintf("first-%d", number))
	rs, err := dm.client.Do(req)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("the fleet is not ready: %s %s", rs.Status, rs.Header.Get(gypsumhoist.HeaderReason))
	}
	return nil
}

func (dm *demo) call(ctx context.Context) error {
	fmt.Println("A call enters at a node, runs at the nearest upstream, which calls the roster service in turn:")
	rs, err := dm.send(ctx, http.MethodGet, "/slips/7", dm.key)
	if err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("the first call got %s", rs.Status)
	}
	return nil
}

func (dm *demo) showRefusals(ctx context.Context) error {
	fmt.Println("A wrong key, and a route without a row, run nowhere:")
	if _, err := dm.send(ctx, http.MethodGet, "/slips/7", "ghk_wrong"); err != nil {
		return err
	}
	_, err := dm.send(ctx, http.MethodGet, "/fees", dm.key)
	return err
}

func (dm *demo) showIdempotency(ctx context.Context) error {
	fmt.Println("A signature sent twice under one Idempotency-Key runs once:")
	for range 2 {
		if _, err := dm.send(ctx, http.MethodPost, "/slips/7", dm.key, gypsumhoist.HeaderIdempotencyKey, "signature-1", emulator.HeaderOperation, "signature-1"); err != nil {
			return err
		}
	}
	return nil
}

func (dm *demo) crashInstance(ctx context.Context) error {
	name := dm.fleet.Names()[4]
	fmt.Printf("Instance %s crashes; calls go on:\n", name)
	dm.fleet.Kill(name)
	for range 3 {
		if _, err := dm.send(ctx, http.MethodGet, "/slips/8", dm.key); err != nil {
			return err
		}
	}
	return nil
}

func (dm *demo) withdrawKey(ctx context.Context) error {
	rq := &registrarpb.WithdrawKeyRequest{KeyId: dm.keyID, EditId: "demo-withdraw", WaitMs: 2000}
	an, err := dm.operators.WithdrawKey(ctx, connect.NewRequest(rq))
	if err != nil {
		return fmt.Errorf("withdraw key: %w", err)
	}
	fmt.Printf("The key is withdrawn: %s\n", an.Msg.GetText())
	_, err = dm.send(ctx, http.MethodGet, "/slips/9", dm.key)
	return err
}
