package contract

import (
	"bytes"
	"fmt"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"` // from 1; 0 if the document has no such line
	// Name says where: a table, an entry's name and a field, such as routes "assistant": pools.
	Name    string `json:"name,omitempty"`
	Problem string `json:"problem"`
	// Unservable findings are about work that nothing could serve. An order that only takes away
	// may cause them; all other findings make a document unusable.
	Unservable bool `json:"unservable,omitempty"`
}

var _ fmt.Stringer = Finding{}

// String returns file:line: name: problem.
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

// Invalid is the error of a document that can't be put into force. It has at least one finding.
type Invalid struct {
	Findings []Finding
}

var _ error = (*Invalid)(nil)

// Error returns one line a finding.
func (i *Invalid) Error() string {
	lines := make([]string, len(i.Findings))
	for n, finding := range i.Findings {
		lines[n] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Broken returns the findings that make the document unusable.
func (i *Invalid) Broken() []Finding {
	var broken []Finding
	for _, finding := range i.Findings {
		if !finding.Unservable {
			broken = append(broken, finding)
		}
	}
	return broken
}

func invalid(file string, line int, name, format string, args ...any) *Invalid {
	return &Invalid{Findings: []Finding{{File: file, Line: line, Name: name, Problem: fmt.Sprintf(format, args...)}}}
}

func lineAt(data []byte, offset int) int { return bytes.Count(data[:offset], []byte{'\n'}) + 1 }
