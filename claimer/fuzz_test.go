package claimer_test

import (
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist/claimer"
)

func FuzzApply(f *testing.F) {
	f.Add(claimer.ClaimCommand(request("a", "b"), token(1)))
	f.Add(claimer.FinishCommand(token(1), claimer.Answer{Status: 200, Body: []byte("x")}))
	f.Add(claimer.ReleaseCommand(token(1)))
	f.Add(claimer.MayHaveRunCommand(token(1)))
	f.Fuzz(func(t *testing.T, cmd []byte) {
		ma := claimer.NewMachine(claimer.Settings{MaxBytes: 4000}, 1, start)
		ma.Apply(claimer.ClaimCommand(request("a", "b"), token(1)), start)
		raw := ma.Apply(cmd, start)
		if _, err := claimer.DecodeEndReply(raw); err != nil {
			t.Fatal(err)
		}
		if ma.Bytes() > 4000 || ma.Bytes() < 0 {
			t.Fatalf("%d bytes", ma.Bytes())
		}
	})
}

func FuzzRestore(f *testing.F) {
	ma := claimer.NewMachine(claimer.Settings{}, 1, start)
	ma.Apply(claimer.ClaimCommand(request("a", "b"), token(1)), start)
	ma.Apply(claimer.ReleaseCommand(token(2)), start)
	f.Add(ma.Snapshot())
	f.Fuzz(func(t *testing.T, raw []byte) {
		one := claimer.NewMachine(claimer.Settings{}, 1, start)
		if one.Restore(raw) != nil {
			return
		}
		two := claimer.NewMachine(claimer.Settings{}, 1, start)
		if err := two.Restore(one.Snapshot()); err != nil || two.Len() != one.Len() {
			t.Fatalf("%v, %d of %d claims", err, two.Len(), one.Len())
		}
	})
}

func FuzzDecodeClaimReply(f *testing.F) {
	f.Add([]byte{8, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		oc, err := claimer.DecodeClaimReply(raw, claimer.Key{}, token(1))
		if (oc == nil) == (err == nil) {
			t.Fatalf("%v with %v", oc, err)
		}
	})
}

func FuzzKey(f *testing.F) {
	f.Add("d0/" + uuidAt(start, 1))
	f.Add("order")
	f.Fuzz(func(t *testing.T, text string) {
		ky, err := claimer.ParseKey("school", text)
		if err != nil {
			return
		}
		if at, timed := ky.Time(); timed && (at.Before(time.UnixMilli(0)) || at.UnixMilli() >= 1<<48) {
			t.Fatal(at)
		}
	})
}

func BenchmarkClaimAndFinish(b *testing.B) {
	ma := claimer.NewMachine(claimer.Settings{MaxBytes: 1 << 30, Retention: time.Second}, 1, start)
	now := start
	b.ReportAllocs()
	for at := 0; b.Loop(); at++ {
		now = now.Add(time.Millisecond)
		rq := request(uuidAt(now, uint64(at)), "b")
		tk := claimer.NewToken()
		ma.Apply(claimer.ClaimCommand(rq, tk), now)
		ma.Apply(claimer.FinishCommand(tk, claimer.Answer{Status: 200, Body: []byte("booked")}), now)
	}
}
