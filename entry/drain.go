package entry

import (
	"context"
	"sync"
	"time"
)

// flights counts the requests in progress.
type flights struct {
	mu       sync.Mutex
	count    int
	stopping bool
	changed  chan struct{} // closed at each change while stopping
}

// start counts a request and says whether the instance is stopping.
func (f *flights) start() (stopping bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.wake()
	return f.stopping
}

func (f *flights) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.wake()
}

func (f *flights) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

func (f *flights) look() (count int, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.count, f.changed
}

// Ready says whether the balancer should send requests here: a configuration is in force, the zone
// is in service and no stop is under way.
func (s *Server) Ready() bool {
	s.flights.mu.Lock()
	stopping := s.flights.stopping
	s.flights.mu.Unlock()
	snapshot := s.Source.Current()
	return !stopping && snapshot != nil && snapshot.ZoneInService(s.Self.Zone)
}

// Stop makes Ready false at once. Requests that still arrive are served whole; their answers ask
// the caller to open a new connection for the next one.
func (s *Server) Stop() {
	s.flights.mu.Lock()
	defer s.flights.mu.Unlock()
	s.flights.stopping = true
}

// Drain stops the server and returns once no request has been in progress for the quiet time, or
// when ctx ends with requests still in progress. The listener has to stay open meanwhile, so that
// requests on kept-alive connections are served.
//
// Order of a planned stop: Stop, wait for the balancer to notice, Drain, http.Server.Shutdown,
// flush bills and claims, leave.
func (s *Server) Drain(ctx context.Context) error {
	s.Stop()
	for {
		count, changed := s.flights.look()
		var quiet <-chan time.Time
		if count == 0 {
			quiet = time.After(s.Settings.quiet())
		}
		select {
		case <-changed:
		case <-quiet:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
