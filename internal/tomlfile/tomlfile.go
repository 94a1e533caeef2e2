// Package tomlfile reads TOML strictly and says where in a file a field stands.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode reads data into target, a pointer to a struct with defaults filled in. Unknown fields,
// wrong types and bad syntax are errors of the form file:line: field: problem, one a line.
func Decode(file string, data []byte, target any) error {
	return decode(file, toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields(), target)
}

// DecodeLenient is Decode for files that may hold fields of later versions: those are ignored.
func DecodeLenient(file string, data []byte, target any) error {
	return decode(file, toml.NewDecoder(bytes.NewReader(data)), target)
}

func decode(file string, decoder *toml.Decoder, target any) error {
	err := decoder.Decode(target)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return unknownFields(file, strict)
	}
	var fault *toml.DecodeError
	if errors.As(err, &fault) {
		row, _ := fault.Position()
		problem := strings.TrimPrefix(fault.Error(), "toml: ")
		if key := strings.Join(fault.Key(), "."); key != "" {
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

// Line returns the line, from 1, on which the field stands, given as table.key; 0 if it stands
// nowhere. Data must have been decoded before.
func Line(data []byte, field string) int {
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		node := parser.Expression()
		name, offset := nameOf(node)
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

func nameOf(node *unstable.Node) (name string, offset int) {
	var parts []string
	for key := node.Key(); key.Next(); {
		parts = append(parts, string(key.Node().Data))
		offset = int(key.Node().Raw.Offset)
	}
	return strings.Join(parts, "."), offset
}
