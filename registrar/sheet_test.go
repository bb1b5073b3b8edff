package registrar_test

import (
	"crypto/sha256"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// sheetRow returns a row for AnyWorkspace.
func sheetRow(route string, svc gypsumhoist.Service) registrar.Row {
	rw := registrar.DefaultRow(registrar.AnyWorkspace, route)
	rw.Service = svc
	return rw
}

func sheet(version, base uint64, content string, rows ...registrar.Row) registrar.Replace {
	return registrar.Replace{
		Version: version, Base: base, Digest: sha256.Sum256([]byte(content)), Rows: rows, Document: []byte(content),
	}
}

var _ = Describe("Replace", func() {
	var st *registrar.State
	BeforeEach(func() { st = registrar.NewState() })

	It("replaces the previous sheet as a whole", func() {
		Expect(apply(st, "", sheet(1, 0, "a", sheetRow("/a/", "rolls"), sheetRow("/b/", "rolls"))).Outcome).To(Equal(registrar.OutcomeAccepted))
		as := apply(st, "", sheet(4, 1, "b", sheetRow("/b/", "fees"), sheetRow("/c/", "rolls")))
		Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(as.Sheet).To(BeEquivalentTo(4))
		_, found := st.Table().Lookup("any", "", "/a/1")
		Expect(found).To(BeFalse())
		rw, _ := st.Table().Lookup("any", "", "/b/1")
		Expect(rw.Service).To(BeEquivalentTo("fees"))
		Expect(st.Sheet().Document).To(BeEquivalentTo("b"))
	})

	It("accepts one of two sheets that are based on the same version", func() {
		apply(st, "", sheet(1, 0, "a", sheetRow("/a/", "rolls")))
		Expect(apply(st, "", sheet(2, 1, "b", sheetRow("/a/", "fees"))).Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(apply(st, "", sheet(2, 1, "c", sheetRow("/a/", "board"))).Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(apply(st, "", sheet(3, 1, "d", sheetRow("/a/", "board"))).Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(st.Sheet().Document).To(BeEquivalentTo("b"))
	})

	It("accepts a resend of each accepted sheet, also after a restart, without any change", func() {
		for vr := uint64(1); vr <= 300; vr++ {
			Expect(apply(st, "", sheet(vr, vr-1, fmt.Sprint(vr), sheetRow("/a/", "rolls"))).Outcome).To(Equal(registrar.OutcomeAccepted))
		}
		st = restored(st)
		before := st.Snapshot()
		for vr := uint64(1); vr <= 300; vr++ {
			Expect(apply(st, "", sheet(vr, vr-1, fmt.Sprint(vr), sheetRow("/a/", "rolls"))).Outcome).To(Equal(registrar.OutcomeAccepted))
		}
		Expect(st.Snapshot()).To(Equal(before))
		Expect(apply(st, "", sheet(7, 6, "another", sheetRow("/a/", "rolls"))).Outcome).To(Equal(registrar.OutcomeConflict))
	})

	It("accepts a sheet that came too early once its base is in force", func() {
		late := sheet(3, 2, "c", sheetRow("/a/", "board"))
		apply(st, "", sheet(1, 0, "a", sheetRow("/a/", "rolls")))
		Expect(apply(st, "", late).Outcome).To(Equal(registrar.OutcomeConflict))
		apply(st, "", sheet(2, 1, "b", sheetRow("/a/", "fees")))
		Expect(apply(st, "", late).Outcome).To(Equal(registrar.OutcomeAccepted))
	})

	It("refuses a version that is not higher, and a sheet with any invalid row, without any change", func() {
		apply(st, "", sheet(5, 0, "a", sheetRow("/a/", "rolls")))
		before := st.Snapshot()
		bad := sheetRow("/b/", "rolls")
		bad.Weight = 0
		for _, rp := range []registrar.Replace{
			sheet(5, 5, "b", sheetRow("/a/", "rolls")),
			sheet(4, 5, "c", sheetRow("/a/", "rolls")),
			sheet(6, 5, "d", sheetRow("/a/", "rolls"), bad),
			sheet(6, 5, "e", sheetRow("/a/", "rolls"), sheetRow("/a/", "fees")),
		} {
			Expect(apply(st, "", rp).Outcome).To(Equal(registrar.OutcomeRefused))
			Expect(st.Snapshot()).To(Equal(before))
		}
	})

	It("withdraws keys and grants them again, and refuses a key of two workspaces", func() {
		gr, ok := registrar.ExternalKeyGrant("w", "6wsjnbanfqasnmgkcuyj")
		Expect(ok).To(BeTrue())
		with := sheet(1, 0, "a", sheetRow("/a/", "rolls"))
		with.Grants = []registrar.KeyGrant{gr}
		apply(st, "", with)
		found, ok := st.Table().Authenticate("6wsjnbanfqasnmgkcuyj")
		Expect(ok).To(BeTrue())
		Expect(found.Workspace).To(BeEquivalentTo("w"))
		apply(st, "", sheet(2, 1, "b", sheetRow("/a/", "rolls")))
		_, ok = st.Table().Authenticate("6wsjnbanfqasnmgkcuyj")
		Expect(ok).To(BeFalse())
		again := sheet(3, 2, "c", sheetRow("/a/", "rolls"))
		again.Grants = with.Grants
		Expect(apply(st, "", again).Outcome).To(Equal(registrar.OutcomeAccepted))
		other, _ := registrar.ExternalKeyGrant("v", "6wsjnbanfqasnmgkcuyj")
		both := sheet(4, 3, "d", sheetRow("/a/", "rolls"))
		both.Grants = []registrar.KeyGrant{gr, other}
		Expect(apply(st, "", both).Outcome).To(Equal(registrar.OutcomeRefused))
	})

	It("leads to the same state on every replica, however many rows are deleted", func() {
		one, two := registrar.NewState(), registrar.NewState()
		rapid.Check(suiteT, func(rt *rapid.T) {
			version := one.Sheet().Version
			var rows []registrar.Row
			for _, ix := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5000), 0, 400, rapid.ID[int]).Draw(rt, "routes") {
				rows = append(rows, sheetRow(fmt.Sprintf("/r%d/", ix), "rolls"))
			}
			cm := registrar.EncodeCommand("", sheet(version+1, version, fmt.Sprint(version), rows...))
			one.Apply(cm, proposed)
			two.Apply(cm, proposed)
			if string(one.Snapshot()) != string(two.Snapshot()) {
				rt.Fatal("two replicas differ")
			}
		})
	})
})

var _ = Describe("Lookup of wildcards and hosts", func() {
	row := func(ws gypsumhoist.Workspace, route string, svc gypsumhoist.Service) registrar.Row {
		rw := sheetRow(route, svc)
		rw.Workspace = ws
		return rw
	}
	tb := registrar.NewTable(registrar.Contents{Revision: 1, Rows: []registrar.Row{
		row("*", "/a", "any"), row("w", "/a", "own"), row("*", "hulo.example/a/", "host"), row("*", "hulo.example/a/b/", "deep"),
		row("w", registrar.AnyRoute, ""),
	}})

	DescribeTable("finds", func(ws gypsumhoist.Workspace, host, path, svc string) {
		rw, ok := tb.Lookup(ws, host, path)
		Expect(ok).To(Equal(svc != ""))
		if ok {
			Expect(rw.Service).To(BeEquivalentTo(svc))
		}
	},
		Entry("the workspace's own row before that of AnyWorkspace", gypsumhoist.Workspace("w"), "x", "/a/1", "own"),
		Entry("the row of AnyWorkspace for another workspace", gypsumhoist.Workspace("v"), "x", "/a/1", "any"),
		Entry("the host's row before one without a host", gypsumhoist.Workspace("v"), "hulo.example", "/a/1", "host"),
		Entry("the longest prefix", gypsumhoist.Workspace("v"), "hulo.example", "/a/b/2", "deep"),
		Entry("a host in capitals and with a port", gypsumhoist.Workspace("v"), "Hulo.Example:80", "/a/b/2", "deep"),
		Entry("a prefix that ends with / only for what lies below", gypsumhoist.Workspace("v"), "hulo.example", "/a", "any"),
		Entry("nothing", gypsumhoist.Workspace("v"), "x", "/b", ""),
	)

	It("returns the AnyRoute row of a workspace", func() {
		_, ok := tb.WorkspaceRow("w")
		Expect(ok).To(BeTrue())
		_, ok = tb.WorkspaceRow("v")
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Split", func() {
	It("is parsed and formatted as in a file", func() {
		rw := registrar.DefaultRow("w", "/a")
		Expect(rw.Set(registrar.ColumnService, "a:90 b:10 c:0")).To(Succeed())
		Expect(rw.Text(registrar.ColumnService)).To(Equal("a:90 b:10 c:0"))
		Expect(rw.Services()).To(ConsistOf(gypsumhoist.Service("a"), gypsumhoist.Service("b"), gypsumhoist.Service("c")))
	})

	It("gives each service its share by weight", func() {
		sp := registrar.NewSplit(registrar.Part{Service: "a", Weight: 3}, registrar.Part{Service: "b", Weight: 0}, registrar.Part{Service: "c", Weight: 1})
		counts := map[gypsumhoist.Service]int{}
		for ix := range 1000 {
			counts[sp.At(float64(ix)/1000)]++
		}
		Expect(counts).To(Equal(map[gypsumhoist.Service]int{"a": 750, "c": 250}))
	})

	DescribeTable("is refused", func(txt string) {
		rw := registrar.DefaultRow("w", "/a")
		rw.Rate, rw.Burst = registrar.RateOne, 1
		err := rw.Set(registrar.ColumnService, txt)
		if err == nil {
			err = rw.Check()
		}
		Expect(err).To(HaveOccurred())
	},
		Entry("without weight", "a:0 b:0"),
		Entry("a service twice", "a:1 a:2"),
		Entry("a weight below 0", "a:1 b:-1"),
		Entry("a weight that is not a number", "a:x"),
		Entry("too many services", "a:1 b:1 c:1 d:1 e:1 f:1 g:1 h:1 i:1"),
	)
})
