package link

import (
	"sync"
	"time"
)

// silentAfter is the shortest wait that says anything about an endpoint; a request close to its
// deadline waits less.
const silentAfter = time.Second

// silentLimit is the number of consecutive silences on fresh connections that condemns an
// endpoint.
const silentLimit = 2

// silences counts consecutive silences on fresh connections by endpoint address. It holds only
// addresses that are silent now.
type silences struct {
	mu    sync.Mutex
	count map[string]int
}

func newSilences() *silences { return &silences{count: make(map[string]int)} }

// silent records a silence on a fresh connection and says whether the endpoint is condemned.
func (s *silences) silent(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[address]++
	return s.count[address] >= silentLimit
}

// heard forgets an endpoint's silences.
func (s *silences) heard(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.count, address)
}
