package quarantiner

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"net/http"
	"strings"
	"sync"

	"github.com/gypsumhoist/gypsumhoist"
)

// PrefixMax is the maximum number of bytes of a body that a fingerprint covers.
const PrefixMax = 16 << 10

const (
	sumSize = 16
	textMax = 64 // bytes of each descriptive text in rumors and lists
)

// fingerprintHeaders are the headers that a fingerprint covers.
// Headers that change when a request is resent, such as dates and trace ids, are left out.
var fingerprintHeaders = []string{
	"Accept", "Accept-Encoding", "Accept-Language", "Content-Encoding", "Content-Type", "Range",
}

// Head is a hash of all parts of a request but its body.
type Head [sumSize]byte

// Sum is a hash of the first bytes of a body.
type Sum [sumSize]byte

// SuspectID identifies a suspect: a hash of its head and of the part of its body that had been sent
// when the upstream died.
type SuspectID [sumSize]byte

// String returns the id in hexadecimal digits.
func (id SuspectID) String() string { return hex.EncodeToString(id[:]) }

// RequestInfo describes a request to operators.
type RequestInfo struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Method    string
	Target    string // cut to 64 bytes
}

// Fingerprint identifies one request and is extended as its body is sent.
// It is an io.Writer for the body bytes. It is safe for concurrent use.
type Fingerprint struct {
	head    Head
	request RequestInfo

	mu     sync.Mutex
	body   hash.Hash // nil before the first byte
	hashed int       // bytes of body
}

// NewFingerprint returns the fingerprint of a request of which no body has been sent yet.
// The target is path and query. length is the length of the body, negative if not known.
// header must not hold the caller's key under a name in fingerprintHeaders; nil counts as empty.
func NewFingerprint(info RequestInfo, header http.Header, length int64) *Fingerprint {
	var storage [512]byte
	buf := storage[:0]
	buf = appendPart(buf, string(info.Workspace))
	buf = appendPart(buf, info.Route)
	buf = appendPart(buf, info.Method)
	buf = appendPart(buf, info.Target)
	buf = binary.AppendVarint(buf, length)
	for _, name := range fingerprintHeaders {
		for _, value := range header[name] {
			buf = appendPart(buf, value)
		}
		buf = append(buf, 0)
	}
	sum := sha256.Sum256(buf)
	if len(info.Target) > textMax {
		// A part of a string keeps the whole one in memory.
		info.Target = strings.Clone(info.Target[:textMax])
	}
	return &Fingerprint{head: Head(sum[:sumSize]), request: info}
}

// appendPart appends a part with its length in front, so that different parts never give the same bytes.
func appendPart(buf []byte, part string) []byte {
	buf = binary.AppendUvarint(buf, uint64(len(part))+1)
	return append(buf, part...)
}

// Head returns the hash of all parts but the body.
func (fp *Fingerprint) Head() Head { return fp.head }

// Write adds body bytes that are about to be sent to the upstream. It never fails.
func (fp *Fingerprint) Write(bytes []byte) (int, error) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if part := bytes[:min(len(bytes), PrefixMax-fp.hashed)]; len(part) > 0 {
		if fp.body == nil {
			fp.body = sha256.New()
		}
		fp.body.Write(part)
		fp.hashed += len(part)
	}
	return len(bytes), nil
}

// sent returns how many bytes of the body have been hashed, up to PrefixMax, and their hash.
func (fp *Fingerprint) sent() (int, Sum) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.body == nil {
		return 0, emptySum
	}
	return fp.hashed, Sum(fp.body.Sum(nil)[:sumSize])
}

// emptySum is the hash of an empty body.
var emptySum = sumOf(nil)

func sumOf(prefix []byte) Sum {
	sum := sha256.Sum256(prefix)
	return Sum(sum[:sumSize])
}

func suspectID(head Head, prefix int, sum Sum) SuspectID {
	var buf [2*sumSize + 4]byte
	copy(buf[:], head[:])
	copy(buf[sumSize:], sum[:])
	binary.BigEndian.PutUint32(buf[2*sumSize:], uint32(prefix))
	all := sha256.Sum256(buf[:])
	return SuspectID(all[:sumSize])
}
