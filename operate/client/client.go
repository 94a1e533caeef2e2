// Package client calls the operators' HTTP API. It fails over between several entry instances.
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
	callTimeout      = 15 * time.Second
	changeTimeout    = 45 * time.Second // longer than the server's limit for a change
	maxResponseBytes = 64 << 20
	changeAttempts   = 3
)

// Errors of a call.
var (
	// ErrUnreachable means that no address could be reached; nothing was sent.
	ErrUnreachable = errors.New("no entry instance is reachable")
	// ErrUnknown means that a change was sent and no response reported its outcome. Repeating the
	// call with the same change id is safe and returns the outcome.
	ErrUnknown = errors.New("outcome unknown")
	// ErrNotFound means that the requested object does not exist at the instances that responded.
	ErrNotFound = errors.New("not found")
)

// Refused is the error of a call that an instance refused.
type Refused struct {
	Status  int // HTTP status
	Message string
}

var _ error = (*Refused)(nil)

// Error returns the message of the instance's response.
func (r *Refused) Error() string { return r.Message }

// Client calls the first reachable of several addresses. Its errors are ErrUnreachable, ErrNotFound,
// *Refused, for a change also ErrUnknown, or that of a lost or malformed response. It is safe for
// concurrent use.
type Client struct {
	addresses []string
	token     string
	http      *http.Client
}

// New returns a client of the operators' addresses (IP:port), tried in order.
func New(addresses []string, token string) *Client {
	// Without keep-alive each call opens a connection, so that a call which got no connection was
	// certainly not sent.
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{addresses: addresses, token: token, http: &http.Client{Transport: transport}}
}

// Apply proposes a document. If the response is lost, the call is repeated with the same change id,
// also at other addresses. If the outcome remains unknown, the error is ErrUnknown.
func (c *Client) Apply(ctx context.Context, apply api.Apply) (api.Applied, error) {
	var applied api.Applied
	ctx, cancel := context.WithTimeout(ctx, changeTimeout+time.Duration(apply.WaitMS)*time.Millisecond)
	defer cancel()
	err := c.sendChange(ctx, "/v1/config", apply, &applied, func() bool { return applied.Outcome != replica.OutcomeUnknown })
	return applied, err
}

// ZoneOut takes a zone out of service.
func (c *Client) ZoneOut(ctx context.Context, zone string, order api.Order) (api.Ordered, error) {
	return c.order(ctx, "/v1/zones/"+url.PathEscape(zone)+"/out", order)
}

// ZoneIn returns a zone to service.
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
	err := c.sendChange(ctx, path, order, &ordered, func() bool { return ordered.OrderState != api.Unknown && ordered.OrderState != "" })
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

// Status returns the state of the instance at each address, and each call's error, both in the order
// of the addresses.
func (c *Client) Status(ctx context.Context) ([]api.Status, []error) {
	statuses := make([]api.Status, len(c.addresses))
	failures := make([]error, len(c.addresses))
	for i, address := range c.addresses {
		failures[i] = c.call(ctx, callTimeout, http.MethodGet, address, "/v1/status", nil, &statuses[i])
	}
	return statuses, failures
}

// Explain returns the record of a request, as JSON, from the first instance that has one. The error
// is ErrNotFound if any instance responded that it has none and no other returned one.
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

// Rollouts returns the recorded roll-outs.
func (c *Client) Rollouts(ctx context.Context) ([]rollout.Record, error) {
	var records []rollout.Record
	return records, c.get(ctx, "/v1/rollouts", &records)
}

// get reads from the first address that responds without a server error.
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

// sendChange sends a change to the first reachable address. If the response is lost or decided
// reports that it leaves the outcome open, the same message, with the same change id, is sent again to
// all addresses, in at most changeAttempts rounds.
func (c *Client) sendChange(ctx context.Context, path string, message, into any, decided func() bool) error {
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

// call makes one call. It returns ErrUnreachable if no connection was made, ErrNotFound, or *Refused.
// After any other error the instance may have processed the call.
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	return decodeResponse(response.StatusCode, data, into)
}

// decodeResponse decodes a response into into. An error status with a body of type api.Error becomes
// ErrNotFound or *Refused. The body of a refused change has the type of the change's normal response.
func decodeResponse(status int, data []byte, into any) error {
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
