package infra

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
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second // below the shortest idle timeout usual among middleboxes
	maxErrorBytes   = 1 << 10
	indexHeader     = "X-Consul-Index"
)

// CallCounter is told of each call to a platform service, for the fleet's budget.
type CallCounter func(operation string)

// errInvalidSession means that the service has ended a session.
var errInvalidSession = fmt.Errorf("%w: invalid session", ErrLeaseLost)

// caller makes the HTTP calls of an adapter. It never sends a call twice.
type caller struct {
	base  url.URL
	http  *http.Client
	count CallCounter
}

func newCaller(address string, count CallCounter) *caller {
	if count == nil {
		count = func(string) {}
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &caller{base: url.URL{Scheme: "http", Host: address}, http: client, count: count}
}

// read decodes the answer to a GET, at most limit bytes long. Every failure but ErrNotFound is
// ErrUnavailable.
func (c *caller) read(ctx context.Context, operation, path string, query url.Values, timeout time.Duration, limit int64, answer any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, _, err := c.do(ctx, operation, http.MethodGet, path, query, nil)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer finish(response)
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return index, ErrNotFound
	default:
		return index, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	if err := decode(response.Body, limit, answer); err != nil {
		c.retire(err)
		return index, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return index, nil
}

// write makes a call that changes something. Only an answer of the service, or that no connection
// was made, proves that nothing happened; any other failure is ErrOutcomeUnknown.
func (c *caller) write(ctx context.Context, operation, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	response, sent, err := c.do(ctx, operation, method, path, query, body)
	switch {
	case err != nil && !sent:
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	defer finish(response)
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	if answer == nil {
		return nil
	}
	if err := decode(response.Body, maxPairBytes, answer); err != nil {
		c.retire(err)
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return nil
}

func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusConflict:
		return ErrConflict
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return fmt.Errorf("%w: rejected with status %d", ErrUnavailable, response.StatusCode)
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if response.StatusCode == http.StatusInternalServerError && strings.Contains(string(text), "invalid session") {
		return errInvalidSession
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
}

// do sends one call. sent says whether a connection was at hand, so that the service may have seen
// the call.
func (c *caller) do(ctx context.Context, operation, method, path string, query url.Values, body []byte) (response *http.Response, sent bool, err error) {
	c.count(operation)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	target := c.base
	target.Path = path
	target.RawQuery = query.Encode()
	request, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	request.GetBody = nil // a lost answer must not make the transport send the call again
	response, err = c.http.Do(request)
	if err != nil {
		c.retire(err)
	}
	return response, connected.Load(), err
}

// finish closes an answer; a short rest is read first, so that the connection can be used again.
func finish(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	_ = response.Body.Close()
}

// retire drops the idle connections after a timeout: whatever made one silent may have made them
// all so.
func (c *caller) retire(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// decode reads a whole JSON value of at most limit bytes.
func decode(body io.Reader, limit int64, answer any) error {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return fmt.Errorf("truncated answer: %w", err)
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("answer above %d bytes", limit)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
