package replica

import (
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/internal/delta"
)

// maxDeltaBytes bounds the delta in the head, because every watch returns the whole head.
const maxDeltaBytes = 2 << 10

// payload is a document in transfer: whole, or as a delta for receivers that have the previous
// document.
type payload struct {
	packed    []byte // the document, compressed; empty for none
	delta     []byte // the document, compressed against another; empty for none
	deltaFrom string // digest of that other document
}

// packDelta compresses a document against another one; nil if the result exceeds maxDeltaBytes.
func packDelta(document, from []byte) []byte {
	encoded, err := delta.Encode(document, from)
	if err != nil || len(encoded) > maxDeltaBytes {
		return nil
	}
	return encoded
}

// unpackDelta is the inverse of packDelta; it checks the digest.
func unpackDelta(encoded, from []byte, digest string) ([]byte, error) {
	document, err := delta.Decode(encoded, from, 4*contract.MaxDocumentBytes)
	if err != nil {
		return nil, fmt.Errorf("configuration delta: %w", err)
	}
	if digestOf(document) != digest {
		return nil, fmt.Errorf("configuration delta: %w", errDigest)
	}
	return document, nil
}

// decode returns the document of a payload and its compressed form. It uses the delta if that
// builds on the document in force.
func (c *activeConfig) decode(payload payload, digest string) (document, packed []byte, err error) {
	if !c.hasDigest(payload.deltaFrom) {
		document, err = unpack(payload.packed, digest)
		return document, payload.packed, err
	}
	from, err := unpack(c.packed, c.record.Digest)
	if err != nil {
		return nil, nil, err
	}
	document, err = unpackDelta(payload.delta, from, digest)
	if err != nil {
		return nil, nil, err
	}
	return document, pack(document), nil
}

// hasDigest reports whether the document in force has a digest; false for an empty one.
func (c *activeConfig) hasDigest(digest string) bool {
	return c != nil && digest != "" && c.record.Digest == digest
}
