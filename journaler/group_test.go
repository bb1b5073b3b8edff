package journaler_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/journaler"
	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// noPeers is a connector.Peers without any peers.
type noPeers struct{}

func (noPeers) Do(*http.Request) (*http.Response, error) { return nil, errors.New("no peers") }
func (noPeers) URL(netip.AddrPort) string                { return "http://127.0.0.1:1" }

// commandLog is a state machine that stores every command.
type commandLog struct{ all []string }

func (cl *commandLog) Apply(en rp.Entry) []byte {
	cl.all = append(cl.all, string(en.Command))
	return nil
}
func (cl *commandLog) Snapshot() []byte { return []byte(strings.Join(cl.all, " ")) }
func (cl *commandLog) Restore(data []byte) error {
	cl.all = strings.Fields(string(data))
	return nil
}

var _ = Describe("a group on a journal", func() {
	It("has every answered command after restarts with hundreds of entries and crashes at random points", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			gm, rnd := NewWithT(t), rand.New(rand.NewPCG(3, 3))
			fd := newMemory()
			var answered []string
			for restart := range 12 {
				jn, err := journaler.Open(fd)
				gm.Expect(err).To(Succeed())
				self, mc := rp.Member{Instance: "n1", Boot: jn.Identity()}, &commandLog{}
				hs := rp.NewHost(rp.WithPeers(noPeers{}))
				gp, err := hs.Open("g", self, mc, rp.WithInitialMembers(self), rp.WithJournal(jn), rp.WithSnapshotEvery(50))
				gm.Expect(err).To(Succeed())
				for gp.Barrier(context.Background()) != nil {
					time.Sleep(10 * time.Millisecond)
				}
				for _, want := range answered {
					gm.Expect(mc.all).To(ContainElement(want))
				}
				fd.opsLeft = 300 + rnd.IntN(200)
				for turn := 0; ; turn++ {
					word := fmt.Sprintf("w%d-%d", restart, turn)
					if _, err := gp.Propose(context.Background(), []byte(word)); err != nil {
						gm.Expect(err).NotTo(MatchError(context.Canceled))
						break
					}
					answered = append(answered, word)
				}
				hs.Stop()
				fd = fd.afterCrash(rnd)
			}
			gm.Expect(len(answered)).To(BeNumerically(">", 1000))
		})
	})
})
