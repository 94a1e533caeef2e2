package gateway

import "plumbarrow.example/plumbarrow/decide"

const (
	// retryShare is how many repeats each first attempt pays for. It stays well below the platform's
	// bound, which counts the callers' own repeats at other instances too.
	retryShare = 0.7
	// retryBurst is the number of repeats that can be saved up per service.
	retryBurst = 8
)

// NewRetries returns this instance's allowance of repeats, by service, with nothing spent.
func NewRetries() *decide.Allowance { return decide.NewAllowance(retryShare, retryBurst) }
