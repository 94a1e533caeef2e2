package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"plumbarrow.example/plumbarrow/internal/openai"
	"plumbarrow.example/plumbarrow/link"
)

const maxLineBytes = 1 << 20

// Sample is the outcome of one request as its caller saw it.
type Sample struct {
	Request   Request
	RequestID string
	Status    int             // HTTP status; 0 if no answer came
	Reason    string          // of a refusal
	Verdict   string          // of a refusal
	Whole     bool            // the answer is complete and no refusal
	FirstByte time.Duration   // until the response header, or until the first event of a stream
	Total     time.Duration   // until the end of the answer; 0 if no answer came
	Gaps      []time.Duration // between streamed events
	Error     string          // of the connection or of reading the answer
}

// client sends requests to one deployment.
type client struct {
	http *http.Client
}

// send sends one request to the address and reads the whole answer.
func (c *client) send(ctx context.Context, address string, request Request) Sample {
	sample := Sample{Request: request}
	start := time.Now()
	defer func() { sample.Total = time.Since(start) }()
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, strings.NewReader(request.Body))
	if err != nil {
		sample.Error = err.Error()
		return sample
	}
	outgoing.GetBody = nil
	outgoing.Header.Set("Authorization", "Bearer "+request.APIKey)
	outgoing.Header.Set("Content-Type", "application/json")
	if request.IdempotencyKey != "" {
		outgoing.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	response, err := c.http.Do(outgoing)
	if err != nil {
		sample.Error = err.Error()
		return sample
	}
	defer response.Body.Close()
	sample.FirstByte = time.Since(start)
	sample.Status = response.StatusCode
	sample.RequestID = response.Header.Get(link.HeaderRequestID)
	if request.Stream && response.StatusCode == http.StatusOK {
		readStream(response.Body, start, &sample)
	} else {
		readBody(response.Body, &sample)
	}
	sample.Total = time.Since(start)
	return sample
}

func readBody(body io.Reader, sample *Sample) {
	data, err := io.ReadAll(body)
	if err != nil {
		sample.Error = err.Error()
		return
	}
	sample.Whole = sample.Status < http.StatusBadRequest
	if !sample.Whole {
		readRefusal(data, sample)
	}
}

func readRefusal(data []byte, sample *Sample) {
	var refusal openai.ErrorBody
	if json.Unmarshal(data, &refusal) == nil {
		sample.Reason = refusal.Error.Reason
		sample.Verdict = refusal.Error.Verdict
	}
}

func readStream(body io.Reader, start time.Time, sample *Sample) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	var last time.Time
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			sample.FirstByte = now.Sub(start)
		} else {
			sample.Gaps = append(sample.Gaps, now.Sub(last))
		}
		last = now
		if data == openai.Done {
			sample.Whole = true
			return
		}
		readRefusal([]byte(data), sample)
	}
	if err := scanner.Err(); err != nil {
		sample.Error = err.Error()
	}
}
