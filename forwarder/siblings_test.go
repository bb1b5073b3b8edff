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

	It("has siblings if runs of its parent's route make several, or if its parent has", func() {
		pg := &forwarder.Progress{}
		pg.Learn("/one", 1)
		pg.Learn("/eight", 8)
		Expect(pg.Several(nil)).To(BeFalse())
		Expect(pg.Several(&parent{Route: "/unknown"})).To(BeFalse())
		Expect(pg.Several(&parent{Route: "/one"})).To(BeFalse())
		Expect(pg.Several(&parent{Route: "/eight"})).To(BeTrue())
		Expect(pg.Several(&parent{Route: "/one", Siblings: true})).To(BeTrue())
	})

	It("has siblings once another call of its run was answered", func() {
		pa := &parent{Route: "/unknown"}
		pa.NoteAnswered()
		Expect((&forwarder.Progress{}).Several(pa)).To(BeTrue())
	})
})
