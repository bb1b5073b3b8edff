package sharder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// network carries requests between processes in memory with a delay of 1 ms each way; requests between partitions are lost.
type network struct {
	mu        sync.Mutex
	handlers  map[string]http.Handler
	partition map[string]int // by address; only requests within the same partition pass
	bytes     int
	requests  int
}

// transport sends the requests of one process.
type transport struct {
	nw   *network
	addr string
}

func (tr transport) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

func (tr transport) Do(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	hd, err := tr.nw.deliver(req.Context(), tr.addr, req.URL.Host, len(body))
	if err != nil {
		return nil, err
	}
	in := httptest.NewRequestWithContext(req.Context(), req.Method, req.URL.Path, bytes.NewReader(body))
	in.Header = req.Header
	rec := httptest.NewRecorder()
	hd.ServeHTTP(rec, in)
	if _, err := tr.nw.deliver(req.Context(), req.URL.Host, tr.addr, rec.Body.Len()); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}

func (nw *network) deliver(ctx context.Context, from, to string, size int) (http.Handler, error) {
	time.Sleep(time.Millisecond)
	nw.mu.Lock()
	nw.bytes += size
	nw.requests++
	hd, lost := nw.handlers[to], nw.partition[from] != nw.partition[to]
	nw.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if hd == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("refused")}
	}
	return hd, nil
}

// commandLog is a state machine that stores every command.
type commandLog struct {
	mu  sync.Mutex
	All []string
}

func (cl *commandLog) Apply(en replicator.Entry) []byte {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.All = append(cl.All, string(en.Command))
	return fmt.Append(nil, len(cl.All))
}

func (cl *commandLog) Snapshot() []byte {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	data, _ := json.Marshal(cl.All)
	return data
}

func (cl *commandLog) Restore(data []byte) error {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.All = nil
	return json.Unmarshal(data, &cl.All)
}

// process is the process of an instance.
type process struct {
	member  replicator.Member
	domain  gypsumhoist.FailureDomain
	state   sharder.State
	host    *replicator.Host
	sharder *sharder.Sharder
	mu      sync.Mutex
	logs    map[sharder.Key]*commandLog
}

// fleet is a set of processes that all receive the same gossip and table at the same time.
type fleet struct {
	nw              *network
	live            []*process
	newest          map[gypsumhoist.Instance]*process // the newest process of each instance
	planner         sharder.Planner
	placements      []sharder.Placement
	reports         map[sharder.Key]sharder.Report
	duplicateLeases int
}

func newFleet() *fleet {
	nw := &network{handlers: map[string]http.Handler{}, partition: map[string]int{}}
	return &fleet{nw: nw, newest: map[gypsumhoist.Instance]*process{}, reports: map[sharder.Key]sharder.Report{}}
}

// start starts a process of a new or stopped instance.
func (fl *fleet) start(fd gypsumhoist.FailureDomain, number int) *process {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, fd[0], byte(number)}), 7000)
	mb := replicator.Member{
		Instance: gypsumhoist.Instance(fmt.Sprintf("%s%d", fd, number)), Boot: sharder.NewBoot(time.Now(), 7), Peer: addr,
	}
	pr := &process{member: mb, domain: fd, state: sharder.StateAlive, logs: map[sharder.Key]*commandLog{}}
	pr.host = replicator.NewHost(replicator.WithPeers(transport{fl.nw, addr.String()}))
	pr.sharder = sharder.New(
		sharder.WithHost(pr.host), sharder.WithSelf(mb, fd), sharder.WithMachine(pr.newMachine), sharder.WithSeed(uint64(number)),
	)
	path, hd := pr.host.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, hd)
	fl.nw.mu.Lock()
	fl.nw.handlers[addr.String()] = mux
	delete(fl.nw.partition, addr.String())
	fl.nw.mu.Unlock()
	pr.sharder.Start()
	fl.live = append(fl.live, pr)
	fl.newest[mb.Instance] = pr
	return pr
}

func (pr *process) newMachine(key sharder.Key, _ uint64, _ time.Time) replicator.StateMachine {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	lg := &commandLog{}
	pr.logs[key] = lg
	return lg
}

// kill isolates a process and stops it, so that it can't announce its end; gossip suspects it.
func (fl *fleet) kill(pr *process) {
	fl.isolate(pr, true)
	pr.state = sharder.StateSuspect
	var rest []*process
	for _, ot := range fl.live {
		if ot != pr {
			rest = append(rest, ot)
		}
	}
	fl.live = rest
	pr.sharder.Stop()
	pr.host.Stop()
}

// isolate puts a process into a partition of its own, or reconnects it.
func (fl *fleet) isolate(pr *process, isolated bool) {
	partition := 0
	if isolated {
		partition = int(pr.member.Peer.Addr().As4()[3]) + 2 // of its own
	}
	fl.setPartition(partition, pr)
}

// setPartition moves processes to a partition; all start in partition 0.
func (fl *fleet) setPartition(partition int, prs ...*process) {
	fl.nw.mu.Lock()
	defer fl.nw.mu.Unlock()
	for _, pr := range prs {
		fl.nw.partition[pr.member.Peer.String()] = partition
	}
}

// propagate delivers plans, placements, members and reports to all processes once.
func (fl *fleet) propagate() {
	var candidates []sharder.Candidate
	for _, pr := range fl.newest {
		candidates = append(candidates, sharder.Candidate{Member: pr.member, Domain: pr.domain, State: pr.state})
	}
	for _, pr := range fl.live {
		for _, re := range pr.sharder.Reports() {
			if old, ok := fl.reports[re.Key]; !ok || !old.Newer(re) {
				fl.reports[re.Key] = re
			}
		}
	}
	var reports []sharder.Report
	for _, re := range fl.reports {
		reports = append(reports, re)
	}
	fl.placements = append(fl.placements, fl.planner.Plan(time.Now(), fl.placements, candidates, reports)...)
	for _, pr := range fl.live {
		pr.sharder.SetCandidates(candidates)
		pr.sharder.SetReports(reports)
		pr.sharder.SetPlacements(fl.placements)
	}
}

// advance lets virtual time pass and propagates all state every 200 ms.
func (fl *fleet) advance(dr time.Duration) {
	for end := time.Now().Add(dr); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		fl.propagate()
		fl.countDuplicateLeases()
	}
}

// countDuplicateLeases counts shards whose lease is held by two processes, which must never happen.
func (fl *fleet) countDuplicateLeases() {
	held := map[sharder.Key]bool{}
	for _, pr := range fl.live {
		for shard := range sharder.ShardCount {
			key := sharder.Key{Domain: pr.domain, Shard: shard}
			if !pr.sharder.Lease(shard).Held {
				continue
			}
			if held[key] {
				fl.duplicateLeases++
			}
			held[key] = true
		}
	}
}

func (fl *fleet) stop() {
	for _, pr := range fl.live {
		pr.sharder.Stop()
		pr.host.Stop()
	}
}
