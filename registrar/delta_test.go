package registrar_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// sameTables reports whether two tables have equal contents.
func sameTables(ta, tb *registrar.Table) bool {
	keys := func(tb *registrar.Table) string {
		text := fmt.Sprint(tb.Revision(), tb.Placements(), tb.Controls())
		for _, gr := range tb.Grants() {
			text += fmt.Sprintf("%+v", *gr)
		}
		return text
	}
	return keys(ta) == keys(tb) && registrar.WriteCSV(ta.Rows()) == registrar.WriteCSV(tb.Rows())
}

var _ = Describe("deltas", func() {
	It("update any earlier table to the current one, directly or through a revision in between", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			st := registrar.NewState()
			tables := []*registrar.Table{nil}
			for range rapid.IntRange(1, 30).Draw(rt, "changes") {
				route := rapid.SampledFrom([]string{"/x", "/y"}).Draw(rt, "route")
				number := uint64(0)
				if rw, ok := st.Table().Row("a", route); ok {
					number = rw.Number
				}
				seed := byte(rapid.IntRange(1, 4).Draw(rt, "key"))
				_, gk := mintKey("a", seed)
				var cm registrar.Command
				switch rapid.IntRange(0, 5).Draw(rt, "kind") {
				case 0:
					cm = registrar.DeleteRow{Workspace: "a", Route: route, Number: number}
				case 1:
					cm = gk
				case 2:
					cm = registrar.WithdrawKey{KeyID: gk.Grant.KeyID}
				case 3:
					cm = registrar.SetControl{Remove: seed%2 == 0, Member: registrar.ControlMember{
						Instance: "c", Domain: domainName(int(seed)), Peer: peerAddr(1),
					}}
				case 4:
					cm = registrar.DropDomain{Domain: "d"}
				default:
					cm = edit("a", route, number, "service=s", "rate=5", "burst=1", fmt.Sprint("weight=", len(tables)))
				}
				st.Apply(registrar.EncodeCommand("", cm), proposed)
				st.Apply(registrar.EncodeCommand("", registrar.SetPlacement{Placement: registrar.Placement{
					Domain: "d", Generation: rapid.Uint64Range(1, 3).Draw(rt, "generation"),
					Members: []registrar.ShardMember{{Instance: "n", Boot: 1, Peer: peerAddr(2)}},
				}}), proposed)
				tables = append(tables, st.Table())
			}
			from := tables[rapid.IntRange(0, len(tables)-1).Draw(rt, "from")]
			through := tables[rapid.IntRange(0, len(tables)-1).Draw(rt, "through")]
			if through.Revision() >= from.Revision() {
				next, _, err := registrar.ApplyDelta(from, through)
				if err != nil || !sameTables(next, through) {
					rt.Fatalf("from %d to %d: %v", from.Revision(), through.Revision(), err)
				}
				from = next
			}
			next, _, err := registrar.ApplyDelta(from, st.Table())
			if err != nil || !sameTables(next, st.Table()) {
				rt.Fatalf("from %d to %d: %v", from.Revision(), st.Table().Revision(), err)
			}
		})
	})

	It("are partial from a recent revision, and full from one older than the tombstones", func() {
		st := registrar.NewState()
		apply(st, "", newRow("a", "/kept"))
		old := st.Table()
		for ix := range 4100 {
			st.Apply(registrar.EncodeCommand("", newRow("a", fmt.Sprint("/x", ix))), proposed)
			st.Apply(registrar.EncodeCommand("", registrar.DeleteRow{Workspace: "a", Route: fmt.Sprint("/x", ix), Number: 1}), proposed)
		}
		recent := st.Table()
		apply(st, "", edit("a", "/kept", 1, "rate=9"))
		next, full, err := registrar.ApplyDelta(recent, st.Table())
		Expect(err).NotTo(HaveOccurred())
		Expect(full).To(BeFalse())
		Expect(sameTables(next, st.Table())).To(BeTrue())
		next, full, err = registrar.ApplyDelta(old, st.Table())
		Expect(err).NotTo(HaveOccurred())
		Expect(full).To(BeTrue())
		Expect(sameTables(next, st.Table())).To(BeTrue())
		Expect(apply(restored(st), "", newRow("a", "/x1")).Rows[0].Number).To(BeNumerically(">", 1))
	})
})
