package limiter_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist/limiter/limiterpb"
)

// FuzzMessages sends arbitrary bytes to both calls of a leader. It must not answer with an internal error,
// and an answer to Take must be readable.
func FuzzMessages(f *testing.F) {
	key := &limiterpb.Row{Workspace: string(rowKey.Workspace), Route: rowKey.Route}
	take, _ := proto.Marshal(&limiterpb.TakeRequest{
		Node: "n", Asks: []*limiterpb.Ask{{Row: key, Id: 1, Want: 3, Waiting: 1}},
		Settlements: []*limiterpb.Settlement{{Row: key, Epoch: 1, Id: 1, Returned: -5, Spent: 1 << 62}},
	})
	transfer, _ := proto.Marshal(&limiterpb.TransferRequest{
		Domain: "d9", Asks: []*limiterpb.TransferAsk{{Row: key, Id: 1, Want: 1 << 62}},
		Settlements: []*limiterpb.TransferSettlement{{Row: key, Epoch: 1, Id: 1, Returned: 1 << 62, Kept: -1}},
	})
	f.Add(take, true)
	f.Add(transfer, false)
	fl := newFleet(1, 1)
	f.Cleanup(fl.stop)
	fl.setTable(1)
	time.Sleep(100 * time.Millisecond)
	fl.setTable(2, freshRow(1000, 1000))
	f.Fuzz(func(t *testing.T, body []byte, isTake bool) {
		path := limiterpb.LimiterTransferProcedure
		if isTake {
			path = limiterpb.LimiterTakeProcedure
		}
		rq := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, bytes.NewReader(body))
		rq.Header.Set("Content-Type", "application/proto")
		rc := httptest.NewRecorder()
		fl.members[0].h.ServeHTTP(rc, rq)
		if rc.Code >= 500 && rc.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d: %s", rc.Code, rc.Body)
		}
		var rp limiterpb.TakeReply
		if isTake && rc.Code == http.StatusOK && proto.Unmarshal(rc.Body.Bytes(), &rp) != nil {
			t.Fatal("the answer can't be read")
		}
	})
}
