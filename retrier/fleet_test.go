package retrier_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// Targets for the retries of a service in any window, summed over the fleet.
const (
	targetWindow = 10 * time.Second
	targetShare  = 0.2
	targetSlack  = 49
)

// retrierFleet is a set of nodes that call one service, some of whose attempts fail.
type retrierFleet struct {
	random          *rand.Rand
	nodes           []*retrier.Retrier
	workspaces      int
	firsts, retries []time.Duration
}

func newRetrierFleet(nodes, workspaces int) *retrierFleet {
	return &retrierFleet{random: rand.New(rand.NewPCG(7, 7)), workspaces: workspaces, nodes: make([]*retrier.Retrier, nodes)}
}

// restart replaces all nodes from a number on by new processes.
func (rf *retrierFleet) restart(from int) {
	for at := from; at < len(rf.nodes); at++ {
		rf.nodes[at] = retrier.New()
	}
}

// run sends requests at random nodes, of random workspaces and two routes, for a time; a share of the attempts fails.
func (rf *retrierFleet) run(began time.Time, span, every time.Duration, failing float64) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(every) {
		node := rf.nodes[rf.random.IntN(len(rf.nodes))]
		key := retrier.RowKey{
			Workspace: gypsumhoist.Workspace(fmt.Sprint(rf.random.IntN(rf.workspaces))), Route: fmt.Sprint("/", rf.random.IntN(2)), Service: "slips",
		}
		node.CountFirst(key, 14)
		rf.firsts = append(rf.firsts, time.Since(began))
		bg := retrier.NewBudget(20)
		for range 2 {
			if rf.random.Float64() >= failing {
				break
			}
			fl := retrier.Failure{
				Verdict: gypsumhoist.VerdictMayHaveRun, Reason: gypsumhoist.ReasonConnection, Idempotent: true,
				UpstreamsLeft: 1, Remaining: time.Second,
			}
			if _, ok := node.Decide(key, 14, fl, bg).(retrier.RetryElsewhere); !ok {
				break
			}
			rf.retries = append(rf.retries, time.Since(began))
		}
	}
}

// worst returns the largest excess of retries over the target in any window, with the counts in it.
func (rf *retrierFleet) worst() (excess float64, retries, firsts int) {
	excess = math.Inf(-1)
	for at, from := range rf.retries {
		until, _ := slices.BinarySearch(rf.retries, from+targetWindow)
		first, _ := slices.BinarySearch(rf.firsts, from)
		last, _ := slices.BinarySearch(rf.firsts, from+targetWindow)
		if over := float64(until-at) - targetShare*float64(last-first) - targetSlack; over > excess {
			excess, retries, firsts = over, until-at, last-first
		}
	}
	return excess, retries, firsts
}

var _ = Describe("the retries of a whole fleet", func() {
	DescribeTable("stay within a share of the requests of their service, however many rows and restarts there are",
		func(nodes, workspaces int, restarts int) {
			rf := newRetrierFleet(nodes, workspaces)
			synctest.Test(suiteT, func(*testing.T) {
				rf.restart(0)
				began := time.Now()
				rf.run(began, 10*time.Second, 5*time.Millisecond, 0)
				for range restarts {
					rf.run(began, 3*time.Second, 5*time.Millisecond, 0.8)
					rf.restart(1)
				}
				rf.run(began, 10*time.Second, 5*time.Millisecond, 0.8)
			})
			excess, retries, firsts := rf.worst()
			GinkgoWriter.Printf("%d nodes, %d workspaces, %d restarts: worst window %d retries of %d requests\n",
				nodes, workspaces, restarts, retries, firsts)
			Expect(excess).To(BeNumerically("<=", 0), "%d retries of %d requests", retries, firsts)
		},
		Entry("few rows, no restart", 15, 1, 0),
		Entry("two restarts of nearly all nodes", 15, 8, 2),
		Entry("many rows", 15, 80, 0),
		Entry("many rows and restarts", 15, 80, 3),
		Entry("many nodes", 80, 80, 1),
	)
})
