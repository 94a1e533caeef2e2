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
)

const listCallTimeout = 2 * time.Second

// HTTPList reads the platform's instance list as a JSON array of Instance over HTTP. Reads are
// conditional (entity tags) and compressed, so that an unchanged list costs a header. Safe for
// concurrent use.
type HTTPList struct {
	url    string
	client *http.Client
	count  CallCounter

	mu   sync.Mutex
	tag  string
	last []Instance
}

var _ InstanceList = (*HTTPList)(nil)

// NewHTTPList returns the list served at address (IP:port). count may be nil.
func NewHTTPList(address string, count CallCounter) *HTTPList {
	if count == nil {
		count = func(string) {}
	}
	return &HTTPList{url: "http://" + address + "/instances", client: &http.Client{Timeout: listCallTimeout}, count: count}
}

// Instances implements InstanceList.
func (l *HTTPList) Instances(ctx context.Context) ([]Instance, error) {
	l.count("instances")
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, fmt.Errorf("instance list request: %w", err)
	}
	tag, last := l.cached()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	defer finish(response)
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return slices.Clone(last), nil
	default:
		return nil, fmt.Errorf("instance list: status %d", response.StatusCode)
	}
	var instances []Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&instances); err != nil {
		return nil, fmt.Errorf("instance list: %w", err)
	}
	l.keep(response.Header.Get("ETag"), instances)
	return slices.Clone(instances), nil
}

func (l *HTTPList) cached() (tag string, last []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tag, l.last
}

func (l *HTTPList) keep(tag string, instances []Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tag = tag
	l.last = instances
}
