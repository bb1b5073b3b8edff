package registrar

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// KeyID names a granted key without giving it away. It stands readable in the key itself.
type KeyID string

// KeyHash is the SHA-256 of a whole key. A key holds 256 random bits, so the hash needs no salt.
type KeyHash [sha256.Size]byte

// Shape of a key: "ghk_", 12 hex digits of its id, "_", 43 characters of base64url.
const (
	keyPrefix     = "ghk_"
	keyIDBytes    = 6
	keyIDLength   = 2 * keyIDBytes
	keySecretSize = 32 // bytes, 256 bits
	// KeyLength is the length in bytes of every key that MintKey makes.
	KeyLength = len(keyPrefix) + keyIDLength + 1 + 43
	// KeyLengthMax bounds keys that were made elsewhere, in bytes.
	KeyLengthMax = 256
)

// Grant is what a valid key stands for.
type Grant struct {
	Workspace gypsumhoist.Workspace
	KeyID     KeyID
}

// KeyGrant is a granted key as the table stores it: the hash, never the key.
type KeyGrant struct {
	Grant
	Hash KeyHash
	// Granted is the wall clock of the leader that took the grant, for people only.
	Granted time.Time
}

// MintKey returns a new key for a workspace and the grant to store.
// The key is shown once and kept nowhere. rd gives the random bytes (crypto/rand.Reader).
func MintKey(ws gypsumhoist.Workspace, rd io.Reader) (string, KeyGrant, error) {
	var raw [keyIDBytes + keySecretSize]byte
	if _, err := io.ReadFull(rd, raw[:]); err != nil {
		return "", KeyGrant{}, fmt.Errorf("no random bytes for a key: %w", err)
	}
	id := KeyID(hex.EncodeToString(raw[:keyIDBytes]))
	key := keyPrefix + string(id) + "_" + base64.RawURLEncoding.EncodeToString(raw[keyIDBytes:])
	return key, KeyGrant{Grant: Grant{Workspace: ws, KeyID: id}, Hash: sha256.Sum256([]byte(key))}, nil
}

// check returns an error for a grant that no table may hold.
func (gr KeyGrant) check(hash []byte) error {
	switch {
	case !nameFine(string(gr.Workspace)):
		return fmt.Errorf("workspace %q is not allowed; allowed: %s", gr.Workspace, nameAllowed)
	case !gr.KeyID.Fine():
		return fmt.Errorf("key id %q is not allowed; allowed: %d hex digits in lower case", gr.KeyID, keyIDLength)
	case len(hash) != sha256.Size:
		return fmt.Errorf("key hash of %d bytes is not allowed; allowed: the %d bytes of a SHA-256", len(hash), sha256.Size)
	default:
		return nil
	}
}

// Fine reports whether the id has the shape that MintKey gives.
func (id KeyID) Fine() bool {
	return len(id) == keyIDLength && strings.Trim(string(id), "0123456789abcdef") == ""
}

// hashKey returns the hash of a key; the second result is false for what can't be a key.
func hashKey(key string) (KeyHash, bool) {
	if key == "" || len(key) > KeyLengthMax {
		return KeyHash{}, false
	}
	var buf [KeyLengthMax]byte
	copy(buf[:], key)
	return sha256.Sum256(buf[:len(key)]), true
}

// ForeignKey returns the grant of a key that was made elsewhere. Its id comes from its hash, so that the same key
// has the same id wherever it is taken in. The key should hold 128 random bits or more, as it is hashed without salt.
// The second result is false for an empty key and for one above KeyLengthMax.
func ForeignKey(ws gypsumhoist.Workspace, key string) (KeyGrant, bool) {
	hash, ok := hashKey(key)
	if !ok {
		return KeyGrant{}, false
	}
	return hashedGrant(ws, hash), true
}

// hashedGrant returns the grant of a key of which only the hash is known.
func hashedGrant(ws gypsumhoist.Workspace, hash KeyHash) KeyGrant {
	id := KeyID(hex.EncodeToString(hash[:keyIDBytes]))
	return KeyGrant{Grant: Grant{Workspace: ws, KeyID: id}, Hash: hash}
}
