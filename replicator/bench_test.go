package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// benchCluster is a group of three cores that exchange messages without delay.
type benchCluster struct {
	at    time.Time
	cores map[rp.MemberID]*rp.Core
	lead  *rp.Core
	queue []rp.Message
	done  int
}

func newBenchCluster(b *testing.B) *benchCluster {
	bc := &benchCluster{at: time.Unix(1e9, 0), cores: map[rp.MemberID]*rp.Core{}}
	var initial []rp.Member
	for _, boot := range []string{"1", "2", "3"} {
		initial = append(initial, rp.Member{Instance: "n", Boot: boot})
	}
	for ix, mb := range initial {
		sd := rp.Stored{State: rp.State{Term: 1}, Snapshot: rp.InitialSnapshot(initial, nil)}
		bc.cores[mb.ID()] = rp.NewCore(mb, rp.DefaultTimings(), sd, bc.at, rand.New(rand.NewPCG(uint64(ix), 0)))
	}
	for range 1000 {
		bc.at = bc.at.Add(10 * time.Millisecond)
		for _, co := range bc.cores {
			co.Tick(bc.at)
			bc.settle(co)
			if co.Lease(bc.at).Held {
				bc.lead = co
				return bc
			}
		}
	}
	b.Fatal("no leader")
	return nil
}

func (bc *benchCluster) settle(co *rp.Core) {
	bc.take(co)
	for len(bc.queue) > 0 {
		ms := bc.queue[0]
		bc.queue = bc.queue[1:]
		to := bc.cores[ms.To.ID()]
		to.Step(bc.at, ms)
		bc.take(to)
	}
}

func (bc *benchCluster) take(co *rp.Core) {
	out := co.TakeOutput()
	bc.queue = append(bc.queue, out.Messages...)
	if co == bc.lead {
		bc.done += len(out.Committed)
		if len(out.Committed) > 0 && out.Committed[len(out.Committed)-1].Index%1024 == 0 {
			co.Compact(out.Committed[len(out.Committed)-1].Index, nil)
		}
	}
}

// BenchmarkCorePropose measures the cost of a command in three cores, including all messages.
func BenchmarkCorePropose(b *testing.B) {
	for _, count := range []int{1, 64} {
		b.Run(fmt.Sprintf("batch_%d", count), func(b *testing.B) {
			bc := newBenchCluster(b)
			command := make([]byte, 100)
			var batch [][]byte
			for range count {
				batch = append(batch, command)
			}
			b.ReportAllocs()
			began := bc.done
			for b.Loop() {
				if _, ok := bc.lead.Propose(bc.at, batch...); !ok {
					b.Fatal("not the leader")
				}
				bc.settle(bc.lead)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(bc.done-began), "ns/command")
		})
	}
}

// benchThree starts a group of three processes over a simulated network without delay.
func benchThree(b *testing.B) (*process, func()) {
	nw := newSimNetwork()
	nw.delay = 0
	prs, err := nw.startThree()
	if err != nil {
		b.Fatal(err)
	}
	ld, _ := waitForLeader(prs)
	if ld == nil {
		b.Fatal("no leader")
	}
	return ld, func() { stopAll(prs...) }
}

// BenchmarkGroupPropose measures the cost of a command proposed at the leader, including three processes and connect.
func BenchmarkGroupPropose(b *testing.B) {
	ld, stop := benchThree(b)
	defer stop()
	b.ReportAllocs()
	for _, parallel := range []int{1, 16} {
		b.Run(fmt.Sprintf("parallel_%d", parallel), func(b *testing.B) {
			b.SetParallelism(parallel)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := ld.group.Propose(context.Background(), []byte("command")); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}

// BenchmarkForward measures the cost of a command that is forwarded to the leader's process.
func BenchmarkForward(b *testing.B) {
	ld, stop := benchThree(b)
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ld.host.ProposeAt(context.Background(), ld.member.Peer, "g", []byte("command")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLease measures the cost of reading the lease.
func BenchmarkLease(b *testing.B) {
	ld, stop := benchThree(b)
	defer stop()
	b.ReportAllocs()
	for b.Loop() {
		if _, _, held := ld.group.Lease(); !held {
			b.Fatal("lease lost")
		}
	}
}

// largeMachine is a state machine with a large snapshot that ignores commands.
type largeMachine struct{ data []byte }

func (ms *largeMachine) Apply(rp.Entry) []byte     { return nil }
func (ms *largeMachine) Snapshot() []byte          { return ms.data }
func (ms *largeMachine) Restore(data []byte) error { ms.data = data; return nil }

// BenchmarkReplace measures the time until a new member is a voter in place of another, for several sizes of the state.
func BenchmarkReplace(b *testing.B) {
	for _, size := range []int{1 << 20, 8 << 20, 32 << 20} {
		b.Run(fmt.Sprintf("%d_MiB", size>>20), func(b *testing.B) {
			nw, number := newSimNetwork(), 2
			nw.delay = 0
			one, two := nw.process(1, "1"), nw.process(2, "1")
			defer stopAll(one, two)
			for _, pr := range []*process{one, two} {
				var err error
				pr.group, err = pr.host.Open("g", pr.member, &largeMachine{make([]byte, size)}, rp.WithInitialMembers(one.member, two.member))
				if err != nil {
					b.Fatal(err)
				}
			}
			ld, _ := waitForLeader([]*process{one, two})
			old := without([]*process{one, two}, ld)[0].member
			for b.Loop() {
				number++
				next := nw.process(number, "1")
				var err error
				if next.group, err = next.host.Open("g", next.member, &largeMachine{}); err != nil {
					b.Fatal(err)
				}
				defer next.host.Stop()
				if err = ld.group.Replace(context.Background(), old, next.member); err != nil {
					b.Fatal(err)
				}
				old = next.member
			}
		})
	}
}
