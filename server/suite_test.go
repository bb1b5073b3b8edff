package server_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	netemulator "github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// suite is the test that the specs run in; synctest and rapid need it.
var suite *testing.T

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func TestServer(t *testing.T) {
	suite = t
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "server")
}

// testFleet is a fleet of three failure domains with an in-memory network, in a synctest bubble:
// three instances of the service slips, then one of the service roster.
type testFleet struct {
	fleet   *emulator.Fleet
	client  *http.Client
	key     string
	network *netemulator.Network

	mu  sync.Mutex
	ran map[gypsumhoist.Instance]int // requests by instance
}

// countRun counts a request run by an upstream.
func (tf *testFleet) countRun(rn checker.Run) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	tf.ran[rn.Instance]++
}

func inFleet(spec func(tf *testFleet)) func() {
	return func() {
		folder, err := os.MkdirTemp("", "gypsumhoist-server-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			tf := newTestFleet(folder)
			defer tf.fleet.Close()
			defer tf.client.CloseIdleConnections()
			tf.editRow("/slips")
			tf.grantKey()
			spec(tf)
		})
	}
}

func newTestFleet(folder string) *testFleet {
	nw := netemulator.New()
	host := func(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network { return nw.Host(addr, fd) }
	dp := emulator.Deployment{
		Domains: []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"},
		Services: []emulator.Service{
			{Name: "slips", Upstreams: 3, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond},
			{Name: "roster", Upstreams: 1, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond},
		},
		ControlCount: 3,
	}
	address := func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 0, byte(domain + 1), byte(number)})
	}
	tf := &testFleet{ran: map[gypsumhoist.Instance]int{}, network: nw}
	tf.fleet = emulator.NewFleet(dp.InstanceSpecs(address, folder), emulator.WithRunObserver(tf.countRun),
		emulator.WithInstanceNetworks(host), emulator.WithCallerNetwork(host(netip.MustParseAddr("10.9.0.1"), "outside")))
	tf.client = tf.fleet.Client()
	Expect(tf.fleet.Start()).To(Succeed())
	time.Sleep(10 * time.Second)
	return tf
}

func (tf *testFleet) operatorClient() registrarpb.OfficeClient {
	return tf.fleet.OperatorClient(tf.client, tf.fleet.Names()[0])
}

func (tf *testFleet) editRow(route string) {
	values := map[string]string{"service": "slips", "rate": "50", "burst": "20"}
	rq := &registrarpb.EditRowRequest{Workspace: "school", Route: route, Values: values, EditId: "row" + route, WaitMs: 5000}
	_, err := tf.operatorClient().EditRow(context.Background(), connect.NewRequest(rq))
	Expect(err).NotTo(HaveOccurred())
}

func (tf *testFleet) grantKey() {
	an, err := tf.operatorClient().GrantKey(context.Background(), connect.NewRequest(&registrarpb.GrantKeyRequest{Workspace: "school", EditId: "key", WaitMs: 5000}))
	Expect(err).NotTo(HaveOccurred())
	tf.key = an.Msg.GetKey()
	time.Sleep(10 * time.Second)
}

// call sends a caller's request to an instance and returns the status and request ID.
func (tf *testFleet) call(at int, path string) (int, string) {
	return tf.callWith(at, path, tf.key)
}

// callWith sends a caller's request with the given key and an optional header.
func (tf *testFleet) callWith(at int, path, key string, header ...string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s%s", tf.fleet.InstanceSpecs()[at].Settings.Listen.Callers, path), nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(gypsumhoist.HeaderKey, key)
	if len(header) == 2 {
		req.Header.Set(header[0], header[1])
	}
	rs, err := tf.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer rs.Body.Close()
	_, err = io.Copy(io.Discard, rs.Body)
	Expect(err).NotTo(HaveOccurred())
	return rs.StatusCode, rs.Header.Get(gypsumhoist.HeaderRequest)
}

// requestOperator sends a request to the operator port of an instance and decodes its JSON response; a *string gets the body as text.
func (tf *testFleet) requestOperator(at int, method, path string, into any) int {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", tf.fleet.InstanceSpecs()[at].Settings.Listen.Operator, path), nil)
	Expect(err).NotTo(HaveOccurred())
	rs, err := tf.client.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	Expect(err).NotTo(HaveOccurred())
	if text, ok := into.(*string); ok {
		*text = string(body)
		return rs.StatusCode
	}
	Expect(json.Unmarshal(body, into)).To(Succeed())
	return rs.StatusCode
}
