package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

const maxRatingBytes = 4 << 10

// HTTPRater is a client of the platform's rating service. It posts request_id, prompt and answer as JSON to
// /rate; the response holds the score. Rating is idempotent. Safe for concurrent use.
type HTTPRater struct {
	client *serviceClient
}

var _ Rater = (*HTTPRater)(nil)

// NewHTTPRater returns a client of the rating service at address (IP:port). count may be nil.
func NewHTTPRater(address string, count CallCounter) *HTTPRater {
	return &HTTPRater{client: newServiceClient(address, count)}
}

// Rate implements Rater. It has no timeout other than that of ctx.
func (r *HTTPRater) Rate(ctx context.Context, requestID, prompt, answer string) (Rating, error) {
	request := struct {
		RequestID string `json:"request_id"`
		Prompt    string `json:"prompt"`
		Answer    string `json:"answer"`
	}{requestID, prompt, answer}
	body, err := json.Marshal(request)
	if err != nil {
		return Rating{}, fmt.Errorf("rate: %w", err)
	}
	response, _, err := r.client.do(ctx, "rate", http.MethodPost, "/rate", nil, body)
	if err != nil {
		return Rating{}, fmt.Errorf("rate: %w", err)
	}
	defer drainAndClose(response)
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
		return Rating{}, fmt.Errorf("rate: no score between 0 and 1 for request %s", requestID)
	}
	return Rating{RequestID: requestID, Score: *rating.Score}, nil
}
