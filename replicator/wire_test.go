package replicator_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	rp "github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
)

// FuzzStep sends arbitrary bytes to a host with an open group.
func FuzzStep(f *testing.F) {
	member := &replicatorpb.Member{Instance: "n1", Boot: "1", Peer: "10.0.0.1:7000"}
	entry := &replicatorpb.Entry{Index: 2, Term: 3, Command: []byte("c"), Seats: []*replicatorpb.Seat{{Member: member}}}
	for _, ms := range []*replicatorpb.Message{
		{Group: "g", Term: 3, Body: &replicatorpb.Message_AppendAsk{AppendAsk: &replicatorpb.AppendAsk{
			PrevIndex: 1, PrevTerm: 1, Entries: []*replicatorpb.Entry{entry}, Commit: 2,
		}}},
		{Group: "g", Term: 3, Body: &replicatorpb.Message_SnapshotAsk{SnapshotAsk: &replicatorpb.SnapshotAsk{
			Snapshot: &replicatorpb.Snapshot{Index: 9, Term: 2, Data: []byte("null")}, Total: 4,
		}}},
		{Group: "g", Term: 3, Body: &replicatorpb.Message_VoteAsk{VoteAsk: &replicatorpb.VoteAsk{Transfer: true, LastIndex: 9, LastTerm: 9}}},
	} {
		data, err := proto.Marshal(&replicatorpb.StepRequest{Members: []*replicatorpb.Member{member}, Messages: []*replicatorpb.Message{ms}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		pr := newSimNetwork().process(1, "1")
		if err := pr.open(rp.WithInitialMembers(pr.member, rp.Member{Instance: "n2", Boot: "1"})); err != nil {
			t.Fatal(err)
		}
		defer pr.host.Stop()
		_, hd := pr.host.Handler()
		req := httptest.NewRequest(http.MethodPost, "/gypsumhoist.replicator.v1.Replicator/Step", bytes.NewReader(data))
		req.Header.Set("Content-Type", "application/proto")
		hd.ServeHTTP(httptest.NewRecorder(), req)
		if su := pr.group.Status(); su.Commit > su.LastIndex {
			t.Fatalf("commit index %d is beyond the log's end %d", su.Commit, su.LastIndex)
		}
	})
}

func TestEntryAndSnapshotSurviveMarshaling(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		mb := rp.Member{Instance: "n", Boot: rapid.StringMatching("[a-z+0-9]*").Draw(rt, "boot")}
		en := rp.Entry{
			Index: rapid.Uint64().Draw(rt, "index"), Term: rapid.Uint64().Draw(rt, "term"), Kind: rp.KindConfiguration,
			Proposed: time.Unix(0, rapid.Int64Range(1, 1<<62).Draw(rt, "proposed")).UTC(),
			Command:  rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(rt, "command"), Configuration: rp.VoterConfiguration(mb),
		}
		data, err := rp.MarshalEntry(en)
		if err != nil {
			rt.Fatal(err)
		}
		if back, err := rp.UnmarshalEntry(data); err != nil || !reflect.DeepEqual(back, en) {
			rt.Fatalf("%+v became %+v, %v", en, back, err)
		}
		sn := rp.Snapshot{Index: en.Index, Term: en.Term, Proposed: en.Proposed, Configuration: en.Configuration, Data: en.Command}
		if data, err = rp.MarshalSnapshot(sn); err != nil {
			rt.Fatal(err)
		}
		if back, err := rp.UnmarshalSnapshot(data); err != nil || !reflect.DeepEqual(back, sn) {
			rt.Fatalf("%+v became %+v, %v", sn, back, err)
		}
	})
}
