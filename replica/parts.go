package replica

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
)

const (
	partBytes    = 256 << 10
	partAttempts = 4
)

var (
	packer      = newPacker()
	unpacker, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(contract.MaxDocumentBytes))
)

// newPacker returns an encoder that has encoded once: it makes its workers at the first use.
func newPacker() *zstd.Encoder {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1)) // fails on bad options only
	encoder.EncodeAll([]byte{0}, nil)
	return encoder
}

var errDigest = errors.New("digest mismatch")

func digestOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func pack(document []byte) []byte { return packer.EncodeAll(document, nil) }

// unpack decompresses a document and checks its digest.
func unpack(packed []byte, digest string) ([]byte, error) {
	document, err := unpacker.DecodeAll(packed, nil)
	if err != nil {
		return nil, fmt.Errorf("configuration document: %w", err)
	}
	if digestOf(document) != digest {
		return nil, fmt.Errorf("configuration document: %w", errDigest)
	}
	return document, nil
}

// writeParts stores a packed document. It is idempotent.
func writeParts(ctx context.Context, store infra.Store, packed []byte) ([]Part, error) {
	var parts []Part
	for len(packed) > 0 {
		n := min(len(packed), partBytes)
		part, err := writePart(ctx, store, packed[:n])
		if err != nil {
			return parts, err
		}
		parts = append(parts, part)
		packed = packed[n:]
	}
	return parts, nil
}

// writePart stores one part. A part that exists already is written again: its new version keeps
// whoever found it unreferenced from deleting it.
func writePart(ctx context.Context, store infra.Store, data []byte) (Part, error) {
	part := Part{Digest: digestOf(data)}
	var expect infra.Version
	var last error
	for range partAttempts {
		version, err := store.Swap(ctx, partPrefix+part.Digest, expect, data)
		if err == nil {
			part.Version = version
			return part, nil
		}
		last = err
		entry, err := store.Get(ctx, partPrefix+part.Digest)
		switch {
		case errors.Is(err, infra.ErrNotFound):
			expect = 0
		case err != nil:
			return part, fmt.Errorf("write part: %w", err)
		case errors.Is(last, infra.ErrOutcomeUnknown) && entry.Version != expect && bytes.Equal(entry.Value, data):
			part.Version = entry.Version
			return part, nil
		default:
			expect = entry.Version
		}
	}
	return part, fmt.Errorf("write part: %w", last)
}

// readParts returns a packed document.
func readParts(ctx context.Context, store infra.Store, parts []Part) ([]byte, error) {
	var packed []byte
	for _, part := range parts {
		entry, err := store.Get(ctx, partPrefix+part.Digest)
		if err != nil {
			return nil, fmt.Errorf("read part: %w", err)
		}
		packed = append(packed, entry.Value...)
	}
	return packed, nil
}

// readDocument returns the document of a change.
func readDocument(ctx context.Context, store infra.Store, record *Record) ([]byte, error) {
	packed, err := readParts(ctx, store, record.Parts)
	if err != nil {
		return nil, err
	}
	return unpack(packed, record.Digest)
}

// dropParts deletes parts that no change in kept refers to. A part that was written again since
// has another version and stays. Failures leave garbage, never a missing part.
func dropParts(ctx context.Context, store infra.Store, dropped, kept []Record) {
	used := make(map[string]bool)
	for _, record := range kept {
		for _, part := range record.Parts {
			used[part.Digest] = true
		}
	}
	for _, record := range dropped {
		for _, part := range record.Parts {
			if !used[part.Digest] {
				used[part.Digest] = true
				_ = store.Delete(ctx, partPrefix+part.Digest, part.Version)
			}
		}
	}
}
