package replica

import (
	"errors"

	"plumbarrow.example/plumbarrow/contract"
)

// validate refuses a document with broken entries. Other findings, such as a route that nothing can
// serve, are refused only if they are not in the current document as well, so that a withdrawn
// version does not block unrelated changes. Restrictive changes may add such findings.
func (c *change) validate(document, current *contract.Document) *Result {
	_, err := contract.Build(document, 0)
	var invalid *contract.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	if len(invalid.Fatal()) > 0 {
		return invalidResult(err)
	}
	if c.restrictive {
		return nil
	}
	known := make(map[string]bool)
	if _, err := contract.Build(current, 0); err != nil {
		var currentInvalid *contract.ValidationError
		if errors.As(err, &currentInvalid) {
			for _, finding := range currentInvalid.Findings {
				known[finding.Name+finding.Problem] = true
			}
		}
	}
	for _, finding := range invalid.Findings {
		if !known[finding.Name+finding.Problem] {
			return invalidResult(err)
		}
	}
	return nil
}
