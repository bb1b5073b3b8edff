package crowd_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// Bounds of a process. They follow from the machine of a node and from the settings, not from what was measured.
const (
	// memoryBound is the memory of a node in bytes.
	memoryBound = 184 << 20
	// descriptorBound is the number of file descriptors of a node.
	descriptorBound = 4100
	// ownDescriptors is what a process may have open besides the connections that it has accepted: files of the log, listeners,
	// and connections to its upstream and to itself.
	ownDescriptors = 128
	// upstreamSlots is how many requests the upstream runs at a time, and how many connections it accepts.
	upstreamSlots = 1000
	// ampleRate is a rate in requests per second that no crowd reaches.
	ampleRate = 100_000
)

// Times of a test.
const (
	readyTimeout   = 40 * time.Second
	sampleInterval = 20 * time.Millisecond // at least, as it takes time itself
	holdTime       = 2 * time.Second
)

// settings are the values of [bounds] that a test sets; zero keeps the default.
type settings struct {
	connections int
	headerBytes int
	// instance is n1 by default.
	instance gypsumhoist.Instance
	// nodeOnly takes away the role control.
	nodeOnly bool
	// seeds are the peers' addresses of processes to join.
	seeds []netip.AddrPort
	// listen is where the process listens, by default at free ports of 127.0.0.1.
	listen addresses
}

// addresses are where a process listens.
type addresses struct{ callers, upstream, peers, operator netip.AddrPort }

// binary is the file of the program under test, built by TestMain.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "gypsumhoist-crowd-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "gypsumhoist")
	if out, err := exec.Command("go", "build", "-o", binary, "../cmd/gypsumhoist").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the program: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a running process of the system with its upstream.
type process struct {
	addresses
	t       *testing.T
	folder  string
	command *exec.Cmd
	key     string
	exited  chan struct{}
	// These are in bytes. peakMemory includes what the kernel holds for the process.
	peakMemory, peakReceived, peakSent atomic.Int64
	peakDescriptors                    atomic.Int64
}

// startProcess starts a process with an upstream and waits until it has answered an ordinary request.
func startProcess(t *testing.T, st settings) *process {
	t.Helper()
	ps := launch(t, st)
	ps.startUpstream()
	ps.prepareTable(ampleRate, ampleRate)
	ps.mustServe()
	ps.warmUp()
	go ps.sample()
	return ps
}

// startPair starts a process without an upstream and one that has the upstream, which the first one's callers reach through it.
func startPair(t *testing.T, st settings) (entry, far *process) {
	t.Helper()
	entry = launch(t, st)
	st.instance, st.nodeOnly, st.seeds = "n2", true, []netip.AddrPort{entry.peers}
	far = launch(t, st)
	far.startUpstream()
	entry.prepareTable(ampleRate, ampleRate)
	far.key = entry.key
	entry.mustServe()
	far.mustServe()
	entry.warmUp()
	go entry.sample()
	go far.sample()
	return entry, far
}

// startUpstream starts an upstream with room for every client of a crowd.
func (ps *process) startUpstream(opts ...emulator.Option) {
	opts = append([]emulator.Option{
		emulator.WithAddress(freeAddresses(ps.t, localhost, 1)[0]), emulator.WithNode(ps.upstream), emulator.WithSlots(upstreamSlots, upstreamSlots),
	}, opts...)
	up := emulator.NewUpstream("slips-1", "slips", opts...)
	if err := up.Start(); err != nil {
		ps.t.Fatal(err)
	}
	ps.t.Cleanup(up.Stop)
}

// launch starts a process.
func launch(t *testing.T, st settings) *process {
	t.Helper()
	if st.listen == (addresses{}) {
		st.listen = freeListenAddresses(t, localhost)
	}
	ps := &process{t: t, folder: t.TempDir(), addresses: st.listen}
	if err := os.WriteFile(filepath.Join(ps.folder, "settings.toml"), []byte(ps.settingsText(st)), 0o600); err != nil {
		t.Fatal(err)
	}
	ps.start(binary)
	t.Cleanup(func() {
		// An error means that the process has ended already.
		_ = ps.command.Process.Kill()
		<-ps.exited
		if t.Failed() {
			t.Logf("end of the process's log:\n%s", tail(filepath.Join(ps.folder, "log")))
		}
	})
	return ps
}

// start starts a program in the process's folder.
func (ps *process) start(program string) {
	ps.t.Helper()
	log, err := os.OpenFile(filepath.Join(ps.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		ps.t.Fatal(err)
	}
	cmd := exec.Command(program, "serve", filepath.Join(ps.folder, "settings.toml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		ps.t.Fatal(err)
	}
	exited := make(chan struct{})
	ps.command, ps.exited = cmd, exited
	go func() {
		// The exit status does not matter: the process is killed at the end of the test.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
}

func (ps *process) settingsText(st settings) string {
	instance, roles := cmp.Or(st.instance, "n1"), `"node", "control"`
	if st.nodeOnly {
		roles = `"node"`
	}
	text := fmt.Sprintf(`instance = %q
failure_domain = "hobart"
roles = [%s]
data_folder = %q
[listen]
callers = %q
upstream = %q
peers = %q
operator = %q
[rates]
keepers = "chosen"
[claims]
off = true
[bounds]
header_time = "10s"
`, instance, roles, filepath.Join(ps.folder, "data"), ps.callers, ps.upstream, ps.peers, ps.operator)
	if st.connections > 0 {
		text += fmt.Sprintf("connections = %d\n", st.connections)
	}
	if st.headerBytes > 0 {
		text += fmt.Sprintf("header_bytes = %d\n", st.headerBytes)
	}
	if len(st.seeds) > 0 {
		var quoted []string
		for _, seed := range st.seeds {
			quoted = append(quoted, strconv.Quote(seed.String()))
		}
		text += fmt.Sprintf("[peers]\nseeds = [%s]\n", strings.Join(quoted, ", "))
	}
	return text
}

var localhost = netip.MustParseAddr("127.0.0.1")

// freeAddresses returns ports of a loopback address that are free now.
func freeAddresses(t *testing.T, host netip.Addr, count int) []netip.AddrPort {
	t.Helper()
	var out []netip.AddrPort
	for range count {
		ln, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		out = append(out, netip.MustParseAddrPort(ln.Addr().String()))
	}
	return out
}

// freeListenAddresses returns ports of a loopback address at which a process can listen.
func freeListenAddresses(t *testing.T, host netip.Addr) addresses {
	t.Helper()
	free := freeAddresses(t, host, 4)
	return addresses{callers: free[0], upstream: free[1], peers: free[2], operator: free[3]}
}

// prepareTable adds a row and a key.
func (ps *process) prepareTable(rate, burst int) {
	ps.t.Helper()
	operators := registrarpb.NewOfficeClient(newClient(), "http://"+ps.operator.String(), connect.WithProtoJSON())
	row := &registrarpb.EditRowRequest{
		Workspace: "school", Route: "/slips", EditId: "row",
		Values: map[string]string{"service": "slips", "rate": strconv.Itoa(rate), "burst": strconv.Itoa(burst)},
	}
	ps.retry("edit the row", func(ctx context.Context) error {
		_, err := operators.EditRow(ctx, connect.NewRequest(row))
		return err
	})
	ps.retry("grant a key", func(ctx context.Context) error {
		an, err := operators.GrantKey(ctx, connect.NewRequest(&registrarpb.GrantKeyRequest{Workspace: "school", EditId: "key"}))
		if err == nil {
			ps.key = an.Msg.GetKey()
		}
		return err
	})
}

// newClient returns a client whose connections are not reused: an idle one may have been closed in favour of the crowd.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// retry repeats a call until it succeeds; it fails the test after readyTimeout or when the process has ended.
func (ps *process) retry(what string, call func(context.Context) error) {
	ps.t.Helper()
	end := time.Now().Add(readyTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err := call(ctx)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ps.exited:
			ps.t.Fatalf("%s: the process has ended: %v", what, err)
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(end) {
			ps.t.Fatalf("%s: not within %v: %v", what, readyTimeout, err)
		}
	}
}

// mustServe waits until an ordinary request and a health check are answered.
func (ps *process) mustServe() {
	ps.t.Helper()
	client := newClient()
	ps.retry("ordinary request", func(ctx context.Context) error {
		return fetch(ctx, client, "http://"+ps.callers.String()+"/slips/7", ps.key)
	})
	ps.retry("health check", func(ctx context.Context) error {
		return fetch(ctx, client, "http://"+ps.operator.String()+"/health", "")
	})
}

// warmUp sends ordinary requests until a series of them was answered. Those that failed before the upstream was announced count as
// a sign of overload for a while.
func (ps *process) warmUp() {
	ps.t.Helper()
	const series = 200
	client := newClient()
	ps.retry("series of ordinary requests", func(ctx context.Context) error {
		for range series {
			if err := fetch(ctx, client, "http://"+ps.callers.String()+"/slips/7", ps.key); err != nil {
				return err
			}
		}
		return nil
	})
}

func fetch(ctx context.Context, client *http.Client, url, key string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set(gypsumhoist.HeaderKey, key)
	}
	rs, err := client.Do(req)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if _, err := io.Copy(io.Discard, rs.Body); err != nil {
		return err
	}
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s", rs.Status, rs.Header.Get(gypsumhoist.HeaderReason))
	}
	return nil
}

// sample records the most memory and descriptors of the process until it ends.
func (ps *process) sample() {
	folder := fmt.Sprintf("/proc/%d/", ps.command.Process.Pid)
	for {
		select {
		case <-ps.exited:
			return
		case <-time.After(sampleInterval):
		}
		names, err := os.ReadDir(folder + "fd")
		if err != nil {
			continue
		}
		ps.peakDescriptors.Store(max(ps.peakDescriptors.Load(), int64(len(names))))
		sent, received := queuedBytes(folder, names)
		ps.peakSent.Store(max(ps.peakSent.Load(), sent))
		ps.peakReceived.Store(max(ps.peakReceived.Load(), received))
		ps.peakMemory.Store(max(ps.peakMemory.Load(), residentBytes(folder)+sent+received))
	}
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(folder string) int64 {
	got, err := os.ReadFile(folder + "statm")
	fields := strings.Fields(string(got))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// queuedBytes returns how many bytes the kernel holds for the sockets of a process: written and not acknowledged, and received and not read.
func queuedBytes(folder string, names []os.DirEntry) (sent, received int64) {
	sockets := map[string]bool{}
	for _, name := range names {
		target, err := os.Readlink(folder + "fd/" + name.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok && err == nil {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, err := os.ReadFile(folder + "net/tcp")
	if err != nil {
		return 0, 0
	}
	const stateListening = "0A"
	for line := range strings.Lines(string(table)) {
		// sl local_address rem_address st tx_queue:rx_queue tr:tm->when retrnsmt uid timeout inode
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == stateListening || !sockets[fields[9]] {
			continue
		}
		tx, rx, _ := strings.Cut(fields[4], ":")
		sent += parseHex(tx)
		received += parseHex(rx)
	}
	return sent, received
}

// parseHex returns a number from a table of the kernel.
func parseHex(text string) int64 {
	num, _ := strconv.ParseInt(text, 16, 64)
	return num
}

// check checks, after the crowd has left, that the process lives, stayed under its bounds and answers an ordinary request.
func (ps *process) check(descriptors int64) {
	ps.t.Helper()
	ps.mustServe()
	memory, open := ps.peakMemory.Load(), ps.peakDescriptors.Load()
	ps.t.Logf("peak: %d MiB of memory, at the kernel %d MiB received and %d MiB sent, %d descriptors",
		memory>>20, ps.peakReceived.Load()>>20, ps.peakSent.Load()>>20, open)
	if memory > memoryBound {
		ps.t.Errorf("memory reached %d MiB, the bound is %d MiB", memory>>20, memoryBound>>20)
	}
	if open > descriptors {
		ps.t.Errorf("%d descriptors were open, the bound is %d", open, descriptors)
	}
	if memory == 0 || open == 0 {
		ps.t.Error("nothing was read from /proc")
	}
}

// tail returns the last lines of a file.
func tail(name string) string {
	data, err := os.ReadFile(name)
	if err != nil {
		return err.Error()
	}
	const size = 3000
	return string(data[max(0, len(data)-size):])
}
