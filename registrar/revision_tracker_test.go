package registrar_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

var _ = Describe("reports", func() {
	It("never overstate the revision in force despite losses, restarts and changes of parent, and converge", func() {
		rapid.Check(suiteT, func(rt *rapid.T) { newReportModel(rt).check() })
	})
})

// reportModel is one control instance, two inner instances that report to it, and up to twenty leaves that report to an inner one.
type reportModel struct {
	rt      *rapid.T
	now     time.Time
	control *registrar.RevisionTracker
	nodes   []*reportNode
	actual  map[string]uint64 // revision in force, by instance and boot
}

type reportNode struct {
	self     registrar.Source
	tracker  *registrar.RevisionTracker
	parent   int // index of an inner instance, or -1 for the control instance
	revision uint64
}

const innerNodes = 2

func newReportModel(rt *rapid.T) *reportModel {
	md := &reportModel{rt: rt, now: proposed, actual: map[string]uint64{}}
	md.control = registrar.NewRevisionTracker(registrar.Source{Instance: "c", Domain: "d", Control: true}, md.now)
	for ix := range innerNodes + rapid.IntRange(1, 20).Draw(rt, "leaves") {
		nd := &reportNode{parent: -1}
		nd.self = registrar.Source{Instance: gypsumhoist.Instance(fmt.Sprint("n", ix)), Domain: "d", Boot: 1}
		if ix >= innerNodes {
			nd.parent = ix % innerNodes
		}
		nd.tracker = registrar.NewRevisionTracker(nd.self, md.now)
		md.nodes = append(md.nodes, nd)
	}
	return md
}

func (md *reportModel) key(in gypsumhoist.Instance, boot uint64) string {
	return fmt.Sprint(in, "/", boot)
}

func (md *reportModel) raise(nd *reportNode, revision uint64) {
	nd.revision = max(nd.revision, revision)
	nd.tracker.Confirm(nd.revision)
	md.actual[md.key(nd.self.Instance, nd.self.Boot)] = nd.revision
}

// report sends one report; the request or the response may be lost.
func (md *reportModel) report(nd *reportNode, loseRequest, loseResponse bool) {
	data, err := proto.Marshal(nd.tracker.NextReport())
	if err != nil {
		md.rt.Fatal(err)
	}
	if loseRequest {
		nd.tracker.Reset()
		return
	}
	rq := &registrarpb.ReportRequest{}
	if err := proto.Unmarshal(data, rq); err != nil {
		md.rt.Fatal(err)
	}
	to := md.control
	if nd.parent >= 0 {
		to = md.nodes[nd.parent].tracker
	}
	if !to.Receive(rq, md.now) || loseResponse {
		nd.tracker.Reset()
	}
}

func (md *reportModel) restart(nd *reportNode) {
	nd.self.Boot++
	nd.revision = 0
	nd.tracker = registrar.NewRevisionTracker(nd.self, md.now)
}

func (md *reportModel) check() {
	newest := uint64(0)
	for range rapid.IntRange(1, 150).Draw(md.rt, "steps") {
		nd := md.nodes[rapid.IntRange(0, len(md.nodes)-1).Draw(md.rt, "node")]
		switch rapid.IntRange(0, 9).Draw(md.rt, "step") {
		case 0:
			newest++
		case 1, 2, 3:
			md.raise(nd, rapid.Uint64Range(0, newest).Draw(md.rt, "revision"))
		case 4:
			md.restart(nd)
		case 5:
			if nd.parent >= 0 {
				nd.parent = (nd.parent + 1) % innerNodes
				nd.tracker.Reset()
			}
		case 6:
			md.now = md.now.Add(3 * time.Second)
			md.control.Expire(md.now)
			for _, it := range md.nodes {
				it.tracker.Expire(md.now)
			}
		default:
			md.report(nd, rapid.IntRange(0, 4).Draw(md.rt, "lose request") == 0, rapid.IntRange(0, 4).Draw(md.rt, "lose response") == 0)
		}
		md.checkKnown()
	}
	md.checkConvergence(newest + 1)
}

// checkKnown verifies that control knows no revision above the actual one of any instance.
func (md *reportModel) checkKnown() {
	for _, nd := range md.nodes {
		boot, revision := md.control.Known(nd.self.Instance)
		if actual := md.actual[md.key(nd.self.Instance, boot)]; revision > actual {
			md.rt.Fatalf("control knows %s boot %d at revision %d, but it is %d", nd.self.Instance, boot, revision, actual)
		}
	}
}

// checkConvergence raises all but one instance, checks that control reports just that one as late, then raises it, too.
func (md *reportModel) checkConvergence(revision uint64) {
	md.now = md.now.Add(time.Minute)
	var sources []registrar.Source
	for _, nd := range md.nodes[1:] {
		md.raise(nd, revision)
	}
	md.control.Confirm(revision)
	for _, nd := range md.nodes {
		sources = append(sources, nd.self)
	}
	md.reportAll()
	nf := md.control.InForce(revision, sources, md.now)
	if nf.Everywhere || len(nf.Domains[0].Late) != 1 || nf.Domains[0].Late[0].Instance != "n0" {
		md.rt.Fatalf("late instances %+v, want n0", nf.Domains[0].Late)
	}
	md.raise(md.nodes[0], revision)
	md.reportAll()
	if nf := md.control.InForce(revision, sources, md.now); !nf.Everywhere {
		md.rt.Fatalf("not everywhere: %+v", nf)
	}
}

// reportAll sends the reports of all instances without loss, leaves first, three times so that sessions can be reset.
func (md *reportModel) reportAll() {
	for range 3 {
		for ix := len(md.nodes) - 1; ix >= 0; ix-- {
			md.report(md.nodes[ix], false, false)
		}
	}
}

var _ = Describe("the order of sources", func() {
	It("forms one tree of bounded fan-out below control, the same for all instances", func() {
		const controls, nodes = 11, 212
		var sources []registrar.Source
		for ix := range controls {
			sources = append(sources, registrar.Source{Instance: gypsumhoist.Instance(fmt.Sprint("c", ix)), Domain: "other", Control: true})
		}
		for ix := range nodes {
			sources = append(sources, registrar.Source{Instance: gypsumhoist.Instance(fmt.Sprint("n", ix)), Domain: "d"})
		}
		parents := map[gypsumhoist.Instance]registrar.Source{}
		children := map[gypsumhoist.Instance]int{}
		for _, sc := range sources[controls:] {
			parents[sc.Instance] = registrar.PreferredSources(sc, sources)[0]
			children[parents[sc.Instance].Instance]++
		}
		roots := 0
		for _, sc := range sources[controls:] {
			depth := 1
			for at := parents[sc.Instance]; !at.Control; at = parents[at.Instance] {
				depth++
				Expect(depth).To(BeNumerically("<=", 3))
			}
			if parents[sc.Instance].Control {
				roots++
			}
			Expect(children[sc.Instance]).To(BeNumerically("<=", 8))
		}
		Expect(roots).To(Equal(3))
	})

	It("leads to the only source that answers, whichever it is, and stays with it", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			var sources []registrar.Source
			for ix := range rapid.IntRange(1, 30).Draw(rt, "sources") {
				sources = append(sources, registrar.Source{
					Instance: gypsumhoist.Instance(fmt.Sprint("s", ix)),
					Domain:   domainName(rapid.IntRange(0, 2).Draw(rt, "domain")),
					Control:  rapid.Bool().Draw(rt, "control"),
					Suspect:  rapid.Bool().Draw(rt, "suspect"),
				})
			}
			self := registrar.Source{Instance: "self", Domain: "d0"}
			list := registrar.PreferredSources(self, sources)
			only := list[rapid.IntRange(0, len(list)-1).Draw(rt, "answers")].Instance
			sl := registrar.NewSourceSelector(self, sources)
			now := proposed
			good := func(sc registrar.Source) bool { return sc.Instance == only }
			for try := 0; ; try++ {
				if _, ok := sl.Pick(now, good); ok {
					break
				}
				if try > len(list) {
					rt.Fatalf("%s was not selected in %d tries", only, try)
				}
				now = now.Add(500 * time.Millisecond)
			}
			bad := 0
			for range 100 {
				now = now.Add(time.Second)
				sc, ok := sl.Pick(now, good)
				if probed := sl.Probe(now, sc.Instance, good); !ok || !probed {
					bad++
				}
			}
			if bad > 50 {
				rt.Fatalf("%d of 100 pulls went to sources that don't answer", bad)
			}
		})
	})
})

// fleetSources returns count instances in 24 failure domains, and 11 control instances.
func fleetSources(count int) []registrar.Source {
	var list []registrar.Source
	for ix := range 11 {
		list = append(list, registrar.Source{Instance: gypsumhoist.Instance(fmt.Sprint("c", ix)), Domain: domainName(ix), Control: true})
	}
	for ix := range count {
		list = append(list, registrar.Source{Instance: gypsumhoist.Instance(fmt.Sprint("n", ix)), Domain: domainName(ix % 24)})
	}
	return list
}

func BenchmarkPreferredSources(b *testing.B) {
	for _, count := range []int{128, 1275, 5100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := fleetSources(count)
			for b.Loop() {
				registrar.PreferredSources(list[100], list)
			}
		})
	}
}

func BenchmarkInForce(b *testing.B) {
	for _, count := range []int{128, 1275, 5100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			list := fleetSources(count)
			tr := registrar.NewRevisionTracker(list[0], proposed)
			tr.Confirm(7)
			rq := &registrarpb.ReportRequest{Instance: "root", Session: 1, Full: true, Base: 7}
			for _, sc := range list[1:] {
				rq.Added = append(rq.Added, &registrarpb.Member{Instance: string(sc.Instance), Domain: string(sc.Domain)})
			}
			tr.Receive(rq, proposed)
			for b.Loop() {
				if !tr.InForce(7, list, proposed.Add(time.Minute)).Everywhere {
					b.Fatal("not everywhere")
				}
			}
		})
	}
}
