package journaler_test

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/gypsumhoist/gypsumhoist/journaler"
)

var errCrash = errors.New("crashed")

// memoryFile is a file with its content and the content as of its last sync.
type memoryFile struct {
	data   []byte
	synced []byte
}

// memoryFolder is a journaler.Folder in memory that crashes at a given operation and then loses data that was not synced.
type memoryFolder struct {
	names   map[string]*memoryFile
	synced  map[string]*memoryFile // names as of the last Sync of the folder
	opsLeft int                    // operations until the crash; negative for no crash
	ops     int
}

func newMemory() *memoryFolder {
	return &memoryFolder{names: map[string]*memoryFile{}, synced: map[string]*memoryFile{}, opsLeft: -1}
}

func (mf *memoryFolder) countOp() error {
	mf.ops++
	if mf.opsLeft == 0 {
		return errCrash
	}
	if mf.opsLeft > 0 {
		mf.opsLeft--
	}
	return nil
}

// afterKill returns the folder as the end of its process leaves it: all that was written can be read, though a loss of power may take it.
func (mf *memoryFolder) afterKill() *memoryFolder {
	next := newMemory()
	next.names, next.synced = maps.Clone(mf.names), maps.Clone(mf.synced)
	return next
}

// afterCrash returns the folder as a crash leaves it: each name change that was not synced is kept or lost at random,
// and so are the unsynced tails of files, some of them with damaged bytes.
func (mf *memoryFolder) afterCrash(rnd *rand.Rand) *memoryFolder {
	next := newMemory()
	all := slices.Sorted(maps.Keys(mf.names))
	for _, name := range slices.Sorted(maps.Keys(mf.synced)) {
		if !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	for _, name := range all {
		was, now := mf.synced[name], mf.names[name]
		kept := was
		if was != now && rnd.IntN(2) == 0 {
			kept = now
		}
		if kept != nil {
			data := kept.torn(rnd)
			fl := &memoryFile{data: data, synced: slices.Clone(data)}
			next.names[name], next.synced[name] = fl, fl
		}
	}
	return next
}

func (fl *memoryFile) torn(rnd *rand.Rand) []byte {
	data := slices.Clone(fl.synced)
	if len(fl.data) <= len(data) {
		return data
	}
	tail := slices.Clone(fl.data[len(data):])
	tail = tail[:rnd.IntN(len(tail)+1)]
	if len(tail) > 0 {
		switch rnd.IntN(3) {
		case 0:
			clear(tail[rnd.IntN(len(tail)):])
		case 1:
			tail[rnd.IntN(len(tail))] ^= 0x55
		default:
		}
	}
	return append(data, tail...)
}

func (mf *memoryFolder) Names() ([]string, error) { return slices.Sorted(maps.Keys(mf.names)), nil }

func (mf *memoryFolder) Read(name string) ([]byte, error) {
	fl, ok := mf.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(fl.data), nil
}

func (mf *memoryFolder) Create(name string) (journaler.File, error) {
	if err := mf.countOp(); err != nil {
		return nil, err
	}
	fl := &memoryFile{}
	mf.names[name] = fl
	return openFile{mf, fl}, nil
}

func (mf *memoryFolder) Append(name string) (journaler.File, error) {
	return openFile{mf, mf.names[name]}, nil
}

func (mf *memoryFolder) Truncate(name string, size int64) error {
	if err := mf.countOp(); err != nil {
		return err
	}
	fl := mf.names[name]
	fl.data = fl.data[:size]
	fl.synced = slices.Clone(fl.data)
	return nil
}

func (mf *memoryFolder) Rename(from, to string) error {
	if err := mf.countOp(); err != nil {
		return err
	}
	mf.names[to] = mf.names[from]
	delete(mf.names, from)
	return nil
}

func (mf *memoryFolder) Remove(name string) error {
	if err := mf.countOp(); err != nil {
		return err
	}
	delete(mf.names, name)
	return nil
}

func (mf *memoryFolder) Sync() error {
	if err := mf.countOp(); err != nil {
		return err
	}
	mf.synced = maps.Clone(mf.names)
	return nil
}

func (mf *memoryFolder) Close() error { return nil }

type openFile struct {
	folder *memoryFolder
	file   *memoryFile
}

func (of openFile) Write(data []byte) (int, error) {
	err := of.folder.countOp()
	of.file.data = append(of.file.data, data...) // after a crash any part of it may have been written
	return len(data), err
}

func (of openFile) Sync() error {
	if err := of.folder.countOp(); err != nil {
		return err
	}
	of.file.synced = slices.Clone(of.file.data)
	return nil
}

func (of openFile) Close() error { return nil }
