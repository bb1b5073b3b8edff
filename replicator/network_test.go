package replicator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

const oneWay = time.Millisecond

// simNetwork delivers requests between hosts in memory, with a delay of 1 ms each way. A blocked direction
// drops requests silently.
type simNetwork struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	blocked  map[[2]string]bool
	bytes    int
	delay    time.Duration // one way
	seed     uint64
}

// simPeers is the connector.Peers of one process.
type simPeers struct {
	network *simNetwork
	addr    string
}

func newSimNetwork() *simNetwork {
	return &simNetwork{handlers: map[string]http.Handler{}, blocked: map[[2]string]bool{}, delay: oneWay}
}

func (sp simPeers) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

func (sp simPeers) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	to := req.URL.Host
	hd, err := sp.network.transmit(req.Context(), sp.addr, to, len(body))
	if err != nil {
		return nil, err
	}
	in := httptest.NewRequestWithContext(req.Context(), req.Method, req.URL.Path, bytes.NewReader(body))
	in.Header = req.Header
	rec := httptest.NewRecorder()
	hd.ServeHTTP(rec, in)
	if _, err := sp.network.transmit(req.Context(), to, sp.addr, rec.Body.Len()); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

func (nw *simNetwork) transmit(ctx context.Context, from, to string, size int) (http.Handler, error) {
	time.Sleep(nw.delay)
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.bytes += size
	if nw.blocked[[2]string{from, to}] {
		nw.mu.Unlock()
		<-ctx.Done()
		nw.mu.Lock()
		return nil, ctx.Err()
	}
	hd := nw.handlers[to]
	if hd == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("refused")}
	}
	return hd, nil
}

// isolate blocks or unblocks an address, separately for each direction.
func (nw *simNetwork) isolate(addr string, out, in bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for other := range nw.handlers {
		if other != addr {
			nw.blocked[[2]string{addr, other}] = out
			nw.blocked[[2]string{other, addr}] = in
		}
	}
}

// recordingMachine is a state machine that records every command.
type recordingMachine struct {
	mu   sync.Mutex
	List []string
}

func (rm *recordingMachine) Apply(en rp.Entry) []byte {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.List = append(rm.List, string(en.Command))
	return fmt.Append(nil, len(rm.List))
}

func (rm *recordingMachine) Snapshot() []byte {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	data, _ := json.Marshal(rm.List)
	return data
}

func (rm *recordingMachine) Restore(data []byte) error {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.List = nil
	return json.Unmarshal(data, &rm.List)
}

func (rm *recordingMachine) all() []string {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	return append([]string(nil), rm.List...)
}

// process is one host with at most one group, "g".
type process struct {
	network *simNetwork
	member  rp.Member
	host    *rp.Host
	group   *rp.Group
	machine *recordingMachine
}

func (nw *simNetwork) process(number int, boot string) *process {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7000)
	hs := rp.NewHost(rp.WithPeers(simPeers{network: nw, addr: addr.String()}))
	path, hd := hs.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, hd)
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.handlers[addr.String()] = mux
	mb := rp.Member{Instance: gypsumhoist.Instance(fmt.Sprintf("n%d", number)), Boot: boot, Peer: addr}
	return &process{network: nw, member: mb, host: hs, machine: &recordingMachine{}}
}

func (pr *process) open(opts ...rp.GroupOption) error {
	seeded := append([]rp.GroupOption{rp.WithSeed(pr.network.seed + uint64(pr.member.Peer.Addr().As4()[3]))}, opts...)
	gp, err := pr.host.Open("g", pr.member, pr.machine, seeded...)
	pr.group = gp
	return err
}

// kill stops the process without notice to others.
func (pr *process) kill() {
	pr.network.isolate(pr.member.Peer.String(), true, true)
	pr.network.mu.Lock()
	delete(pr.network.handlers, pr.member.Peer.String())
	pr.network.mu.Unlock()
	pr.host.Stop()
}

// startThree starts three processes with one group and memory journals.
func (nw *simNetwork) startThree(opts ...rp.GroupOption) ([]*process, error) {
	var prs []*process
	var initial []rp.Member
	for number := 1; number <= 3; number++ {
		prs = append(prs, nw.process(number, "1"))
		initial = append(initial, prs[number-1].member)
	}
	for _, pr := range prs {
		if err := pr.open(append(opts, rp.WithInitialMembers(initial...))...); err != nil {
			return nil, err
		}
	}
	return prs, nil
}

// waitForLeader waits until a process holds the lease, and returns it and the time waited. It returns nil after a minute.
func waitForLeader(prs []*process) (*process, time.Duration) {
	began := time.Now()
	for time.Since(began) < time.Minute {
		for _, pr := range prs {
			if _, _, held := pr.group.Lease(); held {
				return pr, time.Since(began)
			}
		}
		time.Sleep(time.Millisecond)
	}
	return nil, 0
}

func without(prs []*process, out ...*process) []*process {
	var rest []*process
	for _, pr := range prs {
		keep := true
		for _, ot := range out {
			keep = keep && pr != ot
		}
		if keep {
			rest = append(rest, pr)
		}
	}
	return rest
}
