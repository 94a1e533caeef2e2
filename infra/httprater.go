package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

const maxRatingBytes = 4 << 10

// HTTPRater asks the platform's rating service: POST /rate with request_id, prompt and answer in
// JSON; the answer has the score. Rating an answer twice does no harm.
type HTTPRater struct {
	client *caller
}

var _ Rater = (*HTTPRater)(nil)

// NewHTTPRater returns the rater at address (IP:port). count may be nil.
func NewHTTPRater(address string, count CallCounter) *HTTPRater {
	return &HTTPRater{client: newCaller(address, count)}
}

// Rate implements Rater. ctx bounds the call.
func (r *HTTPRater) Rate(ctx context.Context, requestID, prompt, answer string) (Rating, error) {
	question := struct {
		RequestID string `json:"request_id"`
		Prompt    string `json:"prompt"`
		Answer    string `json:"answer"`
	}{requestID, prompt, answer}
	body, err := json.Marshal(question)
	if err != nil {
		return Rating{}, fmt.Errorf("rate: %w", err)
	}
	response, _, err := r.client.do(ctx, "rate", http.MethodPost, "/rate", nil, body)
	if err != nil {
		return Rating{}, fmt.Errorf("rate: %w", err)
	}
	defer finish(response)
	if response.StatusCode != http.StatusOK {
		return Rating{}, fmt.Errorf("rate: status %d", response.StatusCode)
	}
	var rating struct {
		Score *float64 `json:"score"`
	}
	if err := decode(response.Body, maxRatingBytes, &rating); err != nil {
		return Rating{}, fmt.Errorf("rate: %w", err)
	}
	if rating.Score == nil || !(*rating.Score >= 0 && *rating.Score <= 1) {
		return Rating{}, errors.New("rate: no score between 0 and 1")
	}
	return Rating{RequestID: requestID, Score: *rating.Score}, nil
}
