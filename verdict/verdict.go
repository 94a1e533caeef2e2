// Package verdict says whether a request may have run at an endpoint, and names every reason for
// which the router refuses or retries one.
package verdict

import (
	"encoding"
	"fmt"
)

// Verdict says what is known about the execution of a request. The zero value is MayHaveRun, so
// that a forgotten assignment never claims that nothing ran.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request left this process and no complete
	// answer came back.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint has executed the request or will execute it.
	NotRun
	// Ran means that an endpoint executed the request and its whole answer is known.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

var (
	_ fmt.Stringer             = Verdict(0)
	_ encoding.TextMarshaler   = Verdict(0)
	_ encoding.TextUnmarshaler = (*Verdict)(nil)
)

// String returns the wire form: not_run, may_have_run or ran.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return verdictNames[MayHaveRun]
}

// MarshalText writes the wire form.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads the wire form and fails on any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Worst combines the verdicts of two attempts of one request: Ran outranks MayHaveRun, which
// outranks NotRun.
func Worst(a, b Verdict) Verdict {
	switch {
	case a == Ran || b == Ran:
		return Ran
	case a == MayHaveRun || b == MayHaveRun:
		return MayHaveRun
	default:
		return NotRun
	}
}
