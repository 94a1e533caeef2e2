// Package verdict defines what is known about whether a request ran at an endpoint, and the reasons for
// which the router refuses or retries requests.
package verdict

import (
	"encoding"
	"fmt"
)

// Verdict is what is known about the execution of a request. The zero value is MayHaveRun, so that a
// missing assignment never claims that the request did not run.
type Verdict uint8

const (
	// MayHaveRun means that at least one byte of the request left this process and no answer shows
	// whether an endpoint executed it.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint has executed the request or will execute it.
	NotRun
	// Ran means that an endpoint executed the request and its complete answer is known.
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

// UnmarshalText reads the wire form. It returns an error for any other text.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Worst combines the verdicts of two attempts of one request. It returns the one after which a
// repeat of the request is most likely to run it twice: Ran takes precedence over MayHaveRun, and
// MayHaveRun over NotRun.
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
