// Package client calls the operators' HTTP surface of any of several entry instances.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
)

const (
	callTimeout    = 15 * time.Second
	changeTimeout  = 45 * time.Second // beyond the instance's own limit for a change
	maxAnswerBytes = 64 << 20
	changeAttempts = 3
)

// Errors of a call.
var (
	// ErrUnreachable means that no address could be reached; nothing was sent.
	ErrUnreachable = errors.New("no entry instance is reachable")
	// ErrUnknown means that a change was sent and no answer says what became of it. Calling again
	// with the same change id is safe and tells.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNotFound means that what was asked for does not exist at the instances that answered.
	ErrNotFound = errors.New("not found")
)

// Refused is the error of a call that an instance refused.
type Refused struct {
	Status  int
	Message string
}

var _ error = (*Refused)(nil)

// Error returns the instance's message.
func (r *Refused) Error() string { return r.Message }

// Client calls the first address that can be reached. Safe for concurrent use.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client of the operators' addresses (IP:port), tried in order.
func New(addresses []string, token string) *Client {
	transport := &http.Transport{DisableKeepAlives: true} // every call has a connection proved live
	return &Client{addresses: addresses, token: token, http: &http.Client{Transport: transport}}
}

// Apply proposes a document. A call whose answer is lost is repeated with the same change id, also
// at other addresses; if that does not tell either, the error is ErrUnknown.
func (c *Client) Apply(ctx context.Context, apply api.Apply) (api.Applied, error) {
	var applied api.Applied
	ctx, cancel := context.WithTimeout(ctx, changeTimeout+time.Duration(apply.WaitMS)*time.Millisecond)
	defer cancel()
	err := c.change(ctx, "/v1/config", apply, &applied, func() bool { return applied.Outcome != replica.Unknown })
	return applied, err
}

// ZoneOut takes a zone out of service.
func (c *Client) ZoneOut(ctx context.Context, zone string, order api.Order) (api.Ordered, error) {
	return c.order(ctx, "/v1/zones/"+url.PathEscape(zone)+"/out", order)
}

// ZoneIn brings a zone back.
func (c *Client) ZoneIn(ctx context.Context, zone string, order api.Order) (api.Ordered, error) {
	return c.order(ctx, "/v1/zones/"+url.PathEscape(zone)+"/in", order)
}

// Withdraw withdraws a version.
func (c *Client) Withdraw(ctx context.Context, version contract.VersionID, order api.Order) (api.Ordered, error) {
	return c.order(ctx, "/v1/versions/"+url.PathEscape(version.String())+"/withdraw", order)
}

func (c *Client) order(ctx context.Context, path string, order api.Order) (api.Ordered, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var ordered api.Ordered
	err := c.change(ctx, path, order, &ordered, func() bool { return ordered.Standing != api.Unknown && ordered.Standing != "" })
	return ordered, err
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (api.Config, error) {
	var config api.Config
	return config, c.get(ctx, "/v1/config", &config)
}

// History returns accepted changes, newest first.
func (c *Client) History(ctx context.Context, limit int) ([]replica.Record, error) {
	var records []replica.Record
	return records, c.get(ctx, "/v1/config/history?limit="+strconv.Itoa(limit), &records)
}

// Diff returns what changed between two revisions; 0 means the newest.
func (c *Client) Diff(ctx context.Context, from, to contract.Revision) (api.Diff, error) {
	var diff api.Diff
	return diff, c.get(ctx, fmt.Sprintf("/v1/config/diff?from=%d&to=%d", from, to), &diff)
}

// Bills returns the customers' totals.
func (c *Client) Bills(ctx context.Context) ([]api.Bill, error) {
	var bills []api.Bill
	return bills, c.get(ctx, "/v1/bills", &bills)
}

// Status returns the state of every address, in their order; the error of one that does not
// answer stands beside it.
func (c *Client) Status(ctx context.Context) ([]api.Status, []error) {
	statuses := make([]api.Status, len(c.addresses))
	failures := make([]error, len(c.addresses))
	for i, address := range c.addresses {
		failures[i] = c.call(ctx, callTimeout, http.MethodGet, address, "/v1/status", nil, &statuses[i])
	}
	return statuses, failures
}

// Explain returns the record of a request from the first instance that has one, as JSON.
func (c *Client) Explain(ctx context.Context, requestID string) (json.RawMessage, error) {
	last := ErrUnreachable
	for _, address := range c.addresses {
		var record json.RawMessage
		err := c.call(ctx, callTimeout, http.MethodGet, address, "/v1/explain/"+url.PathEscape(requestID), nil, &record)
		if err == nil {
			return record, nil
		}
		if !errors.Is(last, ErrNotFound) {
			last = err
		}
	}
	return nil, last
}

// Rollouts lists roll-outs.
func (c *Client) Rollouts(ctx context.Context) ([]rollout.Record, error) {
	var records []rollout.Record
	return records, c.get(ctx, "/v1/rollouts", &records)
}

// get reads from the first address that answers.
func (c *Client) get(ctx context.Context, path string, into any) error {
	last := ErrUnreachable
	for _, address := range c.addresses {
		err := c.call(ctx, callTimeout, http.MethodGet, address, path, nil, into)
		var refused *Refused
		if err == nil || errors.As(err, &refused) && refused.Status < http.StatusInternalServerError {
			return err
		}
		last = err
	}
	return last
}

// change sends a change to the first address that can be reached. Once one call may have arrived,
// only the same change id is sent again, until decided says that the answer tells the outcome.
func (c *Client) change(ctx context.Context, path string, message, into any, decided func() bool) error {
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	sent := false
	last := ErrUnreachable
	for range changeAttempts {
		for _, address := range c.addresses {
			err := c.call(ctx, changeTimeout, http.MethodPost, address, path, body, into)
			if err == nil && decided() {
				return nil
			}
			var refused *Refused
			if errors.As(err, &refused) {
				return err
			}
			if errors.Is(err, ErrUnreachable) {
				last = err
				continue
			}
			sent = true
			if err != nil {
				last = err
			}
		}
		if !sent || ctx.Err() != nil {
			break
		}
	}
	if sent {
		return fmt.Errorf("%w: %v", ErrUnknown, last)
	}
	return last
}

// call makes one call. Its errors: ErrUnreachable if no connection was made, ErrNotFound, *Refused,
// else something that may have happened after the call arrived.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, address, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	switch {
	case err != nil && !connected.Load():
		return fmt.Errorf("%w: %v", ErrUnreachable, err)
	case err != nil:
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return answer(response.StatusCode, data, into)
}

// answer decodes what an instance said. A refusal of a change comes in the change's own form.
func answer(status int, data []byte, into any) error {
	var failure api.Error
	if status >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Message != "" {
		if status == http.StatusNotFound {
			return fmt.Errorf("%w: %s", ErrNotFound, failure.Message)
		}
		return &Refused{Status: status, Message: failure.Message}
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("status %d: malformed answer: %w", status, err)
	}
	return nil
}
