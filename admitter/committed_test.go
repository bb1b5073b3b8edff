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

// Guards against requests that fail at a late call, after earlier ones have used the scarce slots.
var _ = Describe("a call of a request that has been served in part", func() {
	call := func(id int, committed bool) admitter.CoreRequest {
		return admitter.CoreRequest{
			Workspace: "kingston", Route: "/names", Weight: 1, Importance: 50, Depth: 1, Deadline: time.Hour, Siblings: true, Committed: committed,
			Precedence: admitter.PrecedenceOf(gypsumhoist.RequestID(fmt.Sprint(id))),
		}
	}

	It("goes before calls of its importance that came earlier, but not before more important ones", func() {
		core := admitter.NewCore(1, rand.New(rand.NewPCG(1, 1)))
		core.Arrive(0, call(0, false))
		first, _ := core.Arrive(0, call(1, false))
		second, _ := core.Arrive(0, call(2, true))
		important := call(3, false)
		important.Importance = 51
		third, _ := core.Arrive(0, important)
		var order []admitter.ID
		for range 3 {
			core.Done(time.Millisecond, time.Millisecond, "/names", admitter.OutcomeAnswered)
			for _, nt := range core.Notices() {
				Expect(nt.Decision).To(Equal(admitter.Started{}))
				order = append(order, nt.ID)
			}
		}
		Expect(order).To(Equal([]admitter.ID{third, second, first}))
	})

	It("is not refused on arrival while calls of other requests are", func() {
		core := admitter.NewCore(1, rand.New(rand.NewPCG(1, 1)))
		now := time.Duration(0)
		refused := 0
		for id := range 4000 {
			now += time.Millisecond
			if _, dc := core.Arrive(now, call(id, false)); dc != (admitter.Started{}) {
				if _, at := dc.(admitter.Refused); at {
					refused++
				}
			}
			if id%20 == 0 {
				core.Done(now, 20*time.Millisecond, "/names", admitter.OutcomeAnswered)
			}
			core.Notices()
		}
		Expect(refused).To(BeNumerically(">", 1000))
		Expect(core.Load(now).JointLevel).To(BeNumerically(">", 100))
		for id := range 5 {
			_, dc := core.Arrive(now, call(id, true))
			Expect(dc).To(BeAssignableToTypeOf(admitter.Waiting{}))
		}
	})
})

// Guards against requests that miss a short target because others of their importance, with time to spare, are served first.
var _ = Describe("a call whose request can still meet its target", func() {
	It("goes before committed calls of its importance, and one that can't does not", func() {
		core := admitter.NewCore(1, rand.New(rand.NewPCG(1, 1)))
		arrive := func(target time.Duration, committed bool) admitter.ID {
			id, _ := core.Arrive(time.Second, admitter.CoreRequest{
				Workspace: "kingston", Route: "/names", Weight: 1, Importance: 50, Depth: 1, Deadline: time.Hour, Committed: committed, Target: target,
			})
			return id
		}
		arrive(0, false)
		late := arrive(time.Millisecond, false)
		committed := arrive(0, true)
		inTime := arrive(2*time.Second, false)
		var order []admitter.ID
		for range 3 {
			core.Done(time.Second, time.Millisecond, "/names", admitter.OutcomeAnswered)
			for _, nt := range core.Notices() {
				Expect(nt.Decision).To(Equal(admitter.Started{}))
				order = append(order, nt.ID)
			}
		}
		Expect(order).To(Equal([]admitter.ID{inTime, committed, late}))
	})
})
