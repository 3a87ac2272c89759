// Package keyer generates access keys, hashes them and compares their hashes.
//
// A key is a long random text that only its holder knows. The rest of the system
// stores only its SHA-256 hash. A fast hash is sufficient, because a random key
// cannot be found by a dictionary attack. Records contain only a fingerprint of
// the hash.
package keyer

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/dotterelrill/dotterelrill/modeller"
)

// keyBytes is the length of a generated key before hexadecimal encoding.
const keyBytes = 32

// Generate returns a new random key.
func Generate() string {
	var raw [keyBytes]byte
	// Read never returns an error: the runtime ends the process instead.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Hash returns the hash of a key, or an empty hash for an empty key.
func Hash(key string) modeller.KeyHash {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return modeller.KeyHash(hex.EncodeToString(sum[:]))
}

// Equal compares two hashes in constant time, so that the time taken does not
// reveal where they differ.
func Equal(left, right modeller.KeyHash) bool {
	return subtle.ConstantTimeCompare([]byte(left), []byte(right)) == 1
}

// Parse parses a hash in the hexadecimal form used in settings and templates.
func Parse(text string) (modeller.KeyHash, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return "", eris.Errorf("a key hash must have %d hexadecimal digits", 2*sha256.Size)
	}
	return modeller.KeyHash(strings.ToLower(text)), nil
}

// Bearer returns the key in an Authorization header, or an empty string if there
// is none.
func Bearer(header string) string {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}
