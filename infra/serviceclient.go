package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"plumbarrow.example/plumbarrow/internal/answercheck"
)

const (
	maxIdleConns    = 4
	idleConnTimeout = 30 * time.Second // shorter than the idle timeouts that are common among middleboxes
	maxErrorBytes   = 1 << 10
	indexHeader     = "X-Consul-Index"
)

// CallCounter is called with the operation's name before each call to a platform service. It serves to measure
// the fleet's call rate against its budget.
type CallCounter func(operation string)

// errInvalidSession means that the service has invalidated a session.
var errInvalidSession = fmt.Errorf("%w: invalid session", ErrLeaseLost)

// serviceClient makes the HTTP calls of an adapter to a platform service. It does not retry calls or follow
// redirects. Safe for concurrent use.
type serviceClient struct {
	base  url.URL
	http  *http.Client
	count CallCounter
}

func newServiceClient(address string, count CallCounter) *serviceClient {
	if count == nil {
		count = func(string) {}
	}
	dial := answercheck.Dial(new(net.Dialer).DialContext)
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleConnTimeout}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &serviceClient{base: url.URL{Scheme: "http", Host: address}, http: client, count: count}
}

// read makes a GET call, decodes the response of at most limit bytes into answer and returns the service's
// index, or 0 without one. Status 404 is ErrNotFound, every other failure ErrUnavailable.
func (c *serviceClient) read(ctx context.Context, operation, path string, query url.Values, timeout time.Duration, limit int64, answer any) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, _, err := c.do(ctx, operation, http.MethodGet, path, query, nil)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer drainAndClose(response)
	index, _ := strconv.ParseUint(response.Header.Get(indexHeader), 10, 64)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return index, ErrNotFound
	default:
		return index, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	if err := decode(response.Body, limit, answer); err != nil {
		c.closeIdleAfterTimeout(err)
		return index, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return index, nil
}

// write makes a call that changes state. A failure proves that nothing was written only if the service
// rejected the call or no connection was made; any other failure is ErrOutcomeUnknown.
func (c *serviceClient) write(ctx context.Context, operation, method, path string, query url.Values, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	response, sent, err := c.do(ctx, operation, method, path, query, body)
	switch {
	case err != nil && !sent:
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	case err != nil:
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	if answer == nil {
		return nil
	}
	if err := decode(response.Body, maxPairBytes, answer); err != nil {
		c.closeIdleAfterTimeout(err)
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return nil
}

// statusError returns the error of a write that the service answered with a status other than 200.
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

// do sends one call. sent reports whether it got a connection; if so, the service may have received the call
// even if err is set.
func (c *serviceClient) do(ctx context.Context, operation, method, path string, query url.Values, body []byte) (response *http.Response, sent bool, err error) {
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
	request.GetBody = nil // keeps the transport from retrying a call whose response was lost
	response, err = c.http.Do(request)
	if err != nil {
		c.closeIdleAfterTimeout(err)
	}
	return response, connected.Load(), err
}

// drainAndClose closes a response's body. It first reads a short rest, so that the connection can be reused.
func drainAndClose(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxErrorBytes)
	_ = response.Body.Close()
}

// closeIdleAfterTimeout closes the idle connections if err is a timeout: the fault that silenced one connection
// may have silenced the others too.
func (c *serviceClient) closeIdleAfterTimeout(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		c.http.CloseIdleConnections()
	}
}

// decode decodes a body that is one JSON value of at most limit bytes.
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

// sleep waits for d, or returns the context's error if ctx ends first.
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
