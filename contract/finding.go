package contract

import (
	"bytes"
	"fmt"
	"strings"
)

// Finding is one validation error of a document.
type Finding struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"` // from 1; 0 if the finding belongs to no line
	// Name is the table, the entry's name and the field, such as: routes "assistant": pools.
	Name    string `json:"name,omitempty"`
	Problem string `json:"problem"`
	// Unservable is set if a route or pool has no usable version, or no version that reaches the
	// quality target. A restrictive order may cause this; all other findings make a document unusable.
	Unservable bool `json:"unservable,omitempty"`
}

var _ fmt.Stringer = Finding{}

// String returns the form file:line: name: problem.
func (f Finding) String() string {
	var out strings.Builder
	out.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&out, ":%d", f.Line)
	}
	if out.Len() > 0 {
		out.WriteString(": ")
	}
	if f.Name != "" {
		out.WriteString(f.Name + ": ")
	}
	out.WriteString(f.Problem)
	return strings.ReplaceAll(out.String(), "\n", " ")
}

// ValidationError is the error for a document that fails parsing or validation. It has at least one finding.
type ValidationError struct {
	Findings []Finding
}

var _ error = (*ValidationError)(nil)

// Error returns one line per finding.
func (i *ValidationError) Error() string {
	lines := make([]string, len(i.Findings))
	for n, finding := range i.Findings {
		lines[n] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Fatal returns the findings that make the document unusable.
func (i *ValidationError) Fatal() []Finding {
	var broken []Finding
	for _, finding := range i.Findings {
		if !finding.Unservable {
			broken = append(broken, finding)
		}
	}
	return broken
}

func invalid(file string, line int, name, format string, args ...any) *ValidationError {
	return &ValidationError{Findings: []Finding{{File: file, Line: line, Name: name, Problem: fmt.Sprintf(format, args...)}}}
}

func lineAt(data []byte, offset int) int { return bytes.Count(data[:offset], []byte{'\n'}) + 1 }
