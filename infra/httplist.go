package infra

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/answercheck"
)

const listCallTimeout = 2 * time.Second

// HTTPList reads the platform's instance list over HTTP, as a JSON array of Instance. Reads are compressed
// and conditional (ETag), so that an unchanged list costs only a response header. Safe for concurrent use.
type HTTPList struct {
	url    string
	client *http.Client
	count  CallCounter

	mu            sync.Mutex
	etag          string
	lastInstances []Instance
}

var _ InstanceList = (*HTTPList)(nil)

// NewHTTPList returns a reader of the list served at address (IP:port). count may be nil.
func NewHTTPList(address string, count CallCounter) *HTTPList {
	if count == nil {
		count = func(string) {}
	}
	client := &http.Client{Transport: answercheck.NewTransport(), Timeout: listCallTimeout}
	return &HTTPList{url: "http://" + address + "/instances", client: client, count: count}
}

// Instances implements InstanceList.
func (l *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	l.count("instances")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, fmt.Errorf("create instance list request: %w", err)
	}
	etag, lastInstances := l.cached()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read instance list: %w", err)
	}
	defer drainAndClose(response)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return slices.Clone(lastInstances), nil
	default:
		return nil, fmt.Errorf("read instance list from %s: status %d", l.url, response.StatusCode)
	}
	var instances []Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&instances); err != nil {
		return nil, fmt.Errorf("decode instance list from %s: %w", l.url, err)
	}
	l.store(response.Header.Get("ETag"), instances)
	return slices.Clone(instances), nil
}

func (l *HTTPList) cached() (etag string, lastInstances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.etag, l.lastInstances
}

func (l *HTTPList) store(etag string, instances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag = etag
	l.lastInstances = instances
}
