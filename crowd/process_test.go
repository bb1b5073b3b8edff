package crowd_test

import (
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
)

// Times of a test.
const (
	readyTimeout   = 40 * time.Second
	sampleInterval = 20 * time.Millisecond
	holdTime       = 2 * time.Second
)

// settings are the values of [bounds] that a test sets; zero keeps the default.
type settings struct {
	connections int
	headerBytes int
}

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
	t                                  *testing.T
	command                            *exec.Cmd
	callers, upstream, peers, operator netip.AddrPort
	key                                string
	exited                             chan struct{}
	// peakMemory is in bytes.
	peakMemory, peakDescriptors atomic.Int64
}

// startProcess starts a process with an upstream and waits until it has answered an ordinary request.
func startProcess(t *testing.T, st settings) *process {
	t.Helper()
	addrs := freeAddresses(t, 5)
	ps := &process{t: t, callers: addrs[0], upstream: addrs[1], peers: addrs[2], operator: addrs[3], exited: make(chan struct{})}
	folder := t.TempDir()
	file := filepath.Join(folder, "settings.toml")
	if err := os.WriteFile(file, []byte(ps.settingsText(folder, st)), 0o600); err != nil {
		t.Fatal(err)
	}
	ps.command = exec.Command(binary, "serve", file)
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	ps.command.Stdout, ps.command.Stderr = log, log
	if err := ps.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The exit status does not matter: the process is killed at the end of the test.
		_ = ps.command.Wait()
		close(ps.exited)
	}()
	up := emulator.NewUpstream("slips-1", "slips", emulator.WithAddress(addrs[4]), emulator.WithNode(ps.upstream))
	if err := up.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// An error means that the process has ended already.
		_ = ps.command.Process.Kill()
		<-ps.exited
		up.Stop()
		_ = log.Close()
		if t.Failed() {
			t.Logf("end of the process's log:\n%s", tail(log.Name()))
		}
	})
	ps.prepareTable()
	ps.mustServe()
	go ps.sample()
	return ps
}

func (ps *process) settingsText(folder string, st settings) string {
	text := fmt.Sprintf(`instance = "n1"
failure_domain = "hobart"
roles = ["node", "control"]
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
`, filepath.Join(folder, "data"), ps.callers, ps.upstream, ps.peers, ps.operator)
	if st.connections > 0 {
		text += fmt.Sprintf("connections = %d\n", st.connections)
	}
	if st.headerBytes > 0 {
		text += fmt.Sprintf("header_bytes = %d\n", st.headerBytes)
	}
	return text
}

// freeAddresses returns loopback addresses whose ports are free now.
func freeAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	var out []netip.AddrPort
	for range count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		out = append(out, netip.MustParseAddrPort(ln.Addr().String()))
	}
	return out
}

// prepareTable adds a row and a key.
func (ps *process) prepareTable() {
	ps.t.Helper()
	operators := registrarpb.NewOfficeClient(newClient(), "http://"+ps.operator.String(), connect.WithProtoJSON())
	row := &registrarpb.EditRowRequest{
		Workspace: "school", Route: "/slips", EditId: "row",
		Values: map[string]string{"service": "slips", "rate": "100000", "burst": "100000"},
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

// sample records the highest resident memory and number of descriptors until the process ends.
func (ps *process) sample() {
	folder := fmt.Sprintf("/proc/%d/", ps.command.Process.Pid)
	for {
		select {
		case <-ps.exited:
			return
		case <-time.After(sampleInterval):
		}
		if got, err := os.ReadDir(folder + "fd"); err == nil {
			ps.peakDescriptors.Store(max(ps.peakDescriptors.Load(), int64(len(got))))
		}
		if got, err := os.ReadFile(folder + "statm"); err == nil {
			if fields := strings.Fields(string(got)); len(fields) > 1 {
				pages, _ := strconv.ParseInt(fields[1], 10, 64)
				ps.peakMemory.Store(max(ps.peakMemory.Load(), pages*int64(os.Getpagesize())))
			}
		}
	}
}

// check checks, after the crowd has left, that the process lives, stayed under its bounds and answers an ordinary request.
func (ps *process) check(descriptors int64) {
	ps.t.Helper()
	ps.mustServe()
	memory, open := ps.peakMemory.Load(), ps.peakDescriptors.Load()
	ps.t.Logf("peak: %d MiB resident, %d descriptors", memory>>20, open)
	if memory > memoryBound {
		ps.t.Errorf("resident memory reached %d MiB, the bound is %d MiB", memory>>20, memoryBound>>20)
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
