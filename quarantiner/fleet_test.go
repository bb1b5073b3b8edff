package quarantiner_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
)

// fleet is a service of several nodes in memory, with delayed gossip.
type fleet struct {
	mu           sync.Mutex
	nodes        []*node
	handlers     map[string]http.Handler
	partitioned  func(from, to int) bool
	dropResponse func(path string) bool // whether the response of a call is lost
	gossipDelay  time.Duration
	members      []quarantiner.Member
	deaths       int
}

// node is a node with a simulated upstream.
type node struct {
	fleet *fleet
	at    int
	qr    *quarantiner.Quarantiner

	mu   sync.Mutex
	boot uint64
	died chan struct{}
}

// request is one request of a caller.
type request struct {
	target string
	body   string
	poison bool
	takes  time.Duration // 10 ms if zero
}

func (rq request) info() quarantiner.RequestInfo {
	return quarantiner.RequestInfo{Workspace: "school", Route: "/", Method: "POST", Target: rq.target}
}

func newFleet(count int, gossipDelay time.Duration) *fleet {
	fl := &fleet{handlers: map[string]http.Handler{}, gossipDelay: gossipDelay, partitioned: func(int, int) bool { return false }}
	fl.dropResponse = func(string) bool { return false }
	for at := range count {
		nd := &node{fleet: fl, at: at, boot: 1, died: make(chan struct{})}
		self := quarantiner.Process{Instance: gypsumhoist.Instance(fmt.Sprint("n", at)), Boot: 7}
		nd.qr = quarantiner.New(self, quarantiner.WithPeers(&peers{fleet: fl, from: at}), quarantiner.WithPublish(nd.publish))
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(at)}), 80)
		fl.members = append(fl.members, quarantiner.Member{Process: self, Peer: addr})
		_, fl.handlers[addr.String()] = nd.qr.Handler()
		fl.nodes = append(fl.nodes, nd)
	}
	fl.setView(fl.nodes, fl.nodes)
	for _, nd := range fl.nodes {
		nd.qr.Start()
	}
	time.Sleep(11 * time.Second) // until then the arbiters grant nothing: permits from before their start may be held
	return fl
}

// setView sets the members that some nodes see.
func (fl *fleet) setView(nodes, others []*node) {
	var members []quarantiner.Member
	for _, nd := range others {
		members = append(members, fl.members[nd.at])
	}
	for _, nd := range nodes {
		nd.qr.SetMembers(members)
	}
}

func (fl *fleet) stop() {
	time.Sleep(time.Minute)
	for _, nd := range fl.nodes {
		nd.qr.Stop()
	}
}

// publish delivers a rumor to all other nodes that can be reached, after the gossip delay.
func (nd *node) publish(rm quarantiner.Rumor) {
	for _, other := range nd.fleet.nodes {
		if nd.fleet.partitioned(nd.at, other.at) || other == nd {
			continue
		}
		time.AfterFunc(nd.fleet.gossipDelay, func() { _ = other.qr.MergeRumor(rm.Payload, rm.TTL) })
	}
}

// peers delivers the messages of one node.
type peers struct {
	fleet *fleet
	from  int
}

func (ps *peers) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

func (ps *peers) Do(rq *http.Request) (*http.Response, error) {
	handler, ok := ps.fleet.handlers[rq.URL.Host]
	addr, err := netip.ParseAddrPort(rq.URL.Host)
	if !ok || err != nil || ps.fleet.partitioned(ps.from, int(addr.Addr().As4()[3])) {
		return nil, errors.New("the peer cannot be reached")
	}
	time.Sleep(time.Millisecond)
	rec := httptest.NewRecorder()
	handler.ServeHTTP(rec, rq)
	if ps.fleet.dropResponse(rq.URL.Path) {
		return nil, errors.New("the response was lost")
	}
	return rec.Result(), nil
}

var errBroke = errors.New("the connection to the upstream broke")

// send runs a request at a node, as the forwarder does.
func (nd *node) send(rq request) error {
	length := int64(len(rq.body))
	fp := quarantiner.NewFingerprint(rq.info(), nil, length)
	prefix := []byte(rq.body)[:min(len(rq.body), nd.qr.NeedsBody(fp))]
	fl, err := nd.qr.Begin(context.Background(), fp, prefix)
	if err != nil {
		return err
	}
	_, _ = fp.Write([]byte(rq.body))
	nd.mu.Lock()
	died := nd.died
	nd.mu.Unlock()
	if rq.poison {
		time.Sleep(5 * time.Millisecond)
		fl.End(quarantiner.EndConnectionBroken)
		nd.crash()
		return errBroke
	}
	select {
	case <-died:
		fl.End(quarantiner.EndConnectionBroken)
		return errBroke
	case <-time.After(max(rq.takes, 10*time.Millisecond)):
		fl.End(quarantiner.EndCompleted)
		return nil
	}
}

// crash ends the upstream's process and starts the next one.
func (nd *node) crash() {
	nd.fleet.mu.Lock()
	nd.fleet.deaths++
	nd.fleet.mu.Unlock()
	nd.mu.Lock()
	boot := nd.boot
	nd.boot++
	close(nd.died)
	nd.died = make(chan struct{})
	nd.mu.Unlock()
	nd.qr.UpstreamDied(context.Background(), boot)
}

// sendAsync runs a request in a goroutine and returns a channel for its error.
func (nd *node) sendAsync(rq request) chan error {
	out := make(chan error, 1)
	go func() { out <- nd.send(rq) }()
	return out
}

// sendToAll sends a request to all nodes at once and returns their errors.
func (fl *fleet) sendToAll(rq request) []error {
	var results []chan error
	for _, nd := range fl.nodes {
		results = append(results, nd.sendAsync(rq))
	}
	var out []error
	for _, result := range results {
		out = append(out, <-result)
	}
	return out
}

// statusCounts counts the entries of all nodes' lists by status.
func (fl *fleet) statusCounts() map[quarantiner.Status]int {
	out := map[quarantiner.Status]int{}
	for _, nd := range fl.nodes {
		for _, en := range nd.qr.List() {
			out[en.Status]++
		}
	}
	return out
}
