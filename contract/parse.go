package contract

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// MaxDocumentBytes is the largest document accepted.
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

// Parse reads a document from TOML and fills in defaults. file names it in errors. Unknown fields
// and wrong types are errors with file, line and field.
func Parse(file string, data []byte) (*Document, error) {
	if len(data) > MaxDocumentBytes {
		return nil, fmt.Errorf("%s: %d bytes, at most %d are allowed", file, len(data), MaxDocumentBytes)
	}
	document := &Document{}
	decoder := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := decoder.Decode(document); err != nil {
		return nil, parseError(file, err)
	}
	document.fillDefaults()
	return document, nil
}

func parseError(file string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		row, _ := strict.Errors[0].Position()
		return fmt.Errorf("%s:%d: unknown field %s", file, row, dotted(strict.Errors[0].Key()))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		return fmt.Errorf("%s:%d: %s: %s", file, row, dotted(decode.Key()), decode.Error())
	}
	return fmt.Errorf("%s: %w", file, err)
}

func dotted(key toml.Key) string {
	if len(key) == 0 {
		return "syntax"
	}
	var out bytes.Buffer
	for i, part := range key {
		if i > 0 {
			out.WriteByte('.')
		}
		out.WriteString(part)
	}
	return out.String()
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
