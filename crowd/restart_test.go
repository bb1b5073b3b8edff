package crowd_test

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/emulator"
)

// olderBuildVariable names the file of another build of the program; without it, the fleet is restarted with its own build.
const olderBuildVariable = "GYPSUMHOIST_OLDER_BUILD"

// Parameters of the fleet.
const (
	fleetSize = 6
	// fleetRate is the rate of the workspace in requests per second, and fleetBurst its burst in requests.
	fleetRate  = 100
	fleetBurst = 100
	// fleetDemand is how many times the rate the callers ask for.
	fleetDemand = 3
	// settleTime is how long the fleet is left alone before and after a restart.
	settleTime = 3 * time.Second
)

// noAnswer is counted for a request that gets no answer, as its process has stopped.
const noAnswer = "no answer"

// Guards against builds that can't serve, or don't keep a rate, beside each other.
func TestHalfOfFleetRestartsWithAnotherBuild(t *testing.T) {
	other := os.Getenv(olderBuildVariable)
	if other == "" {
		other = binary
	}
	// One of the seeds is in each half.
	ft := startFleet(t, 0, fleetSize/2)
	ft.send()
	first, second := ft.processes[:fleetSize/2], ft.processes[fleetSize/2:]
	ft.restart(second, other)
	ft.restart(second, binary)
	ft.restart(first, other)
	ft.restart(first, binary)
	ft.stopSending()
	ft.checkRate()
}

// Guards against a seed that comes back knowing nobody and, with those that restart with it, hands out the whole rate beside the others.
func TestRateHoldsWhenHalfOfFleetRestartsWithItsOnlySeed(t *testing.T) {
	ft := startFleet(t, 0)
	ft.send()
	for range 2 {
		ft.restart(ft.processes[:fleetSize/2], binary)
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

// startFleet starts a fleet whose seeds are the processes with the given indices.
func startFleet(t *testing.T, seedIndices ...int) *fleet {
	t.Helper()
	ft := &fleet{t: t, stop: make(chan struct{}), answers: map[string]int{}}
	var all []settings
	for num := range fleetSize {
		// No connection has this address as its source, so that the ports stay free while a process restarts.
		host := netip.AddrFrom4([4]byte{127, 0, 1, byte(num + 1)})
		all = append(all, settings{
			instance: gypsumhoist.Instance(fmt.Sprintf("n%d", num+1)), nodeOnly: num > 0,
			listen: freeListenAddresses(t, host),
		})
	}
	var seeds []netip.AddrPort
	for _, ix := range seedIndices {
		seeds = append(seeds, all[ix].listen.peers)
	}
	for _, st := range all {
		st.seeds = seeds
		ps := launch(t, st)
		ps.startUpstream(emulator.WithServiceTime(10*time.Millisecond, 0), emulator.WithObserver(ft.observe))
		ft.processes = append(ft.processes, ps)
	}
	ft.processes[0].prepareTable(fleetRate, fleetBurst)
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

// restart stops processes with SIGTERM, starts a program in their place, and checks that the fleet serves at least half of the rate then.
func (ft *fleet) restart(processes []*process, program string) {
	ft.t.Helper()
	time.Sleep(settleTime)
	for _, ps := range processes {
		if err := ps.command.Process.Signal(syscall.SIGTERM); err != nil {
			ft.t.Fatal(err)
		}
	}
	for _, ps := range processes {
		select {
		case <-ps.exited:
		case <-time.After(readyTimeout):
			ft.t.Fatalf("a process does not stop within %v", readyTimeout)
		}
		ps.start(program)
	}
	from := time.Now()
	ft.mustServe()
	time.Sleep(settleTime)
	took := time.Since(from)
	served := ft.runsBetween(from, from.Add(took))
	ft.t.Logf("%d requests ran in %v after a restart", served, took.Round(time.Millisecond))
	if least := fleetRate * took.Seconds() / 2; float64(served) < least {
		ft.t.Errorf("%d requests ran in %v, %.0f are half of the rate", served, took, least)
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
	tk := time.NewTicker(time.Second * time.Duration(len(ft.processes)) / (fleetRate * fleetDemand))
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
	ft.mu.Lock()
	runs := slices.Clone(ft.runs)
	ft.mu.Unlock()
	most := 0
	for _, from := range runs {
		most = max(most, ft.runsBetween(from, from.Add(window)))
	}
	allowed := int(fleetRate*window.Seconds()) + fleetBurst
	ft.t.Logf("at most %d requests ran in %v, %d are allowed", most, window, allowed)
	if most > allowed {
		ft.t.Errorf("%d requests ran in %v, %d are allowed", most, window, allowed)
	}
}
