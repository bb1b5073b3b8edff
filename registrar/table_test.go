package registrar_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

func peerAddr(ix int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix >> 8), byte(ix)}), 7402)
}

// manyRows returns a table with count rows, each with its own route, over eight workspaces.
func manyRows(count int) *registrar.Table {
	ct := registrar.Contents{Revision: 1}
	for ix := range count {
		ws := gypsumhoist.Workspace(fmt.Sprint("w", ix%8))
		rw := registrar.DefaultRow(ws, fmt.Sprintf("/service%d/route", ix))
		ct.Rows = append(ct.Rows, rw)
	}
	return registrar.NewTable(ct)
}

func ExampleTable_Lookup() {
	tb := registrar.NewTable(registrar.Contents{Revision: 1, Rows: []registrar.Row{
		registrar.DefaultRow("derwent", "/slips"),
		registrar.DefaultRow("derwent", "/slips/signed"),
	}})
	rw, _ := tb.Lookup("derwent", "", "/slips/signed/42")
	fmt.Println(rw.Route)
	_, found := tb.Lookup("derwent", "", "/slipshod")
	fmt.Println(found)
	// Output:
	// /slips/signed
	// false
}

var _ = Describe("Table", func() {
	It("finds the longest prefix, as a linear search does", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			segment := rapid.SampledFrom([]string{"a", "b", "ab", "a.b"})
			path := rapid.Custom(func(dt *rapid.T) string {
				return "/" + strings.Join(rapid.SliceOfN(segment, 0, 5).Draw(dt, "segments"), "/")
			})
			ct := registrar.Contents{Revision: 1}
			for _, rt := range rapid.SliceOfNDistinct(path, 0, 8, rapid.ID).Draw(rt, "routes") {
				ct.Rows = append(ct.Rows, registrar.DefaultRow("w", rt))
			}
			tb := registrar.NewTable(ct)
			requested := path.Draw(rt, "requested") + rapid.SampledFrom([]string{"", "/"}).Draw(rt, "end")
			want := ""
			for _, rw := range ct.Rows {
				on := requested == rw.Route || strings.HasPrefix(requested, strings.TrimSuffix(rw.Route, "/")+"/")
				if on && len(rw.Route) > len(want) {
					want = rw.Route
				}
			}
			rw, ok := tb.Lookup("w", "", requested)
			if ok != (want != "") || ok && rw.Route != want {
				rt.Fatalf("%q found %v, want %q", requested, rw, want)
			}
		})
	})

	It("is empty if nil", func() {
		var tb *registrar.Table
		_, ok := tb.Lookup("w", "", "/")
		Expect(ok).To(BeFalse())
		_, ok = tb.LookupOpen("", "/")
		Expect(ok).To(BeFalse())
		Expect(tb.Revision()).To(BeZero())
		Expect(tb.Rows()).To(BeEmpty())
	})
})

var _ = Describe("Holder", func() {
	It("never accepts a lower revision", func() {
		hd := registrar.NewHolder()
		Expect(hd.Age()).To(Equal(registrar.AgeUnknown))
		changed := hd.Changed()
		Expect(hd.Update(registrar.NewTable(registrar.Contents{Revision: 5}))).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(hd.Update(registrar.NewTable(registrar.Contents{Revision: 4}))).To(BeFalse())
		Expect(hd.Update(nil)).To(BeFalse())
		Expect(hd.Current().Revision()).To(BeEquivalentTo(5))
	})
})

func BenchmarkLookup(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			tb := manyRows(count)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tb.Lookup("w1", "", "/service1/route/of/some/depth"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			ct := registrar.Contents{Revision: 1}
			key := ""
			for ix := range count {
				ky, gr, err := registrar.MintKey("w", strings.NewReader(strings.Repeat(fmt.Sprintf("%04d", ix), 16)))
				if err != nil {
					b.Fatal(err)
				}
				key = ky
				ct.Grants = append(ct.Grants, gr)
			}
			tb := registrar.NewTable(ct)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := tb.Authenticate(key); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
