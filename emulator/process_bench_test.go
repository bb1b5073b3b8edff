package emulator_test

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/emulator"
)

// Sizes of BenchmarkProcesses.
const (
	processServices  = 2
	processUpstreams = 6 // of each service
	processControls  = 3
	ticksPerSecond   = 100 // of the times in /proc/PID/stat (USER_HZ)
)

// BenchmarkProcesses runs a fleet of real processes with their upstreams on loopback and reports the processor time of one node in a
// second. Unlike BenchmarkFleet it counts what each process spends on its own scheduler and on waking its threads, and
// neither the upstreams nor the callers. One iteration is one measurement window, so run it with -benchtime 1x.
func BenchmarkProcesses(b *testing.B) {
	for _, processors := range []int{0, 1, 2} {
		for _, rate := range []float64{0, 120, 300} {
			b.Run(fmt.Sprintf("processors=%d/calls=%g", processors, rate), func(b *testing.B) { measureProcesses(b, rate, processors) })
		}
	}
}

func measureProcesses(b *testing.B, rate float64, processors int) {
	fs := fleetSize{services: processServices, rows: processServices, callsPerSecond: rate}
	specs, pids := startProcesses(b, fs, processors)
	fl := emulator.NewFleet(specs)
	client := fl.Client()
	key := importTable(b, fl, client, fs)
	time.Sleep(*settle)
	hs := &checker.History{}
	loads := startLoads(fl, client, fs, key, hs)
	if len(loads) > 0 {
		time.Sleep(loadWarmup)
	}
	before, doneBefore, start := processTimes(b, pids), countDone(hs), time.Now()
	for b.Loop() {
		time.Sleep(measureWindow)
	}
	used, done, span := processTimes(b, pids)-before, countDone(hs)-doneBefore, time.Since(start).Seconds()
	for _, ld := range loads {
		ld.Stop()
	}
	b.ReportMetric(used.Seconds()*1000/span/float64(len(pids)), "node_cpu_ms/s")
	b.ReportMetric(float64(done)/span/float64(len(pids)), "node_served/s")
	reportLatency(b, hs, start)
	logRefusals(b, hs)
	b.ReportMetric(0, "ns/op")
}

// reportLatency reports how long the callers waited for the operations that they sent since the given time and that succeeded.
func reportLatency(b *testing.B, hs *checker.History, since time.Time) {
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, op := range hs.Operations() {
		if op.Done && op.Sent.After(since) {
			// The value is in range, as each attempt ends after 5 s.
			_ = times.RecordValue(op.Ended.Sub(op.Sent).Microseconds())
		}
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50_ms")
	b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99_ms")
}

// startProcesses starts a process and an upstream for each instance, and returns the specifications and the process ids of those that
// are nodes only.
func startProcesses(b *testing.B, fs fleetSize, processors int) ([]emulator.InstanceSpec, []int) {
	folder := b.TempDir()
	binary := filepath.Join(folder, "gypsumhoist")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/gypsumhoist").CombinedOutput(); err != nil {
		b.Fatalf("building the program: %v\n%s", err, out)
	}
	dp := emulator.Deployment{ControlCount: processControls}
	for ix := range processControls {
		dp.Domains = append(dp.Domains, gypsumhoist.FailureDomain(fmt.Sprintf("domain-%02d", ix)))
	}
	for ix := range fs.services {
		sv := emulator.Service{
			Name: serviceName(ix), Upstreams: processUpstreams, Slots: 64, Connections: 256, MeanServiceTime: 5 * time.Millisecond,
		}
		if ix == 0 {
			sv.NestedPaths = []string{"/" + string(serviceName(1))}
		}
		dp.Services = append(dp.Services, sv)
	}
	pidByte := byte(os.Getpid())
	specs := dp.InstanceSpecs(func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, pidByte, byte(domain + 1), byte(number)})
	}, folder)
	var pids []int
	for _, sp := range specs {
		sp.Settings.Bounds.Processors = processors
		pid := startProcess(b, binary, folder, sp)
		if len(sp.Settings.Control.Founders) == 0 {
			pids = append(pids, pid)
		}
		up := emulator.NewUpstream(string(sp.Settings.Instance), sp.Service.Name, emulator.WithSeed(sp.Seed),
			emulator.WithAddress(netip.AddrPortFrom(sp.Address(), emulator.PortUpstream)), emulator.WithNode(sp.Settings.Listen.Upstream),
			emulator.WithSlots(sp.Service.Slots, sp.Service.Connections), emulator.WithNestedCalls(sp.Service.NestedPaths...),
			emulator.WithServiceTime(sp.Service.MeanServiceTime, 0.2))
		if err := up.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(up.Stop)
	}
	return specs, pids
}

// startProcess starts one instance and returns its process id.
func startProcess(b *testing.B, binary, folder string, sp emulator.InstanceSpec) int {
	file := filepath.Join(folder, string(sp.Settings.Instance)+".toml")
	if err := os.WriteFile(file, []byte(processSettings(sp)), 0o600); err != nil {
		b.Fatal(err)
	}
	log, err := os.Create(filepath.Join(folder, string(sp.Settings.Instance)+".log"))
	if err != nil {
		b.Fatal(err)
	}
	cmd := exec.Command(binary, "serve", file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		// The exit status does not matter: the process is killed.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	return cmd.Process.Pid
}

// processSettings returns the settings file of an instance.
func processSettings(sp emulator.InstanceSpec) string {
	st := sp.Settings
	var seeds, founders []string
	for _, seed := range st.Peers.Seeds {
		seeds = append(seeds, strconv.Quote(seed.String()))
	}
	for _, fd := range st.Control.Founders {
		founders = append(founders, fmt.Sprintf("{instance = %q, peer = %q}", fd.Instance, fd.Peer))
	}
	text := fmt.Sprintf("instance = %q\nfailure_domain = %q\n", st.Instance, st.FailureDomain)
	if len(founders) > 0 {
		text += fmt.Sprintf("roles = [\"node\", \"control\"]\ndata_folder = %q\n", st.DataFolder)
	}
	text += fmt.Sprintf("[listen]\ncallers = %q\nupstream = %q\npeers = %q\noperator = %q\n",
		st.Listen.Callers, st.Listen.Upstream, st.Listen.Peers, st.Listen.Operator)
	text += fmt.Sprintf("[peers]\nseeds = [%s]\n[rates]\nkeepers = \"chosen\"\n[claims]\noff = true\n", strings.Join(seeds, ", "))
	if len(founders) > 0 {
		text += fmt.Sprintf("[control]\nfounders = [%s]\n", strings.Join(founders, ", "))
	}
	return text + fmt.Sprintf("[bounds]\nprocessors = %d\n", st.Bounds.Processors)
}

// processTimes returns the processor time of all given processes together.
func processTimes(b *testing.B, pids []int) time.Duration {
	var ticks int
	for _, pid := range pids {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			b.Fatal(err)
		}
		// The name of the program ends with the last parenthesis; user and system time are the 14th and 15th field.
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, field := range fields[11:13] {
			n, err := strconv.Atoi(field)
			if err != nil {
				b.Fatal(err)
			}
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond
}
