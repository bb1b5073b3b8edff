package emulator_test

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	netemulator "github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/emulator"
)

var shapes = flag.String("shapes", "1x2", "fleets that TestMeasureBytes runs, as DOMAINSxINSTANCES, separated by commas")

// busiestLogged is how many of the instances that send most are logged.
const busiestLogged = 6

// TestMeasureBytes logs how many bytes the instances of a fleet without calls send. It runs in virtual time,
// so the load of the machine does not change the result.
func TestMeasureBytes(t *testing.T) {
	for txt := range strings.SplitSeq(*shapes, ",") {
		var domains, each int
		if _, err := fmt.Sscanf(txt, "%dx%d", &domains, &each); err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measureBytes(t, domains, each) })
	}
}

func measureBytes(t *testing.T, domains, each int) {
	const warm, window = 40 * time.Second, 20 * time.Second
	dp := emulator.Deployment{ControlCount: 3}
	for ix := range domains {
		dp.Domains = append(dp.Domains, gypsumhoist.FailureDomain(fmt.Sprintf("domain-%02d", ix)))
	}
	dp.Services = []emulator.Service{{Name: serviceName(0), Upstreams: domains * each, Slots: 64, Connections: 256, MeanServiceTime: 5 * time.Millisecond}}
	address := func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 90, byte(domain + 1), byte(number)})
	}
	nw := netemulator.New()
	hosts := map[netip.Addr]*netemulator.Host{}
	fl := emulator.NewFleet(dp.InstanceSpecs(address, t.TempDir()), emulator.WithInstanceNetworks(
		func(ad netip.Addr, fd gypsumhoist.FailureDomain) connector.Network {
			if hosts[ad] == nil {
				hosts[ad] = nw.Host(ad, fd)
			}
			return hosts[ad]
		}))
	if err := fl.Start(); err != nil {
		t.Fatal(err)
	}
	defer fl.Close()
	time.Sleep(warm)
	before := map[netip.Addr]uint64{}
	for ad, hs := range hosts {
		before[ad] = hs.Sent()
	}
	time.Sleep(window)
	var all uint64
	sent := map[gypsumhoist.Instance]uint64{}
	for _, sp := range fl.InstanceSpecs() {
		bytes := hosts[sp.Address()].Sent() - before[sp.Address()]
		sent[sp.Settings.Instance] = bytes / uint64(window/time.Second)
		all += sent[sp.Settings.Instance]
	}
	names := slices.SortedFunc(maps.Keys(sent), func(na, nb gypsumhoist.Instance) int { return cmp.Compare(sent[nb], sent[na]) })
	if all == 0 {
		t.Error("no instance sent anything")
	}
	t.Logf("%d domains of %d instances: mean %d bytes/s sent per instance, median %d",
		domains, each, all/uint64(len(hosts)), sent[names[len(names)/2]])
	for _, name := range names[:min(len(names), busiestLogged)] {
		founders := fl.Process(name).Spec.Settings.Control.Founders
		t.Logf("  %s (control: %t): %d", name, len(founders) > 0, sent[name])
	}
}
