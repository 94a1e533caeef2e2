package replica

import (
	"errors"

	"plumbarrow.example/plumbarrow/contract"
)

// validate refuses a document that is broken, or that adds to what nothing could serve.
func (c *change) validate(document, present *contract.Document) *Result {
	_, err := contract.Build(document, 0)
	var invalid *contract.Invalid
	if !errors.As(err, &invalid) {
		return nil
	}
	if len(invalid.Broken()) > 0 {
		return invalidResult(err)
	}
	if c.restrictive {
		return nil
	}
	known := make(map[string]bool)
	if _, err := contract.Build(present, 0); err != nil {
		var before *contract.Invalid
		if errors.As(err, &before) {
			for _, finding := range before.Findings {
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
