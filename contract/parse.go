package contract

import (
	"bytes"
	"errors"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2"
)

// MaxDocumentBytes is the largest accepted size of a document's TOML text.
const MaxDocumentBytes = 1 << 20

// Defaults of optional fields.
const (
	defaultMaxConcurrent   = 32
	defaultColdConcurrent  = 2
	defaultWarmAfter       = 8
	defaultDeadlineMS      = 10_000
	defaultProgressMS      = 10_000
	defaultLifetimeMinutes = 1_440
)

var defaultIdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}

// Parse decodes a document from TOML and fills in defaults; it does not validate the content. The
// document keeps data, which must not be modified afterwards. Errors (bad syntax, wrong types,
// unknown fields) are of type *ValidationError and name file.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, invalid(file, 0, "", "the document has %d bytes, at most %d are allowed", len(data), MaxDocumentBytes)
	}
	if offset := invalidUTF8(data); offset >= 0 {
		return nil, invalid(file, lineAt(data, offset), "", "not valid UTF-8")
	}
	document := &Document{file: file, source: data}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, parseError(file, err)
	}
	document.fillDefaults()
	return document, nil
}

// invalidUTF8 returns the offset of the first byte that is not UTF-8, or -1.
func invalidUTF8(data []byte) int {
	if utf8.Valid(data) {
		return -1
	}
	offset := 0
	for offset < len(data) {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return -1
}

func parseError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		result := &ValidationError{}
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			result.Findings = append(result.Findings, Finding{File: file, Line: row, Name: keyPath(strict.Errors[i].Key()), Problem: "unknown field"})
		}
		return result
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return invalid(file, row, keyPath(decode.Key()), "%s", strings.TrimPrefix(decode.Error(), "toml: "))
	}
	return invalid(file, 0, "", "%s", strings.TrimPrefix(err.Error(), "toml: "))
}

func keyPath(key toml.Key) string {
	return strings.Join(key, ".")
}

func (d *Document) fillDefaults() {
	for i := range d.Models {
		for j := range d.Models[i].Versions {
			version := &d.Models[i].Versions[j]
			if version.State == "" {
				version.State = VersionActive
			}
			if version.Weight == nil {
				one := 1.0
				version.Weight = &one
			}
		}
	}
	for i := range d.Pools {
		pool := &d.Pools[i]
		setDefault(&pool.MaxConcurrent, defaultMaxConcurrent)
		setDefault(&pool.ColdConcurrent, defaultColdConcurrent)
		setDefault(&pool.WarmAfter, defaultWarmAfter)
		setDefault(&pool.Kind, PoolEngine)
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		setDefault(&route.DeadlineMS, defaultDeadlineMS)
		setDefault(&route.ProgressMS, defaultProgressMS)
		setDefault(&route.OnWithdrawn, WithdrawnRefuse)
		setDefault(&route.WhenUnconfirmed, UnconfirmedServe)
		if route.IdempotentMethods == nil {
			route.IdempotentMethods = defaultIdempotentMethods
		}
	}
	setDefault(&d.Sessions.LifetimeMinutes, defaultLifetimeMinutes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
