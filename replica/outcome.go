package replica

import (
	"encoding"
	"fmt"

	"plumbarrow.example/plumbarrow/contract"
)

// Outcome is whether a proposed change was accepted. The zero value is OutcomeUnknown.
type Outcome uint8

// Outcomes.
const (
	// OutcomeUnknown: the store may have accepted the change. Proposing it again with the same change id
	// is safe and resolves the outcome.
	OutcomeUnknown Outcome = iota
	// OutcomeAccepted: the store's head contains the change or has contained it, and all instances
	// will put it or a later one into force.
	OutcomeAccepted
	// OutcomeRefused: the change was not accepted and will not be.
	OutcomeRefused
)

var outcomeNames = [...]string{OutcomeUnknown: "unknown", OutcomeAccepted: "accepted", OutcomeRefused: "refused"}

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

// Reason is why a change was refused or its outcome is unknown.
type Reason string

// Reasons.
const (
	ReasonInvalid     Reason = "invalid"           // see Findings
	ReasonConflict    Reason = "conflict"          // see Conflicts
	ReasonBase        Reason = "base_unknown"      // the base revision is not among the last changes
	ReasonLowerHead   Reason = "lower_head"        // the store's head is below the revision in force
	ReasonUnavailable Reason = "store_unavailable" // the store did not answer; with OutcomeUnknown the change may have been written
	ReasonBusy        Reason = "busy"              // every attempt lost against a concurrent change
)

// Result is the answer to a proposed change.
type Result struct {
	Outcome  Outcome           `json:"outcome"`
	Revision contract.Revision `json:"revision,omitempty"` // of an accepted change
	// Rebased reports that others' changes since the base were kept.
	Rebased   bool                `json:"rebased,omitempty"`
	Reason    Reason              `json:"reason,omitempty"`
	Detail    string              `json:"detail,omitempty"` // for operators; "no change" if the document was already in place
	Conflicts []contract.EntryRef `json:"conflicts,omitempty"`
	Findings  []contract.Finding  `json:"findings,omitempty"`
}

func refused(reason Reason, format string, args ...any) *Result {
	return &Result{Outcome: OutcomeRefused, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
