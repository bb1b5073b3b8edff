package registrar_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// operatorClient returns a client of the operators' service of an instance.
func operatorClient(nd *fleetNode) registrarpb.OfficeClient {
	return registrarpb.NewOfficeClient(nd, nd.URL(nd.self.Peer))
}

func request[T any](ms *T) *connect.Request[T] { return connect.NewRequest(ms) }

func rowRequest(ws, route string, number uint64, rate, id string) *connect.Request[registrarpb.EditRowRequest] {
	return request(&registrarpb.EditRowRequest{
		Workspace: ws, Route: route, Number: number, EditId: id, WaitMs: 2000,
		Values: map[string]string{"service": "rolls", "rate": rate, "burst": "10"},
	})
}

var _ = Describe("operators' service", func() {
	ctx := context.Background()

	It("forwards an edit from any instance to the log and answers that it is in force everywhere", func() {
		withFleet(3, 2, func(fl *fleet) {
			rs, err := operatorClient(fl.node("n4")).EditRow(ctx, rowRequest("derwent", "/slips", 0, "5", ""))
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
			Expect(rs.Msg.GetInForce().GetEverywhere()).To(BeTrue())
			Expect(rs.Msg.GetEditId()).NotTo(BeEmpty())
			Expect(inForce(1, fl.order...)).To(BeTrue())
			list, err := operatorClient(fl.node("n1")).ListRows(ctx, request(&registrarpb.ListRowsRequest{Workspace: "derwent"}))
			Expect(err).NotTo(HaveOccurred())
			Expect(list.Msg.GetNewest()).To(BeTrue())
			Expect(list.Msg.GetRows()[0].GetRate()).To(Equal("5"))
			status, err := operatorClient(fl.node("n2")).Status(ctx, request(&registrarpb.StatusRequest{}))
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Msg.GetText()).To(ContainSubstring("in force everywhere"))
		})
	})

	It("accepts one of two edits with equal row numbers at different instances, and answers the other with a conflict", func() {
		withFleet(2, 2, func(fl *fleet) {
			_, err := operatorClient(fl.node("n0")).EditRow(ctx, rowRequest("derwent", "/slips", 0, "5", "e0"))
			Expect(err).NotTo(HaveOccurred())
			outcomes := make(chan registrarpb.Outcome, 2)
			for ix, name := range []gypsumhoist.Instance{"n1", "c1"} {
				go func() {
					defer GinkgoRecover()
					rs, err := operatorClient(fl.node(name)).EditRow(ctx, rowRequest("derwent", "/slips", 1, "7", string(rune('a'+ix))))
					Expect(err).NotTo(HaveOccurred())
					outcomes <- rs.Msg.GetOutcome()
				}()
			}
			Expect([]registrarpb.Outcome{<-outcomes, <-outcomes}).To(ConsistOf(
				registrarpb.Outcome_OUTCOME_ACCEPTED, registrarpb.Outcome_OUTCOME_CONFLICT))
		})
	})

	It("answers that an outcome is unknown; a resend with the same edit id gets the outcome", func() {
		withFleet(2, 2, func(fl *fleet) {
			for _, name := range []gypsumhoist.Instance{"c0", "c1", "c2"} {
				fl.node(name).noQuorum.Store(true)
			}
			_, err := operatorClient(fl.node("n0")).EditRow(ctx, rowRequest("derwent", "/slips", 0, "5", "mine"))
			Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnknown))
			Expect(err.Error()).To(ContainSubstring(`resend it with the same edit id "mine"`))
			list, err := operatorClient(fl.node("n0")).ListRows(ctx, request(&registrarpb.ListRowsRequest{}))
			Expect(err).NotTo(HaveOccurred())
			Expect(list.Msg.GetNewest()).To(BeFalse())
			Expect(list.Msg.GetText()).To(ContainSubstring("this is the table in force at n0"))
			for _, name := range []gypsumhoist.Instance{"c0", "c1", "c2"} {
				fl.node(name).noQuorum.Store(false)
			}
			for range 2 {
				rs, err := operatorClient(fl.node("n0")).EditRow(ctx, rowRequest("derwent", "/slips", 0, "5", "mine"))
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
				Expect(rs.Msg.GetRevision()).To(BeEquivalentTo(1))
			}
		})
	})

	It("accepts edits outside a cut-off domain with a control instance, none inside, and loses none that it accepted", func() {
		withFleet(3, 2, func(fl *fleet) {
			fl.node("c0").noQuorum.Store(true)
			rs, err := operatorClient(fl.node("c0")).EditRow(ctx, rowRequest("derwent", "/slips", 0, "5", "first"))
			Expect(err).NotTo(HaveOccurred(), "only the log of c0 is isolated, so c0 forwards the edit")
			Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))

			fl.setPartitioned("d0", true)
			_, err = operatorClient(fl.node("c0")).EditRow(ctx, rowRequest("derwent", "/slips", 1, "6", "inside"))
			Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnknown))
			rs, err = operatorClient(fl.node("n1")).EditRow(ctx, rowRequest("derwent", "/slips", 1, "7", "outside"))
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
			Expect(rs.Msg.GetText()).To(ContainSubstring("Failure domain d0: 3 of 3 instances have not confirmed"))

			fl.setPartitioned("d0", false)
			time.Sleep(10 * time.Second)
			rs, err = operatorClient(fl.node("c0")).EditRow(ctx, rowRequest("derwent", "/slips", 1, "6", "inside"))
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_CONFLICT))
			Expect(rs.Msg.GetRows()[0].GetRate()).To(Equal("7"))
			Expect(inForce(2, fl.order...)).To(BeTrue())
		})
	})

	It("answers that nothing was changed when no control instance is known", func() {
		synctest.Test(suiteT, func(_ *testing.T) {
			defer GinkgoRecover()
			ops := registrar.NewOperatorService()
			rs := post(ops, "WithdrawKey", `{"keyId":"0123456789ab"}`)
			Expect(rs.Code).To(Equal(http.StatusBadRequest))
			Expect(rs.Body.String()).To(ContainSubstring("nothing was changed"))
		})
	})

	It("returns a key once; a withdrawn key is refused everywhere", func() {
		withFleet(3, 2, func(fl *fleet) {
			rq := func() *connect.Request[registrarpb.GrantKeyRequest] {
				return request(&registrarpb.GrantKeyRequest{Workspace: "derwent", EditId: "g", WaitMs: 2000})
			}
			first, err := operatorClient(fl.node("n3")).GrantKey(ctx, rq())
			Expect(err).NotTo(HaveOccurred())
			again, err := operatorClient(fl.node("c0")).GrantKey(ctx, rq())
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Msg.GetKeyId()).To(Equal(first.Msg.GetKeyId()))
			Expect(again.Msg.GetKey()).To(BeEmpty())
			Expect(again.Msg.GetText()).To(ContainSubstring("its key was shown then"))
			for _, nd := range fl.order {
				_, ok := nd.holder.Current().Authenticate(first.Msg.GetKey())
				Expect(ok).To(BeTrue())
			}
			fl.setPartitioned("d1", true)
			rs, err := operatorClient(fl.node("n0")).WithdrawKey(ctx, request(&registrarpb.WithdrawKeyRequest{
				KeyId: first.Msg.GetKeyId(), WaitMs: 1000,
			}))
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.Msg.GetInForce().GetEverywhere()).To(BeFalse())
			Expect(rs.Msg.GetText()).To(ContainSubstring("Failure domain d1: 3 of 3 instances have not confirmed"))
			_, during := fl.node("n1").holder.Current().Authenticate(first.Msg.GetKey())
			Expect(during).To(BeTrue(), "d1 is cut off, as the answer says")
			fl.setPartitioned("d1", false)
			gone := func() bool {
				for _, nd := range fl.order {
					if _, ok := nd.holder.Current().Authenticate(first.Msg.GetKey()); ok {
						return false
					}
				}
				return true
			}
			Expect(until(10*time.Second, gone)).To(BeNumerically(">=", 0))
		})
	})

	It("refuses a key that was withdrawn before its domain was cut off, also after restarts in that domain", func() {
		withFleet(2, 4, func(fl *fleet) {
			granted, err := operatorClient(fl.node("n0")).GrantKey(ctx, request(&registrarpb.GrantKeyRequest{Workspace: "derwent", WaitMs: 5000}))
			Expect(err).NotTo(HaveOccurred())
			rs, err := operatorClient(fl.node("n0")).WithdrawKey(ctx, request(&registrarpb.WithdrawKeyRequest{
				KeyId: granted.Msg.GetKeyId(), WaitMs: 5000,
			}))
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.Msg.GetInForce().GetEverywhere()).To(BeTrue())
			fl.setPartitioned("d1", true)
			for range 3 {
				for _, nd := range nodesIn(fl, "d1") {
					if nd.self.Control {
						continue
					}
					nd.stop()
					nd.restart()
					Expect(until(20*time.Second, func() bool { return inForce(2, nd) })).To(BeNumerically(">=", 0))
					_, ok := nd.holder.Current().Authenticate(granted.Msg.GetKey())
					Expect(ok).To(BeFalse())
				}
			}
		})
	})

	It("exports and imports CSV over plain JSON", func() {
		withFleet(1, 1, func(fl *fleet) {
			ops := fl.node("c0").operators
			answer := map[string]any{}
			body, err := json.Marshal(map[string]any{"csv": csvHeader + "derwent,/slips,rolls,,,,5,10,,,,,,,\n", "waitMs": 1000})
			Expect(err).NotTo(HaveOccurred())
			Expect(json.Unmarshal(post(ops, "Import", string(body)).Body.Bytes(), &answer)).To(Succeed())
			Expect(answer).To(HaveKeyWithValue("outcome", "OUTCOME_ACCEPTED"))
			Expect(post(ops, "Export", `{}`).Body.String()).To(ContainSubstring("derwent,/slips,rolls,false,50,100,5,10"))
			bad := post(ops, "Import", `{"csv":"workspace\nx"}`)
			Expect(bad.Body.String()).To(And(ContainSubstring("OUTCOME_REFUSED"), ContainSubstring("column route")))
		})
	})
})

// post calls the operators' service with plain JSON, as curl does.
func post(ops *registrar.OperatorService, method, body string) *httptest.ResponseRecorder {
	_, handler := ops.Handler()
	rq := httptest.NewRequest(http.MethodPost, "/gypsumhoist.registrar.v1.Office/"+method, io.NopCloser(bytes.NewReader([]byte(body))))
	rq.Header.Set("Content-Type", "application/json")
	rs := httptest.NewRecorder()
	handler.ServeHTTP(rs, rq)
	return rs
}
