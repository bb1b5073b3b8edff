package allocator_test

import (
	"bytes"
	"io"
	"net/http"
	"path"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist/allocator/allocatorpb"
)

// withoutEchoes removes from a call, or from its answer, what older builds neither send nor read.
func withoutEchoes(procedure string, body io.ReadCloser, answer bool) (io.ReadCloser, int64) {
	data, err := io.ReadAll(body)
	if err != nil {
		panic(err)
	}
	rewrite := func(msg proto.Message, drop func()) {
		if err := proto.Unmarshal(data, msg); err != nil {
			panic(err)
		}
		drop()
		if data, err = proto.Marshal(msg); err != nil {
			panic(err)
		}
	}
	switch name := path.Base(procedure); {
	case name == "Report" && answer:
		msg := &allocatorpb.ReportAnswer{}
		rewrite(msg, func() { msg.Stamp = 0 })
	case name == "Report":
		msg := &allocatorpb.ReportRequest{}
		rewrite(msg, func() { msg.Echo = nil })
	case name == "Lend" && answer:
		msg := &allocatorpb.LendAnswer{}
		rewrite(msg, func() { msg.Stamp = 0 })
	case name == "Lend":
		msg := &allocatorpb.LendRequest{}
		rewrite(msg, func() { msg.Echo, msg.Lender = nil, "" })
	}
	return io.NopCloser(bytes.NewReader(data)), int64(len(data))
}

// dropEchoes makes a request or an answer look like one of an older build.
func dropEchoes(rq *http.Request, rs *http.Response) {
	if rs == nil {
		rq.Body, rq.ContentLength = withoutEchoes(rq.URL.Path, rq.Body, false)
		rq.Header.Set("Content-Length", strconv.FormatInt(rq.ContentLength, 10))
		return
	}
	rs.Body, rs.ContentLength = withoutEchoes(rq.URL.Path, rs.Body, true)
	rs.Header.Set("Content-Length", strconv.FormatInt(rs.ContentLength, 10))
}

func TestOlderBuildsShareRatesWithNewerOnes(t *testing.T) {
	for _, perSecond := range []float64{20, 100} {
		for older := range 2 {
			rw := row(perSecond, int64(perSecond))
			withFleet(t, 3, 5, rw, func(gm *gomega.WithT, fl *fleet) {
				for at, mb := range fl.members {
					mb.older = at%2 == older
				}
				time.Sleep(limitWindow)
				sent, refused, unavoidable := fl.load(1, rw, 0.9*perSecond, 20*time.Second, fl.anyMember)
				gm.Expect(float64(refused - unavoidable)).To(gomega.BeNumerically("<=", 0.03*float64(sent)))
				_, _, _ = fl.load(2, rw, 5*perSecond, 20*time.Second, fl.anyMember)
				gm.Expect(fl.busiestWindow(rw)).To(gomega.BeNumerically("<=", limit(rw)))
			})
		}
	}
}
