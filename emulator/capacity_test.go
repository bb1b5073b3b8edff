package emulator_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// Times of one measurement.
const (
	fleetPatience = 60 * time.Second
	fleetWarm     = 3 * time.Second
	fleetWindow   = 10 * time.Second
)

// settle is how long a fleet runs before it is measured; many instances on few cores take longer.
var settle = flag.Duration("settle", 15*time.Second, "how long a fleet of BenchmarkFleet runs before it is measured")

// fleetSize is one size of a fleet that is measured.
type fleetSize struct {
	domains, perDomain, services, rows int
	calls                              float64 // calls a second of the fleet
	next                               int     // deeper calls of each call
	keyed                              bool
	chosen                             bool // keepers of rates chosen by name, no claims
}

func (fs fleetSize) String() string {
	return fmt.Sprintf("domains=%d/each=%d/services=%d/rows=%d/calls=%g/next=%d/keyed=%t/chosen=%t",
		fs.domains, fs.perDomain, fs.services, fs.rows, fs.calls, fs.next, fs.keyed, fs.chosen)
}

// BenchmarkFleet runs whole fleets on loopback sockets and reports what one instance takes a second.
// One iteration is one measuring window, so run it with -benchtime 1x. Processor time and memory are those
// of the whole process by the number of instances: emulated upstreams and callers are in it.
func BenchmarkFleet(b *testing.B) {
	// Each domain has as many upstreams of each service, so services divide the instances of a domain.
	sizes := []fleetSize{
		{4, 2, 2, 10, 0, 0, false, false},
		{4, 4, 2, 10, 0, 0, false, false},
		{4, 8, 2, 10, 0, 0, false, false},
		{4, 16, 2, 10, 0, 0, false, false},
		{2, 32, 2, 10, 0, 0, false, false},
		{2, 6, 2, 10, 0, 0, false, false},
		{6, 6, 2, 10, 0, 0, false, false},
		{12, 6, 2, 10, 0, 0, false, false},
		{24, 4, 2, 10, 0, 0, false, false},
		{4, 4, 2, 100, 0, 0, false, false},
		{4, 4, 2, 1000, 0, 0, false, false},
		{4, 4, 2, 8000, 0, 0, false, false},
		{2, 16, 4, 10, 0, 0, false, false},
		{2, 16, 8, 10, 0, 0, false, false},
		{2, 16, 16, 10, 0, 0, false, false},
		{4, 4, 2, 10, 200, 0, false, false},
		{4, 4, 2, 10, 400, 0, false, false},
		{4, 4, 2, 10, 800, 0, false, false},
		{4, 4, 2, 10, 1600, 0, false, false},
		{4, 4, 2, 10, 400, 1, false, false},
		{4, 4, 2, 10, 400, 0, true, false},
		{3, 6, 2, 10, 0, 0, false, true},
		{3, 6, 2, 10, 200, 1, false, true},
		{3, 22, 2, 10, 0, 0, false, true},
		{3, 22, 2, 10, 600, 0, false, true},
		{3, 22, 2, 10, 1200, 0, false, true},
		{3, 22, 2, 10, 600, 1, false, true},
	}
	for _, fs := range sizes {
		b.Run(fs.String(), func(b *testing.B) { measureFleet(b, fs) })
	}
}

func measureFleet(b *testing.B, fs fleetSize) {
	fl, hosts := startFleet(b, fs)
	defer fl.Close()
	client := fl.Client()
	key := furnish(b, fl, client, fs)
	time.Sleep(*settle)
	hs := &checker.History{}
	loads := startLoads(fl, client, fs, key, hs)
	if len(loads) > 0 {
		time.Sleep(fleetWarm)
	}
	before, cpu, first := tallies(hosts), processorTime(), served(hs)
	start := time.Now()
	for b.Loop() {
		time.Sleep(fleetWindow)
	}
	span := time.Since(start).Seconds()
	used := (processorTime() - cpu).Seconds()
	after, last := tallies(hosts), served(hs)
	for _, ld := range loads {
		ld.Stop()
	}
	report(b, fl, before, after, span)
	count := float64(len(hosts))
	b.ReportMetric(used/span/count*1000, "cpu_ms/s")
	b.ReportMetric(float64(last-first)/span, "served/s")
	logRefusals(b, hs)
	reportMemory(b, count)
	b.ReportMetric(0, "ns/op")
}

// startFleet starts a fleet whose instances have counted sockets.
func startFleet(b *testing.B, fs fleetSize) (*emulator.Fleet, map[netip.Addr]*countedHost) {
	dp := emulator.Deployment{Controls: 3}
	for ix := range fs.domains {
		dp.Domains = append(dp.Domains, gypsumhoist.FailureDomain(fmt.Sprintf("domain-%02d", ix)))
	}
	total := fs.domains * fs.perDomain
	for ix := range fs.services {
		sv := emulator.Service{
			Name: serviceName(ix), Upstreams: total / fs.services, Slots: 64, Connections: 256, Took: 5 * time.Millisecond,
		}
		if ix == 0 && fs.next > 0 {
			sv.Next = []string{"/" + string(serviceName(1))}
		}
		dp.Services = append(dp.Services, sv)
	}
	// Two runs on one machine must not meet.
	own := byte(os.Getpid())
	address := func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, own, byte(domain + 1), byte(number)})
	}
	hosts := map[netip.Addr]*countedHost{}
	places := dp.Places(address, b.TempDir())
	for ix := range places {
		if st := &places[ix].Settings; fs.chosen {
			st.Rates.Keepers, st.Claims.Off = loader.KeepersChosen, true
		}
	}
	fl := emulator.NewFleet(places, emulator.WithHosts(
		func(ad netip.Addr, _ gypsumhoist.FailureDomain) connector.Network {
			if hosts[ad] == nil {
				hosts[ad] = &countedHost{}
			}
			return hosts[ad]
		}))
	if err := fl.Start(); err != nil {
		b.Fatal(err)
	}
	return fl, hosts
}

func serviceName(ix int) gypsumhoist.Service {
	return gypsumhoist.Service(fmt.Sprintf("service-%d", ix))
}

// furnish puts the rows in place and returns a key.
func furnish(b *testing.B, fl *emulator.Fleet, client *http.Client, fs fleetSize) string {
	office := fl.Office(client, fl.Names()[0])
	var rows []*registrar.Row
	for ix := range fs.rows {
		rw := registrar.DefaultRow("school", fmt.Sprintf("/row-%d", ix))
		if ix < fs.services {
			rw.Route = "/" + string(serviceName(ix))
		}
		rw.Service = serviceName(ix % fs.services)
		rw.Rate, rw.Burst = 100_000*registrar.RateOne, 100_000
		rows = append(rows, &rw)
	}
	patiently(b, func() error {
		_, err := office.Import(context.Background(), connect.NewRequest(
			&registrarpb.ImportRequest{Csv: registrar.WriteCSV(rows), EditId: "rows", WaitMs: 3000}))
		return err
	})
	key := ""
	patiently(b, func() error {
		an, err := office.GrantKey(context.Background(), connect.NewRequest(
			&registrarpb.GrantKeyRequest{Workspace: "school", EditId: "key", WaitMs: 3000}))
		if err == nil {
			key = an.Msg.GetKey()
		}
		return err
	})
	return key
}

// patiently repeats what a new fleet may not yet be ready for.
func patiently(b *testing.B, try func() error) {
	end := time.Now().Add(fleetPatience)
	err := try()
	for err != nil && time.Now().Before(end) {
		time.Sleep(time.Second / 2)
		err = try()
	}
	if err != nil {
		b.Fatal(err)
	}
}

// loadCount is how many goroutines draw the times of calls; one alone falls behind on a busy machine.
const loadCount = 16

// startLoads sends the calls through all nodes in turn.
func startLoads(fl *emulator.Fleet, client *http.Client, fs fleetSize, key string, hs *checker.History) []*emulator.Load {
	if fs.calls == 0 {
		return nil
	}
	var entries []string
	for _, pl := range fl.Places() {
		entries = append(entries, "http://"+pl.Settings.Listen.Callers.String())
	}
	method := http.MethodGet
	if fs.keyed {
		method = http.MethodPost
	}
	var loads []*emulator.Load
	for ix := range loadCount {
		ld := emulator.NewLoad(emulator.Caller{
			Name: fmt.Sprintf("load%d", ix), Workspace: "school", Key: key, Method: method, Route: "/" + string(serviceName(0)),
			Service: serviceName(0), Rate: fs.calls / loadCount, Entries: entries, Keyed: fs.keyed, Sendings: 1,
			Patience: 5 * time.Second, Deadline: 5 * time.Second,
		}, client, hs, uint64(ix))
		ld.Start()
		loads = append(loads, ld)
	}
	return loads
}

func served(hs *checker.History) int {
	count := 0
	for _, or := range hs.Operations() {
		if or.Done {
			count++
		}
	}
	return count
}

// logRefusals says how many orders ended without a good answer, and why.
func logRefusals(b *testing.B, hs *checker.History) {
	reasons := map[string]int{}
	for _, or := range hs.Operations() {
		if last := or.Attempts[len(or.Attempts)-1]; !or.Done {
			reasons[fmt.Sprintf("%d %s %s", last.Status, last.Verdict, last.Reason)]++
		}
	}
	if len(reasons) > 0 {
		b.Logf("of %d orders not served: %v", len(hs.Operations()), reasons)
	}
}

// report gives bytes and writes of the peer ports by role: the mean and the most of any instance.
func report(b *testing.B, fl *emulator.Fleet, before, after map[netip.Addr]tally, span float64) {
	var all, control, most, writes float64
	controls := 0
	for _, pl := range fl.Places() {
		ad := pl.Address()
		bytes := float64(after[ad].bytes-before[ad].bytes) / span
		all += bytes
		writes += float64(after[ad].writes-before[ad].writes) / span
		most = max(most, bytes)
		if len(pl.Settings.Control.Founders) > 0 {
			control += bytes
			controls++
		}
	}
	count := float64(len(fl.Places()))
	b.ReportMetric(all/count, "peer_B/s")
	b.ReportMetric(most, "most_peer_B/s")
	b.ReportMetric(control/float64(controls), "control_peer_B/s")
	b.ReportMetric(writes/count, "peer_writes/s")
}

func reportMemory(b *testing.B, count float64) {
	// Twice, as the first only moves what pools hold to their victims.
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	b.ReportMetric(float64(ms.HeapAlloc)/count/(1<<20), "heap_MiB")
	b.ReportMetric(float64(ms.StackInuse)/count/(1<<20), "stack_MiB")
	b.ReportMetric(float64(runtime.NumGoroutine())/count, "goroutines")
}

func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// tally is what the connections of one instance's peer port carried, both directions.
type tally struct {
	bytes, writes uint64
}

func tallies(hosts map[netip.Addr]*countedHost) map[netip.Addr]tally {
	out := map[netip.Addr]tally{}
	for ad, ch := range hosts {
		out[ad] = tally{bytes: ch.bytes.Load(), writes: ch.writes.Load()}
	}
	return out
}

// countedHost is plain TCP that counts what goes over connections to and from peer ports.
type countedHost struct {
	connector.TCP

	bytes, writes atomic.Uint64
}

// Dial implements connector.Network.
func (ch *countedHost) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	cn, err := ch.TCP.Dial(ctx, addr)
	if err != nil || addr.Port() != emulator.PortPeers {
		return cn, err
	}
	return &countedConn{Conn: cn, host: ch}, nil
}

// Listen implements connector.Network.
func (ch *countedHost) Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := ch.TCP.Listen(addr)
	if err != nil || addr.Port() != emulator.PortPeers {
		return ln, err
	}
	return &countedListener{Listener: ln, host: ch}, nil
}

type countedListener struct {
	net.Listener

	host *countedHost
}

// Accept implements net.Listener.
func (cl *countedListener) Accept() (net.Conn, error) {
	cn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: cn, host: cl.host}, nil
}

type countedConn struct {
	net.Conn

	host *countedHost
}

// Read implements net.Conn.
func (cc *countedConn) Read(data []byte) (int, error) {
	n, err := cc.Conn.Read(data)
	cc.host.bytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (cc *countedConn) Write(data []byte) (int, error) {
	n, err := cc.Conn.Write(data)
	cc.host.bytes.Add(uint64(n))
	cc.host.writes.Add(1)
	return n, err
}
