package journaler

import (
	"crypto/rand"
	"fmt"
	"slices"
	"strings"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

const (
	identityName   = "identity"
	formedName     = "formed" // exists once a first save is durable
	temporaryName  = "temporary"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
	numberFormat   = "%s%020d"
)

func segmentName(number uint64) string { return fmt.Sprintf(numberFormat, segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf(numberFormat, snapshotPrefix, index) }

func (jn *Journal) openIdentity(names []string) error {
	if slices.Contains(names, identityName) {
		data, err := jn.folder.Read(identityName)
		if err != nil {
			return err
		}
		payload, ok := readFrame(data)
		if !ok {
			return &ErrCorrupt{File: identityName, Detail: "checksum mismatch"}
		}
		jn.identity = string(payload)
		return nil
	}
	if slices.ContainsFunc(names, func(nm string) bool { return nm != temporaryName }) {
		return &ErrCorrupt{File: identityName, Detail: "missing, although the folder holds other files"}
	}
	jn.identity = rand.Text()
	return jn.writeFile(identityName, appendFrame(nil, []byte(jn.identity)))
}

// openSegments reads the newest segment that has a valid base frame. A newer one without any valid
// frame is left over from a save that was interrupted by a crash before it returned.
func (jn *Journal) openSegments(names []string) error {
	for _, name := range slices.Backward(names) {
		number, ok := segmentNumber(name)
		if !ok {
			continue
		}
		jn.segment = max(jn.segment, number)
		found, err := jn.openSegment(name)
		if err != nil {
			return err
		}
		if !found {
			continue
		}
		jn.current = name
		jn.out, err = jn.folder.Append(name)
		return err
	}
	if slices.Contains(names, formedName) {
		return &ErrCorrupt{Detail: "all segments are missing"}
	}
	return nil
}

func segmentNumber(name string) (uint64, bool) {
	if !strings.HasPrefix(name, segmentPrefix) {
		return 0, false
	}
	var number uint64
	_, err := fmt.Sscanf(name[len(segmentPrefix):], "%d", &number)
	return number, err == nil
}

func (jn *Journal) openSegment(name string) (bool, error) {
	data, err := jn.folder.Read(name)
	if err != nil {
		return false, err
	}
	ct, end, err := replay(name, data)
	if err != nil || end == 0 {
		return false, err
	}
	jn.content = ct
	if end < len(data) {
		return true, jn.folder.Truncate(name, int64(end))
	}
	return true, nil
}

// replay returns the content of a segment and the offset at which its last valid frame ends.
func replay(name string, data []byte) (logContent, int, error) {
	var ct logContent
	payloads, end := readFrames(data)
	if containsFrame(data[end:]) {
		return ct, 0, &ErrCorrupt{File: name, Offset: end, Detail: "damaged frame is followed by valid frames"}
	}
	for ix, payload := range payloads {
		fr, err := unmarshalFrame(payload)
		if err == nil && fr.base != (ix == 0) {
			err = fmt.Errorf("frame %d: exactly the first frame must be a base frame", ix)
		}
		if err == nil && fr.base {
			ct.snapshot = fr.snapshot
		}
		if err == nil {
			err = ct.apply(fr.batch)
		}
		if err != nil {
			return ct, 0, &ErrCorrupt{File: name, Offset: end, Detail: err.Error()}
		}
	}
	return ct, end, nil
}

func (jn *Journal) openSnapshot() error {
	if jn.content.snapshot == 0 {
		return nil
	}
	name := snapshotName(jn.content.snapshot)
	data, err := jn.folder.Read(name)
	if err != nil {
		return &ErrCorrupt{File: name, Detail: err.Error()}
	}
	payload, ok := readFrame(data)
	if !ok {
		return &ErrCorrupt{File: name, Detail: "checksum mismatch"}
	}
	sn, err := replicator.UnmarshalSnapshot(payload)
	if err != nil || sn.Index != jn.content.snapshot {
		return &ErrCorrupt{File: name, Detail: fmt.Sprintf("it holds the snapshot at index %d: %v", sn.Index, err)}
	}
	jn.snapshot = sn
	return nil
}

// removeObsolete removes the files that the newest segment does not need. Before, it creates the file that marks the journal as formed.
func (jn *Journal) removeObsolete(names []string) error {
	if jn.out == nil {
		return nil
	}
	if !slices.Contains(names, formedName) {
		if err := jn.writeFile(formedName, nil); err != nil {
			return err
		}
	}
	keep := []string{identityName, formedName, jn.current, snapshotName(jn.content.snapshot)}
	for _, name := range names {
		if slices.Contains(keep, name) {
			continue
		}
		if err := jn.folder.Remove(name); err != nil {
			return err
		}
	}
	return nil
}
