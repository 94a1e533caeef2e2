package replica

import (
	"encoding"
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
)

// Outcome is what is known of a proposed change. The zero value is Unknown.
type Outcome uint8

// Outcomes.
const (
	// Unknown: the store may have accepted the change. Proposing it again under the same change
	// id is safe and tells.
	Unknown Outcome = iota
	// Accepted: the change is the head or was, and all instances will put it into force.
	Accepted
	// Refused: the change was not accepted and will not be.
	Refused
)

var outcomeNames = [...]string{Unknown: "unknown", Accepted: "accepted", Refused: "refused"}

var (
	_ fmt.Stringer             = Outcome(0)
	_ encoding.TextMarshaler   = Outcome(0)
	_ encoding.TextUnmarshaler = (*Outcome)(nil)
)

// String returns the wire form.
func (o Outcome) String() string { return outcomeNames[o] }

// MarshalText writes the wire form.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the wire form and fails on any other text.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("unknown outcome %q", text)
}

// Reason says why a change was refused or its outcome is unknown.
type Reason string

// Reasons.
const (
	ReasonInvalid     Reason = "invalid"           // see Findings
	ReasonConflict    Reason = "conflict"          // see Conflicts
	ReasonBase        Reason = "base_unknown"      // the base revision is not among the last changes
	ReasonLowerHead   Reason = "lower_head"        // the store's head is below the revision in force
	ReasonUnavailable Reason = "store_unavailable" // nothing was written, or nobody can tell
	ReasonBusy        Reason = "busy"              // lost every race
)

// Result is the answer to a proposed change.
type Result struct {
	Outcome  Outcome           `json:"outcome"`
	Revision contract.Revision `json:"revision,omitempty"` // of an accepted change
	// Rebased says that others' changes came in between and were kept.
	Rebased   bool               `json:"rebased,omitempty"`
	Reason    Reason             `json:"reason,omitempty"`
	Detail    string             `json:"detail,omitempty"`
	Conflicts []contract.Ref     `json:"conflicts,omitempty"`
	Findings  []contract.Finding `json:"findings,omitempty"`
}

func refused(reason Reason, format string, args ...any) *Result {
	return &Result{Outcome: Refused, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
