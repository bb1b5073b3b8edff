package connector_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that runs the suite; synctest.Test needs it.
var suiteT *testing.T

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func TestConnector(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "connector")
}

// bubble runs a spec in a synctest bubble, that is in virtual time; the spec must use the Gomega that is passed to it.
func bubble(fn func(g Gomega)) func() {
	return func() {
		failure := ""
		synctest.Test(suiteT, func(*testing.T) {
			defer func() {
				// A failed assertion ends the spec; goroutines that it leaves running may end the bubble before Fail is called.
				if got := recover(); got != nil {
					failure = fmt.Sprint(got)
					fmt.Fprintln(os.Stderr, failure)
				}
				// Idle connections and pending dials reach their timeouts.
				time.Sleep(2 * time.Minute)
			}()
			fn(NewGomega(func(message string, _ ...int) { panic(message) }))
		})
		if failure != "" {
			Fail(failure)
		}
	}
}

var (
	clientAddr = netip.MustParseAddr("10.0.0.1")
	serverAddr = netip.MustParseAddr("10.0.0.2")
	serverPort = netip.AddrPortFrom(serverAddr, 80)
)
