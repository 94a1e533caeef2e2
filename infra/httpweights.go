package infra

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Weights describes the weights of one version in the weight store.
type Weights struct {
	Model   string
	Version string
	Bytes   int64 // -1 if unknown
}

// RateLimitError is the error of a call that exceeded the weight store's rate limit.
type RateLimitError struct {
	// RetryAfter is how long to wait before the next call.
	RetryAfter time.Duration
}

var _ error = (*RateLimitError)(nil)

// Error implements error.
func (r *RateLimitError) Error() string { return fmt.Sprintf("rate limited for %v", r.RetryAfter) }

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Weights describes one version's weights. Each call counts against the store's rate limit. Errors:
	// ErrNotFound, *RateLimitError, ErrUnavailable.
	Weights(ctx context.Context, model, version string) (Weights, error)
}

// HTTPWeights is a client of a weight store that serves GET /weights/MODEL/VERSION. Status 429 with
// Retry-After in seconds means that the rate limit is exceeded. Only the response's header is read: the
// weights themselves are for engines. Safe for concurrent use.
type HTTPWeights struct {
	client *serviceClient
}

var _ WeightStore = (*HTTPWeights)(nil)

// NewHTTPWeights returns a client of the weight store at address (IP:port). count may be nil.
func NewHTTPWeights(address string, count CallCounter) *HTTPWeights {
	return &HTTPWeights{client: newServiceClient(address, count)}
}

const (
	weightsTimeout    = 5 * time.Second
	defaultRetryAfter = time.Second
	maxRetryAfter     = time.Hour
)

// Weights implements WeightStore.
func (w *HTTPWeights) Weights(ctx context.Context, model, version string) (Weights, error) {
	ctx, cancel := context.WithTimeout(ctx, weightsTimeout)
	defer cancel()
	path := "/weights/" + model + "/" + version
	response, _, err := w.client.do(ctx, "weights", http.MethodGet, path, nil, nil)
	if err != nil {
		return Weights{}, fmt.Errorf("weights of %s@%s: %w: %v", model, version, ErrUnavailable, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Weights{}, fmt.Errorf("weights of %s@%s: %w", model, version, ErrNotFound)
	case http.StatusTooManyRequests:
		return Weights{}, &RateLimitError{RetryAfter: retryAfter(response)}
	default:
		return Weights{}, fmt.Errorf("weights of %s@%s: %w: status %d", model, version, ErrUnavailable, response.StatusCode)
	}
	return Weights{Model: model, Version: version, Bytes: response.ContentLength}, nil
}

// retryAfter returns the Retry-After of a response: defaultRetryAfter if it is missing or malformed, at most
// maxRetryAfter.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
