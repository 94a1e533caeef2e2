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
	maxPartBytes = 256 << 10
	partAttempts = 4
)

var (
	packer      = newPacker()
	unpacker, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(contract.MaxDocumentBytes))
)

// newPacker returns an encoder that has encoded once, because an encoder creates its workers at the
// first use.
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
		n := min(len(packed), maxPartBytes)
		part, err := writePart(ctx, store, packed[:n])
		if err != nil {
			return parts, err
		}
		parts = append(parts, part)
		packed = packed[n:]
	}
	return parts, nil
}

// writePart stores one part. A part that already exists is written again: its new version keeps a
// sweep that found it unreferenced from deleting it.
func writePart(ctx context.Context, store infra.Store, data []byte) (Part, error) {
	part := Part{Digest: digestOf(data)}
	var expected infra.StoreVersion
	var swapErr error
	for range partAttempts {
		version, err := store.CompareAndSwap(ctx, partPrefix+part.Digest, expected, data)
		if err == nil {
			part.Version = version
			return part, nil
		}
		swapErr = err
		entry, err := store.Get(ctx, partPrefix+part.Digest)
		switch {
		case errors.Is(err, infra.ErrNotFound):
			expected = 0
		case err != nil:
			return part, fmt.Errorf("write part: %w", err)
		case errors.Is(swapErr, infra.ErrOutcomeUnknown) && entry.Version != expected && bytes.Equal(entry.Value, data):
			part.Version = entry.Version
			return part, nil
		default:
			expected = entry.Version
		}
	}
	return part, fmt.Errorf("write part: %w", swapErr)
}

// readParts returns the packed document that consists of the parts.
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

// dropParts deletes the parts of the dropped records that no record in kept refers to. A part that
// has been written again since has another version and is not deleted. A failed deletion leaves
// garbage for the sweeper, never a missing part.
func dropParts(ctx context.Context, store infra.Store, dropped, kept []Record) {
	handled := make(map[string]bool)
	for _, record := range kept {
		for _, part := range record.Parts {
			handled[part.Digest] = true
		}
	}
	for _, record := range dropped {
		for _, part := range record.Parts {
			if !handled[part.Digest] {
				handled[part.Digest] = true
				_ = store.Delete(ctx, partPrefix+part.Digest, part.Version)
			}
		}
	}
}
