package link

import (
	"sync"
	"time"
)

// minSilence is the shortest first-byte timeout that counts against an endpoint. A request close to
// its deadline waits less, and its timeout does not show that the endpoint is at fault.
const minSilence = time.Second

// condemnThreshold is the number of consecutive silences on new connections after which the endpoint
// itself counts as unresponsive.
const condemnThreshold = 2

// silenceCounter counts consecutive silences, which are first-byte timeouts on new connections, by
// endpoint address. It holds only addresses without an answer since their last silence. Safe for
// concurrent use.
type silenceCounter struct {
	mu    sync.Mutex
	count map[string]int
}

func newSilenceCounter() *silenceCounter { return &silenceCounter{count: make(map[string]int)} }

// record counts a silence and reports whether the endpoint has reached condemnThreshold.
func (s *silenceCounter) record(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[address]++
	return s.count[address] >= condemnThreshold
}

// reset clears an endpoint's count after an answer.
func (s *silenceCounter) reset(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.count, address)
}
