// Package delta compresses documents, optionally against an earlier version of the same document.
package delta

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

// dictionaryID is the id of the raw dictionary in the compressed frames. It must not be 0.
const dictionaryID = 1

// Encode compresses a document with zstd. The result can be decoded only with the same base; nil for none.
func Encode(document, base []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(window(len(document) + len(base))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode document: %w", err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(document, nil), nil
}

// ErrTooLarge means that the decoded document exceeds the bound.
var ErrTooLarge = errors.New("decoded document too large")

// Decode is the inverse of Encode for documents of at most maxBytes. The frame's checksum detects a wrong base.
func Decode(data, base []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(maxBytes))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode document: %w", err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(data, nil)
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded):
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, maxBytes)
	case err != nil:
		return nil, fmt.Errorf("decode document: %w", err)
	}
	return document, nil
}

// window returns the smallest window in bytes that spans a document and its base, so that the end of the document can refer to
// the start of the base.
func window(size int) int {
	window := zstd.MinWindowSize
	for window < size && window < zstd.MaxWindowSize {
		window *= 2
	}
	return window
}
