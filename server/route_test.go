package server_test

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
)

var _ = ginkgo.Describe("an operator who asks where a request would go", func() {
	ginkgo.It("is told by the node what it would decide, and no request runs", inFleet(func(tf *testFleet) {
		status, _ := tf.call(0, "/slips/1")
		Expect(status).To(Equal(http.StatusOK))
		var ra forwarder.RouteAnswer
		Expect(tf.requestOperator(0, http.MethodGet, "/route?path=/slips/1&workspace=school&time_left=900ms", &ra)).To(Equal(http.StatusOK))
		Expect(ra.Instance).To(Equal(tf.fleet.Names()[0]))
		Expect(ra.Route).To(Equal("/slips"))
		Expect(ra.RowNumber).To(BeEquivalentTo(1))
		Expect(ra.Limits).To(HaveLen(1))
		Expect(ra.Limits[0].Outlook).NotTo(Equal(gypsumhoist.SpendUnknown))
		Expect(ra.Services).To(HaveLen(1))
		Expect(ra.Services[0].Refusal).To(BeNil())
		candidates := ra.Services[0].Routing.Candidates
		Expect(candidates).To(HaveLen(3))
		Expect(candidates[0].Instance).To(Equal(tf.fleet.Names()[0]))
		Expect(candidates[0].Share).To(BeEquivalentTo(1))
		Expect(candidates[0].NodeReportAge).NotTo(BeNil())
		tf.mu.Lock()
		ran := 0
		for _, num := range tf.ran {
			ran += num
		}
		tf.mu.Unlock()
		Expect(ran).To(Equal(1))
	}))

	ginkgo.It("is told what is wrong with the question", inFleet(func(tf *testFleet) {
		var text string
		Expect(tf.requestOperator(0, http.MethodGet, "/route?path=/slips&importance=101", &text)).To(Equal(http.StatusBadRequest))
		Expect(text).To(ContainSubstring("importance must be"))
		Expect(tf.requestOperator(0, http.MethodGet, "/route?path=/slips&time_left=soon", &text)).To(Equal(http.StatusBadRequest))
		Expect(text).To(ContainSubstring("time_left must be"))
		for at, spec := range tf.fleet.InstanceSpecs() {
			if tf.fleet.Process(spec.Settings.Instance).Upstream == nil {
				Expect(tf.requestOperator(at, http.MethodGet, "/route?path=/slips", &text)).To(Equal(http.StatusNotFound))
				Expect(text).To(ContainSubstring("ask a node"))
			}
		}
	}))
})
