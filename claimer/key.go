package claimer

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// MaxKeyLength is the maximum length of an idempotency key in bytes.
const MaxKeyLength = 200

// Key identifies one claim: the idempotency key of a caller within its workspace.
type Key struct {
	Workspace gypsumhoist.Workspace
	// Text is the value of the Idempotency-Key header; see ParseKey for what is allowed.
	Text string
}

// ParseKey checks the value of an Idempotency-Key header.
// It must be 1 to MaxKeyLength bytes of visible ASCII without commas.
func ParseKey(ws gypsumhoist.Workspace, text string) (Key, error) {
	if text == "" || len(text) > MaxKeyLength {
		return Key{}, fmt.Errorf("an idempotency key has 1 to %d bytes, not %d", MaxKeyLength, len(text))
	}
	for _, by := range []byte(text) {
		if by <= ' ' || by > '~' || by == ',' {
			return Key{}, fmt.Errorf("an idempotency key is visible ASCII without commas, not byte %#02x", by)
		}
	}
	return Key{Workspace: ws, Text: text}, nil
}

// Time returns the time in a UUIDv7 key, which is that of the caller's clock in milliseconds.
// A failure domain prefix is ignored. The second result is false for a key without a time.
func (ky Key) Time() (time.Time, bool) {
	_, text, found := strings.Cut(ky.Text, "/")
	if !found {
		text = ky.Text
	}
	return uuidTime(text)
}

const (
	uuidLength     = 36
	uuidTimeLength = 13 // eight hexadecimal digits, a dash and four more digits
)

// uuidTime returns the time in a UUID of version 7 and the RFC 9562 variant.
func uuidTime(text string) (time.Time, bool) {
	if len(text) != uuidLength || text[14] != '7' || !strings.ContainsRune("89abAB", rune(text[19])) {
		return time.Time{}, false
	}
	for _, at := range []int{8, 13, 18, 23} {
		if text[at] != '-' {
			return time.Time{}, false
		}
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
	if err != nil || len(raw) != 16 {
		return time.Time{}, false
	}
	millis := int64(binary.BigEndian.Uint64(raw) >> 16)
	return time.UnixMilli(millis), true
}

// Token identifies one attempt to claim a key. The entry node chooses it at random.
// A claim that is sent again with the same token is the same claim.
type Token [16]byte

// NewToken returns a random token.
func NewToken() Token {
	var tk Token
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(tk[:])
	return tk
}

// Fingerprint distinguishes requests that carry the same key.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a request's parts, such as method, target and body.
// The boundaries of the parts count: ("ab", "c") differs from ("a", "bc").
func FingerprintOf(parts ...string) Fingerprint {
	sum := sha256.New()
	for _, pt := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(pt)))
		sum.Write(size[:])
		sum.Write([]byte(pt))
	}
	return Fingerprint(sum.Sum(nil))
}
