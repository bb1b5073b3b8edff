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

// Durations of one measurement.
const (
	setupTimeout  = 60 * time.Second
	loadWarmup    = 3 * time.Second
	measureWindow = 10 * time.Second
)

// settle is how long a fleet runs before it is measured; many instances on few cores need longer.
var settle = flag.Duration("settle", 15*time.Second, "how long a fleet of BenchmarkFleet runs before it is measured")

// fleetSize is one fleet size that is measured, with its load.
type fleetSize struct {
	domains, perDomain, services, rows int
	callsPerSecond                     float64 // of the whole fleet
	nestedCalls                        int     // per call
	idempotencyKeys                    bool
	namedKeepers                       bool // rate keepers chosen by name, claims off
}

func (fs fleetSize) String() string {
	return fmt.Sprintf("domains=%d/each=%d/services=%d/rows=%d/calls=%g/next=%d/keyed=%t/chosen=%t",
		fs.domains, fs.perDomain, fs.services, fs.rows, fs.callsPerSecond, fs.nestedCalls, fs.idempotencyKeys, fs.namedKeepers)
}

// BenchmarkFleet runs whole fleets on loopback sockets and reports the resource use of one instance per second.
// One iteration is one measurement window, so run it with -benchtime 1x. Processor time and memory are those
// of the whole process divided by the number of instances, including the emulated upstreams and callers.
func BenchmarkFleet(b *testing.B) {
	// Every domain runs the same number of upstreams of each service, so the number of services divides a domain's instances.
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
	fl, hosts := startCountingFleet(b, fs)
	defer fl.Close()
	client := fl.Client()
	key := importTable(b, fl, client, fs)
	time.Sleep(*settle)
	hs := &checker.History{}
	loads := startLoads(fl, client, fs, key, hs)
	if len(loads) > 0 {
		time.Sleep(loadWarmup)
	}
	before, cpuBefore, doneBefore := trafficByHost(hosts), cpuTime(), countDone(hs)
	start := time.Now()
	for b.Loop() {
		time.Sleep(measureWindow)
	}
	span := time.Since(start).Seconds()
	used := (cpuTime() - cpuBefore).Seconds()
	after, doneAfter := trafficByHost(hosts), countDone(hs)
	for _, ld := range loads {
		ld.Stop()
	}
	reportTraffic(b, fl, before, after, span)
	count := float64(len(hosts))
	b.ReportMetric(used/span/count*1000, "cpu_ms/s")
	b.ReportMetric(float64(doneAfter-doneBefore)/span, "served/s")
	logRefusals(b, hs)
	reportMemory(b, count)
	b.ReportMetric(0, "ns/op")
}

// startCountingFleet starts a fleet whose instances use countingHost networks.
func startCountingFleet(b *testing.B, fs fleetSize) (*emulator.Fleet, map[netip.Addr]*countingHost) {
	dp := emulator.Deployment{ControlCount: 3}
	for ix := range fs.domains {
		dp.Domains = append(dp.Domains, gypsumhoist.FailureDomain(fmt.Sprintf("domain-%02d", ix)))
	}
	total := fs.domains * fs.perDomain
	for ix := range fs.services {
		sv := emulator.Service{
			Name: serviceName(ix), Upstreams: total / fs.services, Slots: 64, Connections: 256, MeanServiceTime: 5 * time.Millisecond,
		}
		if ix == 0 && fs.nestedCalls > 0 {
			sv.NestedPaths = []string{"/" + string(serviceName(1))}
		}
		dp.Services = append(dp.Services, sv)
	}
	// The process id in the address keeps concurrent runs on one machine apart.
	pidByte := byte(os.Getpid())
	address := func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, pidByte, byte(domain + 1), byte(number)})
	}
	hosts := map[netip.Addr]*countingHost{}
	specs := dp.InstanceSpecs(address, b.TempDir())
	for ix := range specs {
		if st := &specs[ix].Settings; fs.namedKeepers {
			st.Rates.Keepers, st.Claims.Off = loader.KeepersChosen, true
		}
	}
	fl := emulator.NewFleet(specs, emulator.WithInstanceNetworks(
		func(ad netip.Addr, _ gypsumhoist.FailureDomain) connector.Network {
			if hosts[ad] == nil {
				hosts[ad] = &countingHost{}
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

// importTable imports the rows, grants a key and returns it.
func importTable(b *testing.B, fl *emulator.Fleet, client *http.Client, fs fleetSize) string {
	operator := fl.OperatorClient(client, fl.Names()[0])
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
	retryUntilReady(b, func() error {
		_, err := operator.Import(context.Background(), connect.NewRequest(
			&registrarpb.ImportRequest{Csv: registrar.WriteCSV(rows), EditId: "rows", WaitMs: 3000}))
		return err
	})
	key := ""
	retryUntilReady(b, func() error {
		an, err := operator.GrantKey(context.Background(), connect.NewRequest(
			&registrarpb.GrantKeyRequest{Workspace: "school", EditId: "key", WaitMs: 3000}))
		if err == nil {
			key = an.Msg.GetKey()
		}
		return err
	})
	return key
}

// retryUntilReady repeats a request that a new fleet may not be ready for yet.
func retryUntilReady(b *testing.B, try func() error) {
	end := time.Now().Add(setupTimeout)
	err := try()
	for err != nil && time.Now().Before(end) {
		time.Sleep(time.Second / 2)
		err = try()
	}
	if err != nil {
		b.Fatal(err)
	}
}

// loadGenerators is how many goroutines schedule the calls; a single one falls behind on a busy machine.
const loadGenerators = 16

// startLoads starts load generators that spread the calls over all nodes in turn.
func startLoads(fl *emulator.Fleet, client *http.Client, fs fleetSize, key string, hs *checker.History) []*emulator.Load {
	if fs.callsPerSecond == 0 {
		return nil
	}
	var entries []string
	for _, sp := range fl.InstanceSpecs() {
		entries = append(entries, "http://"+sp.Settings.Listen.Callers.String())
	}
	method := http.MethodGet
	if fs.idempotencyKeys {
		method = http.MethodPost
	}
	var loads []*emulator.Load
	for ix := range loadGenerators {
		ld := emulator.NewLoad(emulator.Caller{
			Name: fmt.Sprintf("load%d", ix), Workspace: "school", Key: key, Method: method, Route: "/" + string(serviceName(0)),
			Service: serviceName(0), Rate: fs.callsPerSecond / loadGenerators, EntryURLs: entries, UsesIdempotencyKey: fs.idempotencyKeys, MaxAttempts: 1,
			OperationTimeout: 5 * time.Second, AttemptTimeout: 5 * time.Second,
		}, client, hs, uint64(ix))
		ld.Start()
		loads = append(loads, ld)
	}
	return loads
}

func countDone(hs *checker.History) int {
	count := 0
	for _, op := range hs.Operations() {
		if op.Done {
			count++
		}
	}
	return count
}

// logRefusals logs how many operations did not get a successful response, by status, verdict and reason.
func logRefusals(b *testing.B, hs *checker.History) {
	reasons := map[string]int{}
	for _, op := range hs.Operations() {
		if att := op.Attempts[len(op.Attempts)-1]; !op.Done {
			reasons[fmt.Sprintf("%d %s %s", att.Status, att.Verdict, att.Reason)]++
		}
	}
	if len(reasons) > 0 {
		b.Logf("unsuccessful among %d operations: %v", len(hs.Operations()), reasons)
	}
}

// reportTraffic reports bytes and writes of the peer ports: the mean, the maximum and the mean of the control instances.
func reportTraffic(b *testing.B, fl *emulator.Fleet, before, after map[netip.Addr]traffic, span float64) {
	var all, control, most, writes float64
	controls := 0
	for _, sp := range fl.InstanceSpecs() {
		ad := sp.Address()
		bytes := float64(after[ad].bytes-before[ad].bytes) / span
		all += bytes
		writes += float64(after[ad].writes-before[ad].writes) / span
		most = max(most, bytes)
		if len(sp.Settings.Control.Founders) > 0 {
			control += bytes
			controls++
		}
	}
	count := float64(len(fl.InstanceSpecs()))
	b.ReportMetric(all/count, "peer_B/s")
	b.ReportMetric(most, "most_peer_B/s")
	b.ReportMetric(control/float64(controls), "control_peer_B/s")
	b.ReportMetric(writes/count, "peer_writes/s")
}

func reportMemory(b *testing.B, count float64) {
	// Runs twice, as the first collection only moves the contents of each sync.Pool to its victim cache.
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	b.ReportMetric(float64(ms.HeapAlloc)/count/(1<<20), "heap_MiB")
	b.ReportMetric(float64(ms.StackInuse)/count/(1<<20), "stack_MiB")
	b.ReportMetric(float64(runtime.NumGoroutine())/count, "goroutines")
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// traffic is what the connections of one instance's peer port carried: bytes in both directions, and writes.
type traffic struct {
	bytes, writes uint64
}

func trafficByHost(hosts map[netip.Addr]*countingHost) map[netip.Addr]traffic {
	out := map[netip.Addr]traffic{}
	for ad, ch := range hosts {
		out[ad] = traffic{bytes: ch.bytes.Load(), writes: ch.writes.Load()}
	}
	return out
}

// countingHost is plain TCP that counts the traffic of connections to and from peer ports.
type countingHost struct {
	connector.TCP

	bytes, writes atomic.Uint64
}

// Dial implements connector.Network.
func (ch *countingHost) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	cn, err := ch.TCP.Dial(ctx, addr)
	if err != nil || addr.Port() != emulator.PortPeers {
		return cn, err
	}
	return &countingConn{Conn: cn, host: ch}, nil
}

// Listen implements connector.Network.
func (ch *countingHost) Listen(addr netip.AddrPort) (net.Listener, error) {
	ln, err := ch.TCP.Listen(addr)
	if err != nil || addr.Port() != emulator.PortPeers {
		return ln, err
	}
	return &countingListener{Listener: ln, host: ch}, nil
}

type countingListener struct {
	net.Listener

	host *countingHost
}

// Accept implements net.Listener.
func (cl *countingListener) Accept() (net.Conn, error) {
	cn, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: cn, host: cl.host}, nil
}

type countingConn struct {
	net.Conn

	host *countingHost
}

// Read implements net.Conn.
func (cc *countingConn) Read(data []byte) (int, error) {
	n, err := cc.Conn.Read(data)
	cc.host.bytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (cc *countingConn) Write(data []byte) (int, error) {
	n, err := cc.Conn.Write(data)
	cc.host.bytes.Add(uint64(n))
	cc.host.writes.Add(1)
	return n, err
}
