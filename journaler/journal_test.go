package journaler_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/journaler"
	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// batchSource generates batches as a member saves them: appends, truncations, votes, own snapshots and snapshots of leaders.
type batchSource struct {
	rnd    *rand.Rand
	stored rp.Stored
}

func (bs *batchSource) lastIndex() uint64 {
	return bs.stored.Snapshot.Index + uint64(len(bs.stored.Entries))
}

func (bs *batchSource) next() rp.Batch {
	var bt rp.Batch
	if bs.rnd.IntN(5) == 0 {
		id := rp.MemberID{Instance: "n2", Boot: "b"}
		bt.State = &rp.State{Term: bs.stored.State.Term + 1, Vote: id}
	}
	from := bs.lastIndex() + 1
	switch kind := bs.rnd.IntN(40); {
	case kind == 0:
		bt.Reset = true
		bt.Snapshot = &rp.Snapshot{Index: bs.lastIndex() + 10, Term: 3, Data: make([]byte, 500)}
		from = bt.Snapshot.Index + 1
	case kind == 1 && len(bs.stored.Entries) > 3:
		en := bs.stored.Entries[len(bs.stored.Entries)-3]
		bt.Snapshot = &rp.Snapshot{Index: en.Index, Term: en.Term, Configuration: rp.VoterConfiguration(rp.Member{Instance: "n1"}), Data: []byte("state")}
	case kind < 6 && len(bs.stored.Entries) > 5:
		from -= 2
	}
	for ix := range uint64(1 + bs.rnd.IntN(4)) {
		at := time.Unix(int64(from), 7).UTC()
		en := rp.Entry{Index: from + ix, Term: 2, Proposed: at, Command: fmt.Append(nil, "command ", bs.rnd.Uint64())}
		bt.Entries = append(bt.Entries, en)
	}
	return bt
}

// apply returns the content of a journal after a batch is saved.
func apply(sd rp.Stored, bt rp.Batch) rp.Stored {
	if bt.State != nil {
		sd.State = *bt.State
	}
	ens := append([]rp.Entry(nil), sd.Entries...)
	if bt.Reset {
		ens = nil
	}
	if bt.Snapshot != nil {
		sd.Snapshot = *bt.Snapshot
		for len(ens) > 0 && ens[0].Index <= bt.Snapshot.Index {
			ens = ens[1:]
		}
	}
	if len(bt.Entries) > 0 {
		ens = append(ens[:bt.Entries[0].Index-sd.Snapshot.Index-1], bt.Entries...)
	}
	sd.Entries = ens
	return sd
}

func same(sa, sb rp.Stored) bool {
	if sa.State != sb.State || len(sa.Entries) != len(sb.Entries) || !reflect.DeepEqual(sa.Snapshot, sb.Snapshot) {
		return false
	}
	for ix := range sa.Entries {
		if !reflect.DeepEqual(sa.Entries[ix], sb.Entries[ix]) {
			return false
		}
	}
	return true
}

// saveUntilCrash saves batches until the folder crashes, and returns the content after the last successful save and
// the content with the batch that was being saved.
func saveUntilCrash(fd *memoryFolder, bs *batchSource, saves int) (answered, pending rp.Stored, err error) {
	jn, err := journaler.Open(fd)
	if err != nil {
		return bs.stored, bs.stored, err
	}
	for range saves {
		bt := bs.next()
		next := apply(bs.stored, bt)
		if err := jn.Save(bt); err != nil {
			return bs.stored, next, err
		}
		bs.stored = next
	}
	return bs.stored, bs.stored, nil
}

var _ = Describe("Journal", func() {
	It("keeps through a loss of power what it returned after its process was killed, at each operation", func() {
		const saves = 250
		reference := newMemory()
		_, _, err := saveUntilCrash(reference, &batchSource{rnd: rand.New(rand.NewPCG(1, 1))}, saves)
		Expect(err).To(Succeed())
		for point := range reference.ops {
			fd := newMemory()
			fd.opsLeft = point
			_, _, err := saveUntilCrash(fd, &batchSource{rnd: rand.New(rand.NewPCG(1, 1))}, saves)
			Expect(err).To(MatchError(errCrash))
			fd = fd.afterKill()
			jn, err := journaler.Open(fd)
			Expect(err).To(Succeed(), "operation %d", point)
			returned, err := jn.Load()
			Expect(err).To(Succeed())
			identity := jn.Identity()
			jn, err = journaler.Open(fd.afterCrash(rand.New(rand.NewPCG(uint64(point), 3))))
			Expect(err).To(Succeed(), "operation %d", point)
			Expect(jn.Identity()).To(Equal(identity), "operation %d", point)
			kept, err := jn.Load()
			Expect(err).To(Succeed())
			Expect(same(kept, returned)).To(BeTrue(), "operation %d: %d entries of %d kept", point, len(kept.Entries), len(returned.Entries))
		}
	})

	It("returns every answered save after a crash at each operation, with torn writes", func() {
		const saves = 250
		reference := newMemory()
		_, _, err := saveUntilCrash(reference, &batchSource{rnd: rand.New(rand.NewPCG(1, 1))}, saves)
		Expect(err).To(Succeed())
		for point := range reference.ops {
			fd, bs := newMemory(), &batchSource{rnd: rand.New(rand.NewPCG(1, 1))}
			fd.opsLeft = point
			answered, pending, err := saveUntilCrash(fd, bs, saves)
			Expect(err).To(MatchError(errCrash))
			rnd := rand.New(rand.NewPCG(uint64(point), 2))
			fd = fd.afterCrash(rnd)
			jn, err := journaler.Open(fd)
			Expect(err).To(Succeed(), "crash at %d", point)
			sd, err := jn.Load()
			Expect(err).To(Succeed())
			if !same(sd, answered) && !same(sd, pending) {
				Fail(fmt.Sprintf("crash at %d: neither the answered nor the pending state", point))
			}
			// Saves again in the same folder, and crashes again soon after.
			bs.stored = sd
			fd.opsLeft = rnd.IntN(60)
			answered, pending, _ = saveUntilCrash(fd, bs, 20)
			jn, err = journaler.Open(fd.afterCrash(rnd))
			Expect(err).To(Succeed(), "second crash after %d", point)
			sd, _ = jn.Load()
			Expect(same(sd, answered) || same(sd, pending)).To(BeTrue(), "second crash after %d", point)
		}
	})

	It("keeps its identity with the folder, and gets another one with a new folder", func() {
		dir := GinkgoT().TempDir()
		identity := func(path string) string {
			fd, err := journaler.OpenFolder(path)
			Expect(err).To(Succeed())
			jn, err := journaler.Open(fd)
			Expect(err).To(Succeed())
			defer func() { Expect(jn.Close()).To(Succeed()) }()
			_, err = journaler.OpenFolder(path)
			Expect(err).To(MatchError(ContainSubstring("in use")))
			return jn.Identity()
		}
		first := identity(filepath.Join(dir, "a"))
		Expect(identity(filepath.Join(dir, "a"))).To(Equal(first))
		Expect(os.RemoveAll(filepath.Join(dir, "a"))).To(Succeed())
		Expect(identity(filepath.Join(dir, "a"))).NotTo(Equal(first))
	})

	It("refuses to open when saved data is damaged or missing", func() {
		for _, damage := range []func(fd *memoryFolder){
			func(fd *memoryFolder) { fileWithPrefix(fd, "segment-").data[40] ^= 1 },
			func(fd *memoryFolder) { fileWithPrefix(fd, "snapshot-").data[20] ^= 1 },
			func(fd *memoryFolder) { fileWithPrefix(fd, "identity").data[10] ^= 1 },
			func(fd *memoryFolder) { removeFiles(fd, "segment-") },
			func(fd *memoryFolder) { removeFiles(fd, "snapshot-") },
			func(fd *memoryFolder) { removeFiles(fd, "identity") },
		} {
			fd := newMemory()
			_, _, err := saveUntilCrash(fd, &batchSource{rnd: rand.New(rand.NewPCG(5, 5))}, 100)
			Expect(err).To(Succeed())
			damage(fd)
			_, err = journaler.Open(fd)
			var corrupt *journaler.ErrCorrupt
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "%v", err)
		}
	})
})

func fileWithPrefix(fd *memoryFolder, prefix string) *memoryFile {
	for name, fl := range fd.names {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			return fl
		}
	}
	Fail("no file " + prefix)
	return nil
}

func removeFiles(fd *memoryFolder, prefix string) {
	for name := range fd.names {
		if len(name) >= len(prefix) && name[:len(prefix)] == prefix {
			delete(fd.names, name)
		}
	}
}

func FuzzOpen(f *testing.F) {
	fd := newMemory()
	_, _, err := saveUntilCrash(fd, &batchSource{rnd: rand.New(rand.NewPCG(5, 5))}, 6)
	if err != nil {
		f.Fatal(err)
	}
	identity := fd.names["identity"].data
	f.Add(fd.names["segment-00000000000000000001"].data)
	f.Fuzz(func(t *testing.T, data []byte) {
		in := newMemory()
		in.names["identity"] = &memoryFile{data: identity}
		in.names["segment-00000000000000000001"] = &memoryFile{data: data}
		jn, err := journaler.Open(in)
		if err != nil {
			return
		}
		sd, err := jn.Load()
		if err != nil {
			t.Fatal(err)
		}
		for ix, en := range sd.Entries {
			if en.Index != sd.Snapshot.Index+uint64(ix)+1 {
				t.Fatalf("entry %d at position %d after snapshot %d", en.Index, ix, sd.Snapshot.Index)
			}
		}
	})
}

// BenchmarkSave measures synced saves on the disk that holds TMPDIR.
func BenchmarkSave(b *testing.B) {
	for _, count := range []int{1, 64} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			fd, err := journaler.OpenFolder(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			jn, err := journaler.Open(fd)
			if err != nil {
				b.Fatal(err)
			}
			at := uint64(1)
			for b.Loop() {
				var bt rp.Batch
				for range count {
					bt.Entries = append(bt.Entries, rp.Entry{Index: at, Term: 1, Command: make([]byte, 200)})
					at++
				}
				if at > 4096 {
					bt = rp.Batch{Reset: true, Snapshot: &rp.Snapshot{Index: at, Term: 1}}
					at++
				}
				if err := jn.Save(bt); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
