package replica

import (
	"fmt"

	"github.com/klauspost/compress/zstd"

	"plumbarrow.example/plumbarrow/contract"
)

const (
	// maxDeltaBytes bounds the delta in the head, which every watch returns whole.
	maxDeltaBytes = 2 << 10
	deltaDictID   = 1
)

// windowFor returns the least window in which a document can refer to all of another one.
func windowFor(document, from int) int {
	window := zstd.MinWindowSize
	for window < document+from && window < 4*contract.MaxDocumentBytes {
		window *= 2
	}
	return window
}

// payload is a document on its way: whole, or as a delta for those who hold the one before it.
type payload struct {
	packed    []byte // the document, compressed; empty for none
	delta     []byte // the document, compressed against another; empty for none
	deltaFrom string // digest of that other document
}

// packDelta compresses a document against another one; nil if the result would be long.
func packDelta(document, from []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(deltaDictID, from),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(windowFor(len(document), len(from))))
	if err != nil {
		return nil
	}
	defer encoder.Close()
	delta := encoder.EncodeAll(document, nil)
	if len(delta) > maxDeltaBytes {
		return nil
	}
	return delta
}

// unpackDelta is the inverse of packDelta; it checks the digest.
func unpackDelta(delta, from []byte, digest string) ([]byte, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(deltaDictID, from),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(4*contract.MaxDocumentBytes))
	if err != nil {
		return nil, fmt.Errorf("configuration delta: %w", err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(delta, nil)
	if err != nil {
		return nil, fmt.Errorf("configuration delta: %w", err)
	}
	if digestOf(document) != digest {
		return nil, fmt.Errorf("configuration delta: %w", errDigest)
	}
	return document, nil
}

// open returns the document of a payload and its compressed form.
func (f *inForce) open(payload payload, digest string) (document, packed []byte, err error) {
	if !f.holds(payload.deltaFrom) {
		document, err = unpack(payload.packed, digest)
		return document, payload.packed, err
	}
	from, err := unpack(f.packed, f.record.Digest)
	if err != nil {
		return nil, nil, err
	}
	document, err = unpackDelta(payload.delta, from, digest)
	if err != nil {
		return nil, nil, err
	}
	return document, pack(document), nil
}

// holds says whether the document in force is the one that a delta builds on.
func (f *inForce) holds(digest string) bool {
	return f != nil && digest != "" && f.record.Digest == digest
}
