package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/machine"
)

const hashBytes = 16 // length of the truncated SHA-256 in records

// recordKey identifies a record of a journal.
type recordKey [hashBytes]byte

// hashKey hashes the parts with their lengths, so that ("a", "bc") and ("ab", "c") differ.
func hashKey(parts ...string) recordKey {
	hash := sha256.New()
	for _, part := range parts {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(part)))
		hash.Write([]byte(part))
	}
	return recordKey(hash.Sum(nil)[:hashBytes])
}

// nonce identifies one attempt to take a key: 8 bytes of the hash of the claimer's incarnation, then
// an 8-byte sequence number within it.
type nonce [16]byte

func incarnationHash(incarnation machine.Incarnation) uint64 {
	return xxhash.Sum64String(string(incarnation))
}

// issuedBy reports whether the nonce was issued by the incarnation.
func (n nonce) issuedBy(incarnation machine.Incarnation) bool {
	return binary.BigEndian.Uint64(n[:8]) == incarnationHash(incarnation)
}

// nonceSource issues the nonces of one incarnation. Safe for concurrent use.
type nonceSource struct {
	prefix uint64
	last   atomic.Uint64
}

func newNonceSource(incarnation machine.Incarnation) *nonceSource {
	return &nonceSource{prefix: incarnationHash(incarnation)}
}

func (s *nonceSource) next() nonce {
	var n nonce
	binary.BigEndian.PutUint64(n[:8], s.prefix)
	binary.BigEndian.PutUint64(n[8:], s.last.Add(1))
	return n
}
