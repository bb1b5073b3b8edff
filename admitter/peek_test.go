package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

var _ = Describe("an outlook on the forecast", func() {
	// Guards against a Peek that counts a request towards the next probe or renews the cached cut-off, and against one that foretells another
	// decision than Refuse makes.
	It("foretells the next decision and changes none", func() {
		const upstreams = 5
		target := admitter.Target{Service: "slips"}
		decisions := func(peek bool) (out []bool) {
			random := rand.New(rand.NewPCG(3, 4))
			fc := admitter.NewForecast()
			now := time.Duration(0)
			for range 5000 {
				now += time.Duration(random.IntN(8)) * time.Millisecond
				from := gypsumhoist.Instance(fmt.Sprint("slips-", random.IntN(upstreams)))
				fc.Observe(now, target, from, gypsumhoist.Importance(30+random.IntN(30)))
				im := gypsumhoist.Importance(random.IntN(100))
				at := now + time.Duration(random.IntN(25))*time.Millisecond
				var foretold admitter.Outlook
				if peek {
					fc.Peek(at, admitter.Target{Service: "unknown"}, im, upstreams)
					fc.Peek(now, target, 0, upstreams)
					foretold = fc.Peek(at, target, im, upstreams)
				}
				rf := fc.Refuse(at, target, im, upstreams)
				if peek {
					Expect(foretold.Refusal).To(Equal(rf))
				}
				out = append(out, rf != nil)
			}
			return out
		}
		without := decisions(false)
		Expect(decisions(true)).To(Equal(without))
		Expect(without).To(And(ContainElement(true), ContainElement(false)))
	})
})
