package registrar_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var proposed = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// apply applies a command to the state and decodes the answer.
func apply(st *registrar.State, id registrar.EditID, cm registrar.Command) registrar.Answer {
	as, err := registrar.DecodeAnswer(st.Apply(registrar.EncodeCommand(id, cm), proposed))
	Expect(err).NotTo(HaveOccurred())
	return as
}

// edit returns an edit with values such as "rate=5".
func edit(ws gypsumhoist.Workspace, route string, number uint64, values ...string) registrar.EditRow {
	er := registrar.EditRow{Workspace: ws, Route: route, Number: number}
	for _, vl := range values {
		column, value, _ := strings.Cut(vl, "=")
		er.Values = append(er.Values, registrar.ColumnValue{Column: registrar.Column(column), Value: value})
	}
	return er
}

// newRow returns an edit that adds a row.
func newRow(ws gypsumhoist.Workspace, route string, values ...string) registrar.EditRow {
	return edit(ws, route, 0, append([]string{"service=rolls", "rate=5", "burst=10"}, values...)...)
}

func mintKey(ws gypsumhoist.Workspace, seed byte) (string, registrar.GrantKey) {
	key, gr, err := registrar.MintKey(ws, bytes.NewReader(bytes.Repeat([]byte{seed}, 64)))
	Expect(err).NotTo(HaveOccurred())
	return key, registrar.GrantKey{Grant: gr}
}

func restored(st *registrar.State) *registrar.State {
	next := registrar.NewState()
	Expect(next.Restore(st.Snapshot())).To(Succeed())
	Expect(next.Snapshot()).To(Equal(st.Snapshot()))
	return next
}

var _ = Describe("State", func() {
	It("accepts one of two edits with equal numbers and answers the other with the current row", func() {
		st := registrar.NewState()
		Expect(apply(st, "a0", newRow("derwent", "/slips")).Outcome).To(Equal(registrar.OutcomeAccepted))
		first := apply(st, "a1", edit("derwent", "/slips", 1, "rate=7"))
		second := apply(st, "b1", edit("derwent", "/slips", 1, "rate=9"))
		Expect(first.Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(second.Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(second.Rows).To(HaveLen(1))
		Expect(second.Rows[0].Rate).To(Equal(7 * registrar.RateOne))
		Expect(second.Rows[0].Number).To(BeEquivalentTo(2))
		Expect(st.Table().Revision()).To(BeEquivalentTo(2))
	})

	It("gives a resend the first answer, also after a snapshot and hundreds of changes", func() {
		st := registrar.NewState()
		apply(st, "first", newRow("derwent", "/slips"))
		cm := registrar.EncodeCommand("lost", edit("derwent", "/slips", 1, "rate=7"))
		want := st.Apply(cm, proposed)
		for ix := range 300 {
			number := uint64(ix + 2)
			as := apply(st, registrar.EditID(fmt.Sprint("e", ix)), edit("derwent", "/slips", number, fmt.Sprint("burst=", ix+1)))
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		}
		st = restored(st)
		revision := st.Table().Revision()
		Expect(st.Apply(cm, proposed.Add(time.Hour))).To(Equal(want))
		Expect(st.Table().Revision()).To(Equal(revision))
		other := apply(st, "lost", edit("derwent", "/slips", 1, "rate=8"))
		Expect(other.Outcome).To(Equal(registrar.OutcomeRefused))
		Expect(other.Detail).To(ContainSubstring("used for another edit"))
	})

	It("drops the oldest edit ids at capacity, and a late resend then conflicts by its number", func() {
		st := registrar.NewState()
		apply(st, "oldest", newRow("derwent", "/slips"))
		for ix := range registrar.EditHistoryMax {
			apply(st, registrar.EditID(fmt.Sprint(ix)), registrar.WithdrawKey{KeyID: "none"})
		}
		Expect(apply(restored(st), "oldest", newRow("derwent", "/slips")).Outcome).To(Equal(registrar.OutcomeConflict))
	})

	It("continues the row numbers when a deleted row is added again", func() {
		st := registrar.NewState()
		apply(st, "", newRow("derwent", "/slips"))
		apply(st, "", registrar.DeleteRow{Workspace: "derwent", Route: "/slips", Number: 1})
		st = restored(st)
		Expect(apply(st, "", newRow("derwent", "/slips")).Rows[0].Number).To(BeEquivalentTo(2))
		Expect(apply(st, "", edit("derwent", "/slips", 1, "rate=9")).Outcome).To(Equal(registrar.OutcomeConflict))
	})

	It("keeps a route open on behalf of one workspace", func() {
		st := registrar.NewState()
		apply(st, "", newRow("derwent", "/board", "open=true"))
		as := apply(st, "", newRow("builders", "/board", "open=true"))
		Expect(as.Outcome).To(Equal(registrar.OutcomeRefused))
		Expect(as.Problem.Column).To(Equal(registrar.ColumnOpen))
		rw, ok := st.Table().LookupOpen("", "/board/today")
		Expect(ok).To(BeTrue())
		Expect(rw.Workspace).To(BeEquivalentTo("derwent"))
	})

	DescribeTable("names row, column, value and what is allowed",
		func(value string, column registrar.Column) {
			as := apply(registrar.NewState(), "", newRow("derwent", "/slips", value))
			Expect(as.Outcome).To(Equal(registrar.OutcomeRefused))
			Expect(as.Problem.Column).To(Equal(column))
			Expect(as.Detail).To(ContainSubstring("allowed: "))
			Expect(as.Detail).To(ContainSubstring("derwent /slips"))
		},
		Entry("rate of zero", "rate=0", registrar.ColumnRate),
		Entry("rate with a sign", "rate=-3", registrar.ColumnRate),
		Entry("burst of zero", "burst=0", registrar.ColumnBurst),
		Entry("weight above the maximum", "weight=1001", registrar.ColumnWeight),
		Entry("importance above the maximum", "importance=101", registrar.ColumnImportance),
		Entry("unknown kind", "cut_off=maybe", registrar.ColumnCutOff),
		Entry("deadline without unit", "deadline=10", registrar.ColumnDeadline),
		Entry("objective above the maximum", "objective=100.001", registrar.ColumnObjective),
		Entry("service with a blank", "service=a b", registrar.ColumnService),
		Entry("unknown column", "colour=red", registrar.Column("colour")),
		Entry("number", "number=7", registrar.ColumnNumber),
	)

	It("grants and withdraws keys and never grants a withdrawn one again", func() {
		st := registrar.NewState()
		key, gk := mintKey("derwent", 7)
		Expect(apply(st, "g", gk).Outcome).To(Equal(registrar.OutcomeAccepted))
		gr, ok := st.Table().Authenticate(key)
		Expect(ok).To(BeTrue())
		Expect(gr).To(Equal(registrar.Grant{Workspace: "derwent", KeyID: gk.Grant.KeyID}))
		for _, wrong := range []string{"", key + "x", key[:len(key)-1] + "x", strings.ToUpper(key)} {
			_, ok = st.Table().Authenticate(wrong)
			Expect(ok).To(BeFalse())
		}
		_, other := mintKey("derwent", 8)
		again := apply(st, "g", other)
		Expect(again.Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(again.Grant.KeyID).To(Equal(gk.Grant.KeyID), "a resend with a new key returns the first key id")

		Expect(apply(st, "w", registrar.WithdrawKey{KeyID: gk.Grant.KeyID}).Outcome).To(Equal(registrar.OutcomeAccepted))
		st = restored(st)
		_, ok = st.Table().Authenticate(key)
		Expect(ok).To(BeFalse())
		Expect(apply(st, "", gk).Outcome).To(Equal(registrar.OutcomeRefused))
		Expect(apply(st, "w", registrar.WithdrawKey{KeyID: gk.Grant.KeyID}).Outcome).To(Equal(registrar.OutcomeAccepted))
	})

	It("says from which table revision a cut-off instance refuses a withdrawn key or a changed row", func() {
		st := registrar.NewState()
		apply(st, "", newRow("derwent", "/slips", "cut_off=refuse")) // revision 1
		apply(st, "", newRow("derwent", "/board"))                   // 2
		_, one := mintKey("derwent", 1)
		apply(st, "", one) // 3
		_, two := mintKey("derwent", 2)
		apply(st, "", two) // 4
		Expect(apply(st, "", registrar.WithdrawKey{KeyID: one.Grant.KeyID}).StaleRefusal.Guaranteed).To(BeFalse())
		apply(st, "", edit("derwent", "/board", 1, "cut_off=refuse")) // 6
		as := apply(restored(st), "", registrar.WithdrawKey{KeyID: two.Grant.KeyID})
		Expect(as.StaleRefusal).To(Equal(registrar.StaleRefusal{Guaranteed: true, MinRevision: 6}))
		as = apply(st, "", edit("derwent", "/slips", 1, "rate=9"))
		Expect(as.StaleRefusal).To(Equal(registrar.StaleRefusal{Guaranteed: true, MinRevision: 1}))
	})

	It("accepts only the next generation, also after the domain was dropped", func() {
		st := registrar.NewState()
		pl := registrar.Placement{Domain: "hobart", Shard: 3, Generation: 1, Members: []registrar.ShardMember{{
			Instance: "n1", Boot: 5, Peer: peerAddr(1),
		}}}
		Expect(apply(st, "", registrar.SetPlacement{Placement: pl}).Outcome).To(Equal(registrar.OutcomeAccepted))
		as := apply(st, "", registrar.SetPlacement{Placement: pl})
		Expect(as.Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(as.Placement.FormedAt).To(Equal(proposed))
		got, ok := restored(st).Table().Placement("hobart", 3)
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(as.Placement))

		Expect(apply(st, "", registrar.DropDomain{Domain: "hobart"}).Outcome).To(Equal(registrar.OutcomeAccepted))
		st = restored(st)
		Expect(st.Table().Placements()).To(BeEmpty())
		as = apply(st, "", registrar.SetPlacement{Placement: pl})
		Expect(as.Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(as.Placement.Generation).To(BeEquivalentTo(1))
		pl.Generation = 2
		Expect(apply(st, "", registrar.SetPlacement{Placement: pl}).Outcome).To(Equal(registrar.OutcomeAccepted))
	})

	It("refuses invalid commands and snapshots without any change", func() {
		st := registrar.NewState()
		as, err := registrar.DecodeAnswer(st.Apply([]byte{0xff, 1, 2}, proposed))
		Expect(err).NotTo(HaveOccurred())
		Expect(as.Outcome).To(Equal(registrar.OutcomeRefused))
		Expect(st.Table().Revision()).To(BeZero())
		Expect(st.Restore([]byte{0xff})).NotTo(Succeed())
	})

	It("agrees with a simple model, also with snapshots and resends", func() {
		rapid.Check(suiteT, func(rt *rapid.T) { checkAgainstModel(rt) })
	})
})

// modelRow is the model's state of a row.
type modelRow struct {
	number  uint64
	rate    int
	present bool
}

// checkAgainstModel draws edits, deletions, resends and restarts and compares each answer with a model in a map.
func checkAgainstModel(rt *rapid.T) {
	st, replica := registrar.NewState(), registrar.NewState()
	rows := map[string]*modelRow{}
	answers := map[string][]byte{}
	var sent [][]byte
	for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
		route := rapid.SampledFrom([]string{"/", "/a", "/a/b"}).Draw(rt, "route")
		number := rapid.Uint64Range(0, 4).Draw(rt, "number")
		rate := rapid.IntRange(0, 3).Draw(rt, "rate")
		mr := rows[route]
		if mr == nil {
			mr = &modelRow{}
			rows[route] = mr
		}
		numberMatches := mr.present && number == mr.number || !mr.present && number == 0
		var cmd []byte
		accept := numberMatches
		switch rapid.IntRange(0, 3).Draw(rt, "kind") {
		case 0:
			cmd = registrar.EncodeCommand(registrar.EditID(fmt.Sprint(step)),
				registrar.DeleteRow{Workspace: "w", Route: route, Number: number})
			accept = numberMatches && mr.present
			if accept {
				mr.present = false
			}
		case 1:
			if len(sent) == 0 {
				continue
			}
			cmd = rapid.SampledFrom(sent).Draw(rt, "resend")
			if !bytes.Equal(st.Apply(cmd, proposed), answers[string(cmd)]) {
				rt.Fatal("a resend got another answer")
			}
			replica.Apply(cmd, proposed)
			continue
		default:
			cmd = registrar.EncodeCommand(registrar.EditID(fmt.Sprint(step)), edit("w", route, number,
				"service=s", "burst=1", fmt.Sprint("rate=", rate)))
			accept = numberMatches && rate > 0
			if accept {
				*mr = modelRow{number: mr.number + 1, rate: rate, present: true}
			}
		}
		before := st.Table()
		answer := st.Apply(cmd, proposed)
		sent, answers[string(cmd)] = append(sent, cmd), answer
		if !bytes.Equal(replica.Apply(cmd, proposed.Add(time.Second)), answer) {
			rt.Fatal("two replicas answered differently")
		}
		as, err := registrar.DecodeAnswer(answer)
		if err != nil || (as.Outcome == registrar.OutcomeAccepted) != accept {
			rt.Fatalf("answer %+v, %v; want accepted: %v", as, err, accept)
		}
		if moved := st.Table().Revision() - before.Revision(); (moved == 1) != accept || moved > 1 {
			rt.Fatalf("revision moved by %d", moved)
		}
		if rapid.Bool().Draw(rt, "restart") {
			next := registrar.NewState()
			if err := next.Restore(st.Snapshot()); err != nil {
				rt.Fatal(err)
			}
			st = next
		}
	}
	for route, mr := range rows {
		rw, ok := st.Table().Row("w", route)
		if ok != mr.present || ok && (rw.Number != mr.number || rw.Rate != registrar.Rate(mr.rate)*registrar.RateOne) {
			rt.Fatalf("row %s is %+v, model %+v", route, rw, mr)
		}
	}
}

func BenchmarkEdit(b *testing.B) {
	for _, count := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			st := registrar.NewState()
			for ix := range count {
				st.Apply(registrar.EncodeCommand("", newRow("w", fmt.Sprint("/service", ix))), proposed)
			}
			b.ReportAllocs()
			number := uint64(1)
			for b.Loop() {
				cmd := registrar.EncodeCommand("", edit("w", "/service1", number, "rate=7"))
				st.Apply(cmd, proposed)
				if st.Table().Revision() != uint64(count)+number {
					b.Fatal("not accepted")
				}
				number++
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	st := registrar.NewState()
	for ix := range 1000 {
		st.Apply(registrar.EncodeCommand(registrar.EditID(fmt.Sprint(ix)), newRow("w", fmt.Sprint("/service", ix))), proposed)
	}
	data := st.Snapshot()
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		if err := registrar.NewState().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
