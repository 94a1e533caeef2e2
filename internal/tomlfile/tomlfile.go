// Package tomlfile decodes TOML strictly and finds the line of a field.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode decodes data into target, a pointer to a struct that may hold defaults. Unknown fields, wrong
// types and bad syntax are errors of the form file:line: field: problem, one per line.
func Decode(file string, data []byte, target any) error {
	return decode(file, toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields(), target)
}

// DecodeLenient is like Decode but ignores unknown fields. It is for files that a later version of the
// program may have written.
func DecodeLenient(file string, data []byte, target any) error {
	return decode(file, toml.NewDecoder(bytes.NewReader(data)), target)
}

func decode(file string, decoder *toml.Decoder, target any) error {
	err := decoder.Decode(target)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownFields(file, strict)
	}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		row, _ := decodeError.Position()
		problem := strings.TrimPrefix(decodeError.Error(), "toml: ")
		if key := strings.Join(decodeError.Key(), "."); key != "" {
			problem = key + ": " + problem
		}
		return fmt.Errorf("%s:%d: %s", file, row, problem)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

func unknownFields(file string, strict *toml.StrictMissingError) error {
	var lines []error
	for i := range strict.Errors {
		row, _ := strict.Errors[i].Position()
		lines = append(lines, fmt.Errorf("%s:%d: %s: unknown field", file, row, strings.Join(strict.Errors[i].Key(), ".")))
	}
	return errors.Join(lines...)
}

// Line returns the line number, from 1, of a field given as table.key, or 0 if data does not contain it.
// Data must be valid TOML.
func Line(data []byte, field string) int {
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		name, offset := keyOf(node)
		if node.Kind == unstable.Table {
			table = name + "."
			continue
		}
		if table+name == field {
			return bytes.Count(data[:offset], []byte{'\n'}) + 1
		}
	}
	return 0
}

func keyOf(node *unstable.Node) (name string, offset int) {
	var parts []string
	for key := node.Key(); key.Next(); {
		parts = append(parts, string(key.Node().Data))
		offset = int(key.Node().Raw.Offset)
	}
	return strings.Join(parts, "."), offset
}
