package server_test

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

var _ = ginkgo.Describe("an upstream that returns cold", func() {
	// Guards against the whole load reaching a restarted upstream before its first announcement, or at once while it warms up.
	ginkgo.It("gets no more requests a second than its row allows, also before it has announced that it restarted", inFleet(func(tf *testFleet) {
		const coldRate, steps, step = 10, 60, 100 * time.Millisecond
		rq := &registrarpb.EditRowRequest{
			Workspace: "school", Route: "/slips", EditId: "cold", WaitMs: 5000, Number: 1,
			Values: map[string]string{"cold_rate": "10", "rate": "1000", "burst": "100"},
		}
		_, err := tf.operatorClient().EditRow(context.Background(), connect.NewRequest(rq))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(15 * time.Second)
		name := tf.fleet.Names()[1]
		var wg sync.WaitGroup
		answered := 0
		call := func() {
			wg.Go(func() {
				status, _ := tf.call(1, "/slips/1")
				tf.mu.Lock()
				defer tf.mu.Unlock()
				if status == 200 {
					answered++
				}
			})
		}
		tf.fleet.Process(name).Upstream.Stop()
		call()
		time.Sleep(500 * time.Millisecond)
		Expect(tf.fleet.StartUpstream(name)).To(Succeed())
		up := tf.fleet.Process(name).Upstream
		up.PauseAnnouncements(true)
		up.SetState(announcer.StateWarming)
		var ran []int
		for at := range steps {
			if at == 15 {
				up.PauseAnnouncements(false)
			}
			for range 20 {
				call()
				time.Sleep(step / 20)
			}
			tf.mu.Lock()
			ran = append(ran, tf.ran[name])
			tf.mu.Unlock()
		}
		wg.Wait()
		for at := 10; at < len(ran); at++ {
			Expect(ran[at]-ran[at-10]).To(BeNumerically("<=", coldRate*3/2+8), "in the second up to step %d", at)
		}
		Expect(ran[steps-1]).To(BeNumerically(">", ran[0]), "the cold upstream is not used")
		Expect(answered).To(BeNumerically(">", steps*20*9/10))
	}))
})
