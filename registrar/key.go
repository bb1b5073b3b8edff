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

// KeyID is the public identifier of a key. It is not secret and part of the text of keys from MintKey.
type KeyID string

// KeyHash is the SHA-256 of a whole key. A key holds 256 random bits, so the hash needs no salt.
type KeyHash [sha256.Size]byte

// Format of a key: "ghk_", its id as 12 hex digits, "_" and 43 characters of base64url.
const (
	keyPrefix      = "ghk_"
	keyIDBytes     = 6
	keyIDLength    = 2 * keyIDBytes
	keySecretBytes = 32 // bytes, 256 bits
	// KeyLength is the length in bytes of a key from MintKey.
	KeyLength = len(keyPrefix) + keyIDLength + 1 + 43
	// KeyLengthMax is the maximum length in bytes of a key generated elsewhere.
	KeyLengthMax = 256
)

// Grant is the identity that a valid key authenticates.
type Grant struct {
	Workspace gypsumhoist.Workspace
	KeyID     KeyID
}

// KeyGrant is a granted key as the table stores it: the hash, never the key.
type KeyGrant struct {
	Grant
	Hash KeyHash
	// Granted is when the key was granted, by the wall clock of the leader that proposed it. It is informational.
	Granted time.Time
}

// MintKey generates a key for a workspace and returns it with the grant to store.
// The key itself is never stored. rd supplies the random bytes (crypto/rand.Reader).
func MintKey(ws gypsumhoist.Workspace, rd io.Reader) (string, KeyGrant, error) {
	var raw [keyIDBytes + keySecretBytes]byte
	if _, err := io.ReadFull(rd, raw[:]); err != nil {
		return "", KeyGrant{}, fmt.Errorf("read random bytes for a key: %w", err)
	}
	id := KeyID(hex.EncodeToString(raw[:keyIDBytes]))
	key := keyPrefix + string(id) + "_" + base64.RawURLEncoding.EncodeToString(raw[keyIDBytes:])
	return key, KeyGrant{Grant: Grant{Workspace: ws, KeyID: id}, Hash: sha256.Sum256([]byte(key))}, nil
}

// check validates the grant and the length of its hash.
func (gr KeyGrant) check(hash []byte) error {
	switch {
	case !validName(string(gr.Workspace)):
		return fmt.Errorf("workspace %q is not allowed; allowed: %s", gr.Workspace, nameAllowed)
	case !gr.KeyID.Valid():
		return fmt.Errorf("key id %q is not allowed; allowed: %d hex digits in lower case", gr.KeyID, keyIDLength)
	case len(hash) != sha256.Size:
		return fmt.Errorf("key hash of %d bytes is not allowed; allowed: the %d bytes of a SHA-256", len(hash), sha256.Size)
	default:
		return nil
	}
}

// Valid reports whether the id has the format of ids from MintKey.
func (id KeyID) Valid() bool {
	return len(id) == keyIDLength && strings.Trim(string(id), "0123456789abcdef") == ""
}

// hashKey returns the hash of a key; the second result is false if the key is empty or longer than KeyLengthMax.
func hashKey(key string) (KeyHash, bool) {
	if key == "" || len(key) > KeyLengthMax {
		return KeyHash{}, false
	}
	var buf [KeyLengthMax]byte
	copy(buf[:], key)
	return sha256.Sum256(buf[:len(key)]), true
}

// ExternalKeyGrant returns the grant of a key generated elsewhere. The id is derived from the key's hash, so that
// a key gets the same id everywhere. The key should have at least 128 random bits, as it is hashed without salt.
// The second result is false if the key is empty or longer than KeyLengthMax.
func ExternalKeyGrant(ws gypsumhoist.Workspace, key string) (KeyGrant, bool) {
	hash, ok := hashKey(key)
	if !ok {
		return KeyGrant{}, false
	}
	return hashedGrant(ws, hash), true
}

// hashedGrant returns the grant of a key that is known only by its hash.
func hashedGrant(ws gypsumhoist.Workspace, hash KeyHash) KeyGrant {
	id := KeyID(hex.EncodeToString(hash[:keyIDBytes]))
	return KeyGrant{Grant: Grant{Workspace: ws, KeyID: id}, Hash: hash}
}
