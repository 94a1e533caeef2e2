package entry

import "context"

// Ready says whether the balancer should send requests here: a configuration is in force, the zone
// is in service and no stop is under way.
func (s *Server) Ready() bool {
	snapshot := s.Source.Current()
	return !s.flights.Stopping() && snapshot != nil && snapshot.ZoneInService(s.Self.Zone)
}

// Stop makes Ready false at once. Requests that still arrive are served whole; their answers ask
// the caller to open a new connection for the next one.
func (s *Server) Stop() { s.flights.Stop() }

// Drain stops the server and returns once no request has been in progress for the quiet time, or
// when ctx ends with requests still in progress. The listener has to stay open meanwhile, so that
// requests on kept-alive connections are served.
//
// Order of a planned stop: Stop, wait for the balancer to notice, Drain, http.Server.Shutdown,
// flush bills and claims, leave.
func (s *Server) Drain(ctx context.Context) error {
	s.Stop()
	return s.flights.Drain(ctx, s.Settings.quiet())
}
