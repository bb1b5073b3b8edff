package forwarder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

var _ = Describe("a call", func() {
	type parent = authenticator.Call[*retrier.Budget]

	It("has siblings if runs of its parent's route make several calls, or if its parent has siblings", func() {
		ns := &forwarder.NestedStats{}
		ns.Learn("/one", 1)
		ns.Learn("/eight", 8)
		Expect(ns.HasSiblings(nil)).To(BeFalse())
		Expect(ns.HasSiblings(&parent{Route: "/unknown"})).To(BeFalse())
		Expect(ns.HasSiblings(&parent{Route: "/one"})).To(BeFalse())
		Expect(ns.HasSiblings(&parent{Route: "/eight"})).To(BeTrue())
		Expect(ns.HasSiblings(&parent{Route: "/one", Siblings: true})).To(BeTrue())
	})

	It("has siblings once another call of its run was answered", func() {
		pa := &parent{Route: "/unknown"}
		pa.RecordAnswered()
		Expect((&forwarder.NestedStats{}).HasSiblings(pa)).To(BeTrue())
	})
})
