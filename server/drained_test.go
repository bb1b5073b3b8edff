package server_test

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a restarted node that takes an announcement from before its upstream's leave as news (docs/incidents/forgotten-drain.md).
var _ = ginkgo.Describe("a process of an upstream that drains for good", func() {
	ran := func(tf *testFleet, at int) func() int {
		return func() int {
			tf.mu.Lock()
			defer tf.mu.Unlock()
			return tf.ran[tf.fleet.Names()[at]]
		}
	}
	callAll := func(tf *testFleet) {
		for number := range 60 {
			status, _ := tf.call(number%3, "/slips/1")
			Expect(status).To(Equal(http.StatusOK))
			time.Sleep(100 * time.Millisecond)
		}
	}

	ginkgo.It("gets no request after a restart of its node, whatever it announces", inFleet(func(tf *testFleet) {
		leaving := tf.fleet.Process(tf.fleet.Names()[1])
		Expect(leaving.Server.DrainUpstream(context.Background(), leaving.Upstream.Boot())).To(Succeed())
		Expect(tf.fleet.RestartServer(leaving.Spec.Settings.Instance)).To(Succeed())
		time.Sleep(20 * time.Second)
		before := ran(tf, 1)()
		callAll(tf)
		Expect(ran(tf, 1)()).To(Equal(before))
	}))

	ginkgo.It("gets no request after a restart of its node, where it has said so in an answer", inFleet(func(tf *testFleet) {
		leaving := tf.fleet.Process(tf.fleet.Names()[1])
		leaving.Upstream.SayDraining(true)
		for before := ran(tf, 1)(); ran(tf, 1)() == before; {
			tf.call(1, "/slips/1")
		}
		time.Sleep(time.Second)
		leaving.Upstream.SayDraining(false)
		Expect(tf.fleet.RestartServer(leaving.Spec.Settings.Instance)).To(Succeed())
		time.Sleep(20 * time.Second)
		before := ran(tf, 1)()
		callAll(tf)
		Expect(ran(tf, 1)()).To(Equal(before))
	}))

	ginkgo.It("is followed by another process that gets requests", inFleet(func(tf *testFleet) {
		name := tf.fleet.Names()[1]
		leaving := tf.fleet.Process(name)
		Expect(leaving.Server.DrainUpstream(context.Background(), leaving.Upstream.Boot())).To(Succeed())
		Expect(tf.fleet.RestartServer(name)).To(Succeed())
		leaving.Upstream.Stop()
		Expect(tf.fleet.StartUpstream(name)).To(Succeed())
		time.Sleep(20 * time.Second)
		before := ran(tf, 1)()
		callAll(tf)
		Expect(ran(tf, 1)()).To(BeNumerically(">", before))
	}))
})
