package journaler

import (
	"errors"
	"fmt"
	"slices"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// ErrCorrupt is the error of a journal that has lost or damaged some of the data that was saved.
// Its member must not take part in the group any more: remove it from the group, empty the folder, and add it as a new member.
type ErrCorrupt struct {
	File   string // empty if no single file is at fault
	Offset int    // bytes
	Detail string
}

// Error returns a text with the file, the offset and the cause.
func (er *ErrCorrupt) Error() string {
	return fmt.Sprintf("journal is corrupt: file %q at byte %d: %s", er.File, er.Offset, er.Detail)
}

// Journal is a replicator.Journal in a folder. It has one owner, and is not safe for concurrent use.
type Journal struct {
	folder   Folder
	identity string
	content  logContent
	snapshot replicator.Snapshot // read by Open; Load drops its data
	segment  uint64              // number of the newest segment; zero for none
	current  string              // name of the segment that is being written
	out      File                // the current segment; nil before the first save
	saveErr  error               // error of a failed save, or set by Close; every later save returns it
	buf      []byte
}

// Open reads the journal in a folder, truncates an incomplete save, syncs what it has read, and removes obsolete files that a crash
// left behind. The error is an *ErrCorrupt if saved data is missing or damaged.
// The journal owns the folder and closes it, also if Open fails.
func Open(fd Folder) (*Journal, error) {
	jn := &Journal{folder: fd}
	if err := jn.open(); err != nil {
		return nil, errors.Join(err, jn.Close())
	}
	return jn, nil
}

func (jn *Journal) open() error {
	names, err := jn.folder.Names()
	if err != nil {
		return err
	}
	slices.Sort(names)
	if err := jn.openIdentity(names); err != nil {
		return err
	}
	if err := jn.openSegments(names); err != nil {
		return err
	}
	if err := jn.openSnapshot(); err != nil {
		return err
	}
	if err := jn.syncOpened(); err != nil {
		return err
	}
	return jn.removeObsolete(names)
}

// syncOpened makes durable what was read: a process that was killed may have written it without a sync, and what Load returns
// counts as saved from then on.
func (jn *Journal) syncOpened() error {
	if jn.out != nil {
		if err := jn.out.Sync(); err != nil {
			return err
		}
	}
	return jn.folder.Sync()
}

// Identity returns a random text that was generated when the folder was new, for use as Member.Boot:
// a member that has lost its folder is a different member.
func (jn *Journal) Identity() string { return jn.identity }

// Fresh reports whether nothing was ever saved, so that the member has yet to form its group or join it.
func (jn *Journal) Fresh() bool { return jn.out == nil }

// Load returns the saved data. It releases the snapshot's data, so that a second call returns none.
func (jn *Journal) Load() (replicator.Stored, error) {
	sn := jn.snapshot
	jn.snapshot.Data = nil
	return replicator.Stored{State: jn.content.state, Snapshot: sn, Entries: slices.Clone(jn.content.entries)}, nil
}

// Save writes a batch and returns once it is synced. After an error every later call fails,
// as the data on disk is unknown after a failed sync.
func (jn *Journal) Save(bt replicator.Batch) error {
	if jn.saveErr != nil {
		return jn.saveErr
	}
	err := jn.content.apply(bt)
	switch {
	case err != nil:
	case bt.Snapshot != nil || jn.out == nil:
		err = jn.rotate(bt.Snapshot)
	default:
		err = jn.append(bt)
	}
	if err != nil {
		jn.saveErr = fmt.Errorf("journal is read-only after a failed save: %w", err)
	}
	return jn.saveErr
}

// Close releases the folder.
func (jn *Journal) Close() error {
	var err error
	if jn.out != nil {
		err = jn.out.Close()
		jn.out = nil
	}
	if jn.saveErr == nil {
		jn.saveErr = errors.New("journal is closed")
	}
	return errors.Join(err, jn.folder.Close())
}

func (jn *Journal) append(bt replicator.Batch) error {
	payload, err := marshalFrame(bt, false, 0)
	if err != nil {
		return err
	}
	jn.buf = appendFrame(jn.buf[:0], payload)
	if _, err := jn.out.Write(jn.buf); err != nil {
		return err
	}
	return jn.out.Sync()
}

// rotate starts a segment with the whole content of the journal, and then removes the files that it replaces.
func (jn *Journal) rotate(sn *replicator.Snapshot) error {
	if sn != nil {
		if err := jn.writeSnapshot(*sn); err != nil {
			return err
		}
	}
	payload, err := marshalFrame(replicator.Batch{State: &jn.content.state, Entries: jn.content.entries}, true, jn.content.snapshot)
	if err != nil {
		return err
	}
	if err := jn.startSegment(payload); err != nil {
		return err
	}
	names, err := jn.folder.Names()
	if err != nil {
		return err
	}
	return jn.removeObsolete(names)
}

// startSegment creates the next segment with a base frame.
func (jn *Journal) startSegment(payload []byte) error {
	if jn.out != nil {
		if err := jn.out.Close(); err != nil {
			return err
		}
		jn.out = nil
	}
	jn.segment++
	jn.current = segmentName(jn.segment)
	out, err := jn.folder.Create(jn.current)
	if err != nil {
		return err
	}
	jn.out = out
	if _, err := out.Write(appendFrame(nil, payload)); err != nil {
		return err
	}
	if err := out.Sync(); err != nil {
		return err
	}
	return jn.folder.Sync()
}

func (jn *Journal) writeSnapshot(sn replicator.Snapshot) error {
	payload, err := replicator.MarshalSnapshot(sn)
	if err != nil {
		return err
	}
	return jn.writeFile(snapshotName(sn.Index), appendFrame(nil, payload))
}

// writeFile writes a file under a temporary name, and renames it once it is synced, so that it is never seen incomplete.
func (jn *Journal) writeFile(name string, data []byte) error {
	fl, err := jn.folder.Create(temporaryName)
	if err != nil {
		return err
	}
	if _, err := fl.Write(data); err != nil {
		_ = fl.Close() // the first error is the relevant one
		return err
	}
	if err := syncClose(fl); err != nil {
		return err
	}
	if err := jn.folder.Rename(temporaryName, name); err != nil {
		return err
	}
	return jn.folder.Sync()
}
