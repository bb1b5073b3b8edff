package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/emulator"
)

// Environment variables of the test.
const (
	// olderBuildVariable names the file of another build of the program; without it, the fleet is restarted with its own build.
	olderBuildVariable = "GYPSUMHOIST_OLDER_BUILD"
	// oneSeedVariable, if set, leaves the fleet a single seed.
	oneSeedVariable = "GYPSUMHOIST_ONE_SEED"
)

// The rate of the workspace in requests per second, its burst, and how many times the rate its callers ask for.
const (
	mixedRate   = 100
	mixedBurst  = 100
	mixedDemand = 3
)

// noAnswer is counted for a request that gets no answer, as its process has stopped.
const noAnswer = "no answer"

// Guards against builds that can't serve, or don't keep a rate, beside each other.
func TestHalfOfFleetRestartsWithAnotherBuild(t *testing.T) {
	other := os.Getenv(olderBuildVariable)
	if other == "" {
		other = binary
	}
	ft := startFleet(t, 6)
	ft.send()
	half := len(ft.processes) / 2
	for _, step := range []struct {
		processes []*process
		program   string
	}{
		{ft.processes[half:], other},
		{ft.processes[half:], binary},
		{ft.processes[:half], other},
		{ft.processes[:half], binary},
	} {
		time.Sleep(3 * time.Second)
		restart(step.processes, step.program)
		from := time.Now()
		ft.mustServe()
		time.Sleep(3 * time.Second)
		took := time.Since(from)
		served := ft.runsBetween(from, from.Add(took))
		t.Logf("%d requests ran in %v after a restart", served, took.Round(time.Millisecond))
		if least := mixedRate * took.Seconds() / 2; float64(served) < least {
			t.Errorf("%d requests ran in %v, %.0f are half of the rate", served, took, least)
		}
	}
	ft.stopSending()
	ft.checkRate()
}

// fleet is several processes, each with an upstream and with callers that send more than the rate allows.
type fleet struct {
	t         *testing.T
	processes []*process
	stop      chan struct{}
	senders   sync.WaitGroup

	mu      sync.Mutex
	runs    []time.Time
	answers map[string]int
}

func startFleet(t *testing.T, count int) *fleet {
	t.Helper()
	ft := &fleet{t: t, stop: make(chan struct{}), answers: map[string]int{}}
	var all []settings
	for num := range count {
		// No connection has this address as its source, so that the ports stay free while a process restarts.
		host := netip.AddrFrom4([4]byte{127, 0, 1, byte(num + 1)})
		all = append(all, settings{
			instance: gypsumhoist.Instance(fmt.Sprintf("n%d", num+1)), nodeOnly: num > 0,
			host: host, peers: freeAddresses(t, host, 1)[0],
		})
	}
	// One of the seeds is in each half.
	seeds := []netip.AddrPort{all[0].peers, all[count/2].peers}
	if os.Getenv(oneSeedVariable) != "" {
		seeds = seeds[:1]
	}
	for _, st := range all {
		st.seeds = seeds
		ps := launch(t, st)
		ps.startUpstream(emulator.WithServiceTime(10*time.Millisecond, 0), emulator.WithObserver(ft.observe))
		ft.processes = append(ft.processes, ps)
	}
	ft.processes[0].prepareTable(mixedRate, mixedBurst)
	for _, ps := range ft.processes {
		ps.key = ft.processes[0].key
	}
	ft.mustServe()
	return ft
}

func (ft *fleet) observe(rn checker.Run) {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.runs = append(ft.runs, rn.Began)
}

// mustServe waits until each process has answered an ordinary request.
func (ft *fleet) mustServe() {
	ft.t.Helper()
	for _, ps := range ft.processes {
		ps.mustServe()
	}
}

// restart stops processes with SIGTERM and starts a program in their place.
func restart(processes []*process, program string) {
	for _, ps := range processes {
		if err := ps.command.Process.Signal(syscall.SIGTERM); err != nil {
			ps.t.Fatal(err)
		}
	}
	for _, ps := range processes {
		select {
		case <-ps.exited:
		case <-time.After(readyTimeout):
			ps.t.Fatalf("a process does not stop within %v", readyTimeout)
		}
		ps.start(program)
	}
}

// send starts the callers.
func (ft *fleet) send() {
	for _, ps := range ft.processes {
		ft.senders.Add(1)
		go ft.run(ps)
	}
}

func (ft *fleet) stopSending() {
	close(ft.stop)
	ft.senders.Wait()
	ft.t.Logf("answers: %v", ft.answers)
	for answer := range ft.answers {
		switch {
		case answer == "200", answer == "429 rate", strings.HasPrefix(answer, "503 "), answer == noAnswer:
		default:
			ft.t.Errorf("unexpected answer: %s", answer)
		}
	}
}

// run sends a process its part of the requests, at a steady pace.
func (ft *fleet) run(ps *process) {
	defer ft.senders.Done()
	tk := time.NewTicker(time.Second * time.Duration(len(ft.processes)) / (mixedRate * mixedDemand))
	defer tk.Stop()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-ft.stop:
			return
		case <-tk.C:
		}
		ft.senders.Add(1)
		go func() {
			defer ft.senders.Done()
			ft.request(client, ps)
		}()
	}
}

func (ft *fleet) request(client *http.Client, ps *process) {
	answer := noAnswer
	req, err := http.NewRequest(http.MethodGet, "http://"+ps.callers.String()+"/slips/7", nil)
	if err == nil {
		req.Header.Set(gypsumhoist.HeaderKey, ps.key)
		if rs, err := client.Do(req); err == nil {
			// What matters of the body is that the connection can be used again.
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
			answer = strings.TrimSpace(fmt.Sprint(rs.StatusCode, " ", rs.Header.Get(gypsumhoist.HeaderReason)))
		}
	}
	ft.mu.Lock()
	defer ft.mu.Unlock()
	ft.answers[answer]++
}

// runsBetween returns how many requests began to run in a time.
func (ft *fleet) runsBetween(from, to time.Time) int {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	count := 0
	for _, at := range ft.runs {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// checkRate checks that no more requests ran in any 5 s than the rate and the burst allow.
func (ft *fleet) checkRate() {
	const window = 5 * time.Second
	most := 0
	for _, from := range ft.runs {
		most = max(most, ft.runsBetween(from, from.Add(window)))
	}
	allowed := int(mixedRate*window.Seconds()) + mixedBurst
	ft.t.Logf("at most %d requests ran in %v, %d are allowed", most, window, allowed)
	if most > allowed {
		ft.t.Errorf("%d requests ran in %v, %d are allowed", most, window, allowed)
	}
}
