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
	Bytes   int64 // -1 if the store does not say
}

// RateLimited is the error of a weight store that takes no more calls for now.
type RateLimited struct {
	RetryAfter time.Duration
}

var _ error = (*RateLimited)(nil)

// Error says when to come back.
func (r *RateLimited) Error() string { return fmt.Sprintf("rate limited for %v", r.RetryAfter) }

// WeightStore is the platform's rate-limited store of model weights.
type WeightStore interface {
	// Weights takes one call of the store's budget. Errors: ErrNotFound, *RateLimited,
	// ErrUnavailable.
	Weights(ctx context.Context, model, version string) (Weights, error)
}

// HTTPWeights asks GET /weights/MODEL/VERSION; status 429 with Retry-After in seconds says that
// the budget is used up. The weights themselves are for engines; their bytes are not read.
type HTTPWeights struct {
	client *caller
}

var _ WeightStore = (*HTTPWeights)(nil)

// NewHTTPWeights returns the weight store at address (IP:port). count may be nil.
func NewHTTPWeights(address string, count CallCounter) *HTTPWeights {
	return &HTTPWeights{client: newCaller(address, count)}
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
		return Weights{}, fmt.Errorf("weights: %w: %v", ErrUnavailable, err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Weights{}, fmt.Errorf("weights of %s@%s: %w", model, version, ErrNotFound)
	case http.StatusTooManyRequests:
		return Weights{}, &RateLimited{RetryAfter: retryAfter(response)}
	default:
		return Weights{}, fmt.Errorf("weights: %w: status %d", ErrUnavailable, response.StatusCode)
	}
	return Weights{Model: model, Version: version, Bytes: response.ContentLength}, nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}
