package gateway

import "plumbarrow.example/plumbarrow/decide"

const (
	// retryShare is the number of retries that each first attempt adds to the budget. It stays well below the
	// platform's limit, which also counts retries that callers themselves send to other instances.
	retryShare = 0.7
	// retryBurst is the largest number of retries that a service's budget can accumulate.
	retryBurst = 8
)

// NewRetryBudget returns this instance's retry budget, kept per service, with nothing spent.
func NewRetryBudget() *decide.RetryBuckets { return decide.NewRetryBuckets(retryShare, retryBurst) }
