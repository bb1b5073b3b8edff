package server_test

import (
	"context"
	"net/http"
	"os"
	"regexp"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/reporter"
	"github.com/gypsumhoist/gypsumhoist/server"
)

var _ = ginkgo.Describe("an operator", func() {
	ginkgo.It("reads the records of all instances at any instance, and which instances gave no response", inFleet(func(tf *testFleet) {
		lost := tf.fleet.Names()[2]
		status, id := tf.call(0, "/slips/1")
		Expect(status).To(Equal(http.StatusOK))
		_, refused := tf.callWith(1, "/slips/1", "ghk_none")

		var ex explainer.Explanation
		Expect(tf.requestOperator(1, http.MethodGet, "/explain/"+id, &ex)).To(Equal(http.StatusOK))
		Expect(ex.Silent).To(BeEmpty())
		Expect(ex.Records).NotTo(BeEmpty())
		Expect(ex.Records[0].Row).To(BeEquivalentTo(1))
		Expect(ex.Records[0].Revision).To(BeNumerically(">", 0))
		Expect(tf.requestOperator(0, http.MethodGet, "/explain/"+refused, &ex)).To(Equal(http.StatusOK))
		Expect(ex.Records[0].Reason).To(Equal(gypsumhoist.ReasonBadKey))

		tf.fleet.Kill(lost)
		time.Sleep(20 * time.Second)
		Expect(tf.requestOperator(0, http.MethodGet, "/explain/nobody", &ex)).To(Equal(http.StatusNotFound))
		Expect(ex.Silent).To(ConsistOf(lost))
	}))

	ginkgo.It("reads the burn rates of rows, summed over all instances", inFleet(func(tf *testFleet) {
		for at := range 3 {
			for range 4 {
				status, _ := tf.call(at, "/slips/1")
				Expect(status).To(Equal(http.StatusOK))
			}
			tf.callWith(at, "/slips/1", "ghk_none")
		}
		for _, name := range tf.fleet.Names() {
			tf.fleet.Process(name).Upstream.Stop()
		}
		time.Sleep(10 * time.Second)
		for range 4 {
			tf.call(0, "/slips/1")
		}
		var rp reporter.Report
		tf.requestOperator(1, http.MethodGet, "/report/burn", &rp)
		Expect(rp.Answered).To(Equal(4))
		Expect(rp.Rows).To(HaveLen(1))
		Expect(rp.Rows[0].Windows[reporter.Window1h]).To(Equal(reporter.Counts{Good: 12, Bad: 4}))
		Expect(rp.Rows[0].Level).To(Equal(reporter.LevelPage))
	}))

	ginkgo.It("reads the shard groups that keep rates and claims, with warnings about losses they won't survive", inFleet(func(tf *testFleet) {
		var sh server.ShardStatus
		tf.requestOperator(2, http.MethodGet, "/status/shards", &sh)
		Expect(sh.Domains).To(HaveLen(3))
		for _, dg := range sh.Domains {
			Expect(dg.Led).To(Equal(dg.Placed))
		}
		// A failure domain with one node has groups with a single voter.
		Expect(sh.Groups[0].Warning).NotTo(BeEmpty())
	}))

	ginkgo.It("lists and lifts at any instance the quarantine of a request that crashed just two upstreams", inFleet(func(tf *testFleet) {
		const roster = 3
		crashes := 0
		var qu server.Quarantine
		for range 4 {
			tf.callWith(0, "/slips/poison", tf.key, emulator.HeaderPoison, "slips")
			time.Sleep(5 * time.Second)
			for _, name := range tf.fleet.Names()[:roster] {
				select {
				case <-tf.fleet.Process(name).Upstream.Crashed():
					crashes++
					Expect(tf.fleet.StartUpstream(name)).To(Succeed())
				default:
				}
			}
			time.Sleep(5 * time.Second)
			tf.requestOperator(roster, http.MethodGet, "/quarantine", &qu)
		}
		Expect(qu.Suspects).To(HaveLen(1))
		su := qu.Suspects[0]
		Expect(su.Quarantined).To(BeTrue())
		Expect(su.Route).To(Equal("/slips"))
		Expect(su.Deaths).To(HaveLen(2))
		Expect(crashes).To(Equal(2))
		var lf server.LiftResult
		Expect(tf.requestOperator(roster, http.MethodPost, "/quarantine/lift/"+su.ID, &lf)).To(Equal(http.StatusOK))
		Expect(su.KnownAt).To(ContainElement(lf.Instance))
		time.Sleep(5 * time.Second)
		tf.requestOperator(roster, http.MethodGet, "/quarantine", &qu)
		Expect(qu.Suspects).To(BeEmpty())
	}))

	ginkgo.It("gets an error on lifting an unknown quarantine", inFleet(func(tf *testFleet) {
		var lf server.LiftResult
		Expect(tf.requestOperator(0, http.MethodPost, "/quarantine/lift/"+"00112233445566778899aabbccddeeff", &lf)).To(Equal(http.StatusNotFound))
		Expect(lf.Error).NotTo(BeEmpty())
		var qu server.Quarantine
		tf.requestOperator(0, http.MethodGet, "/quarantine", &qu)
		Expect(qu.Suspects).To(BeEmpty())
	}))

	ginkgo.It("stops an instance while calls run, without any call being cut off or refused", inFleet(func(tf *testFleet) {
		const each, calls = 50 * time.Millisecond, 400
		// Without its own upstream the entry node sends every call to the other two.
		tf.fleet.Process(tf.fleet.Names()[0]).Upstream.Stop()
		time.Sleep(10 * time.Second)
		stopped := make(chan error, 1)
		results := make(chan int, calls)
		for number := range calls {
			if number == calls/4 {
				go func() { stopped <- tf.fleet.Stop(context.Background(), tf.fleet.Names()[1]) }()
			}
			go func() {
				status, _ := tf.call(0, "/slips/1")
				results <- status
			}()
			time.Sleep(each)
		}
		Expect(<-stopped).To(Succeed())
		statuses := map[int]int{}
		for range calls {
			statuses[<-results]++
		}
		Expect(statuses).To(Equal(map[int]int{http.StatusOK: calls}))
		tf.mu.Lock()
		defer tf.mu.Unlock()
		Expect(tf.ran[tf.fleet.Names()[1]]).To(BeNumerically(">", calls/10))
	}))

	ginkgo.It("sends no request to an upstream that says in its answers that it drains, whatever it announces", inFleet(func(tf *testFleet) {
		leaving := tf.fleet.Names()[1]
		tf.fleet.Process(leaving).Upstream.SayDraining(true)
		ran := func() int {
			tf.mu.Lock()
			defer tf.mu.Unlock()
			return tf.ran[leaving]
		}
		before := ran()
		for ran() == before {
			tf.call(1, "/slips/1")
		}
		// Gossip reaches the nodes that have not heard of it from an answer.
		time.Sleep(2 * time.Second)
		before = ran()
		for number := range 60 {
			status, _ := tf.call(number%3, "/slips/1")
			Expect(status).To(Equal(http.StatusOK))
			time.Sleep(100 * time.Millisecond)
		}
		Expect(ran()).To(Equal(before))
	}))

	ginkgo.It("finds each metric in docs/METRICS.md", inFleet(func(tf *testFleet) {
		page, err := os.ReadFile("../docs/METRICS.md")
		Expect(err).NotTo(HaveOccurred())
		tf.call(0, "/slips/1")
		var text string
		tf.requestOperator(0, http.MethodGet, "/metrics", &text)
		names := regexp.MustCompile(`(?m)^gypsumhoist_[a-z0-9_]+`).FindAllString(text, -1)
		Expect(len(names)).To(BeNumerically(">", 50))
		series := regexp.MustCompile(`_seconds_(bucket|sum|count)$`)
		for _, name := range names {
			Expect(string(page)).To(ContainSubstring("`" + series.ReplaceAllString(name, "_seconds") + "`"))
		}
	}))
})
