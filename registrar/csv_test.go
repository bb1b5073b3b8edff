package registrar_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/registrar"
)

const csvHeader = "workspace,route,service,open,importance,weight,rate,burst,retries," +
	"retry_percent,idempotent,deadline,objective,cut_off,number\n"

var _ = Describe("CSV", func() {
	It("reads back an export that a spreadsheet has saved", func() {
		st := registrar.NewState()
		apply(st, "", newRow("derwent", "/slips", "rate=1.5", "objective=99.95", "cut_off=refuse", "deadline=1m30s"))
		apply(st, "", newRow("builders", "/a,b", "open=true", "idempotent=none"))
		txt := registrar.WriteCSV(st.Table().Rows())
		saved := "\ufeff" + strings.ReplaceAll(strings.ReplaceAll(txt, "true", "TRUE"), "\n", "\r\n") + ",,,\r\n"
		rows, err := registrar.ParseCSV(saved)
		Expect(err).NotTo(HaveOccurred())
		for ix, rw := range st.Table().Rows() {
			Expect(rows[ix]).To(Equal(*rw))
		}
		as := apply(st, "", registrar.ImportRows{Rows: rows})
		Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(as.Changed).To(BeZero())
	})

	It("names line, row, column, value and what is allowed, for all bad values", func() {
		_, err := registrar.ParseCSV(csvHeader +
			"derwent,/slips,rolls,false,50,100,5,10,2,20,by_method,10s,99.9,serve,\n" +
			"derwent,/board,rolls,false,50,100,often,10,2,20,by_method,10s,99.9,serve,\n" +
			"derwent,/x,rolls,false,50,100,5,0,2,20,by_method,10s,99.9,serve,3\n" +
			"derwent,/slips,rolls,false,50,100,5,10,2,20,by_method,10s,99.9,serve,\n")
		Expect(err).To(BeAssignableToTypeOf(&registrar.ImportError{}))
		Expect(err.Error()).To(And(
			ContainSubstring(`line 3, row "derwent /board", column rate: value "often" is not allowed; allowed: requests a second`),
			ContainSubstring(`line 4, row "derwent /x", column burst: value "0"`),
			ContainSubstring(`line 5, row "derwent /slips", column route`),
		))
	})

	DescribeTable("refuses files that are not a table", func(txt, want string) {
		_, err := registrar.ParseCSV(txt)
		Expect(err).To(MatchError(ContainSubstring(want)))
	},
		Entry("nothing", "", "column workspace"),
		Entry("no header", "derwent,/slips\n", "column derwent"),
		Entry("open quote", csvHeader+"\"derwent\n", "quotes"),
		Entry("value beyond the header", csvHeader+"a,/,s,,,,1,1,,,,,,,,extra\n", "number 16 of the line"),
		Entry("blank in an existing row", csvHeader+"a,/,s,,,,1,1,,,,,,,4\n", "column open"),
	)

	It("uses defaults for blanks of a new row, and accepts semicolons", func() {
		rows, err := registrar.ParseCSV(strings.ReplaceAll(csvHeader+"a,/,s,,,,1,1,,,,,,,\n", ",", ";"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rows[0].Deadline).To(Equal(registrar.DefaultRow("a", "/").Deadline))
	})

	It("imports all rows or none", func() {
		st := registrar.NewState()
		apply(st, "", newRow("derwent", "/slips"))
		rows, err := registrar.ParseCSV(registrar.WriteCSV(st.Table().Rows()))
		Expect(err).NotTo(HaveOccurred())
		apply(st, "", edit("derwent", "/slips", 1, "rate=6"))
		added := registrar.DefaultRow("builders", "/plots")
		added.Service, added.Rate, added.Burst = "plots", registrar.RateOne, 1
		rows[0].Rate = 7 * registrar.RateOne
		as := apply(st, "", registrar.ImportRows{Rows: append(rows, added)})
		Expect(as.Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(as.Rows[0].Rate).To(Equal(6 * registrar.RateOne))
		Expect(st.Table().Rows()).To(HaveLen(1))
		rows[0].Number = 2
		as = apply(st, "", registrar.ImportRows{Rows: append(rows, added)})
		Expect(as.Changed).To(Equal(2))
		Expect(st.Table().Revision()).To(BeEquivalentTo(3))
	})

	It("moves an open route between workspaces in one import", func() {
		st := registrar.NewState()
		apply(st, "", newRow("derwent", "/board", "open=true"))
		from, _ := st.Table().Row("derwent", "/board")
		closed, opened := *from, *from
		closed.Open = false
		opened.Workspace, opened.Number = "builders", 0
		Expect(apply(st, "", registrar.ImportRows{Rows: []registrar.Row{opened}}).Outcome).To(Equal(registrar.OutcomeRefused))
		Expect(apply(st, "", registrar.ImportRows{Rows: []registrar.Row{opened, closed}}).Changed).To(Equal(2))
	})
})

func FuzzParseCSV(f *testing.F) {
	f.Add(csvHeader + "derwent,/slips,rolls,false,50,100,5,10,2,20,by_method,10s,99.9,serve,\n")
	f.Add(strings.ReplaceAll(csvHeader, ",", ";") + "a;/;s;;;;1.25;1;;;;;;;\n")
	f.Fuzz(func(t *testing.T, txt string) {
		rows, err := registrar.ParseCSV(txt)
		if err != nil {
			return
		}
		shared := make([]*registrar.Row, len(rows))
		for ix := range rows {
			shared[ix] = &rows[ix]
		}
		again, err := registrar.ParseCSV(registrar.WriteCSV(shared))
		if err != nil || len(again) != len(rows) {
			t.Fatalf("%d rows became %d: %v", len(rows), len(again), err)
		}
		for ix := range rows {
			if rows[ix] != again[ix] {
				t.Fatalf("%+v became %+v", rows[ix], again[ix])
			}
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add(registrar.EncodeCommand("e", newRow("derwent", "/slips")))
	f.Add(registrar.EncodeCommand("", registrar.WithdrawKey{KeyID: "0123456789ab"}))
	f.Add(registrar.EncodeCommand("", registrar.SetPlacement{Placement: registrar.Placement{
		Domain: "d", Generation: 1, Members: []registrar.ShardMember{{Instance: "i", Peer: peerAddr(1)}},
	}}))
	f.Add(registrar.EncodeCommand("", evacuate("d0", 0)))
	f.Fuzz(func(t *testing.T, cmd []byte) {
		st := registrar.NewState()
		answer := st.Apply(cmd, proposed)
		if _, err := registrar.DecodeAnswer(answer); err != nil {
			t.Fatal(err)
		}
		next := registrar.NewState()
		if err := next.Restore(st.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if next.Table().Revision() != st.Table().Revision() {
			t.Fatal("a snapshot changed the revision")
		}
	})
}

func FuzzRestore(f *testing.F) {
	st := registrar.NewState()
	st.Apply(registrar.EncodeCommand("e", newRow("derwent", "/slips")), proposed)
	st.Apply(registrar.EncodeCommand("d", registrar.DeleteRow{Workspace: "derwent", Route: "/slips", Number: 1}), proposed)
	f.Add(st.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		st := registrar.NewState()
		if st.Restore(data) != nil {
			if st.Table().Revision() != 0 {
				t.Fatal("an unreadable snapshot changed the state")
			}
			return
		}
		next := registrar.NewState()
		if err := next.Restore(st.Snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
