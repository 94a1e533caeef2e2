package upstream

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
)

// cuttableNetwork is a Prober whose dials hang, are refused, or succeed at the reachable addresses only.
type cuttableNetwork struct {
	reachable func(address string) bool
	healed    atomic.Bool
	hangs     bool
	probes    atomic.Int64
}

func (n *cuttableNetwork) Probe(ctx context.Context, address string) error {
	n.probes.Add(1)
	if n.healed.Load() || n.reachable(address) {
		return nil
	}
	if n.hangs {
		<-ctx.Done()
	}
	return errors.New("no connection")
}

// TestServiceUnreachable guards against RECOVER: an instance that has lost its links to all endpoints must notice within the time of a few
// failed connections, for all services, and must notice as soon when they are back. One that reaches any endpoint of the service must not
// take the service for unreachable.
func TestServiceUnreachable(t *testing.T) {
	for _, test := range []struct {
		name      string
		hangs     bool
		reachable string // address of the only endpoint that can be reached; empty for none
		failures  []string
		app, text bool // expected to be reachable
	}{
		{"dials hang", true, "", []string{"a1", "a2"}, false, false},
		{"dials are refused", false, "", []string{"a1", "a2"}, false, false},
		{"one endpoint fails twice", false, "", []string{"a1", "a1"}, true, true},
		{"another endpoint of the service is reached", true, "a3", []string{"a1", "a2"}, true, true},
		{"another service is reached", true, "t1", []string{"a1", "a2"}, false, true},
		{"the only endpoint", false, "", []string{"t1"}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := newTable(report("a1", "app", "a"), report("a2", "app", "b"), report("a3", "app", "c"), report("t1", "text", "a"))
				network := &cuttableNetwork{hangs: test.hangs, reachable: func(address string) bool { return address == test.reachable+":80" }}
				ctx, cancel := context.WithCancel(t.Context())
				monitor := NewReachMonitor(table, network, telemetry.New(), slog.New(slog.DiscardHandler))
				done := make(chan error, 1)
				go func() { done <- monitor.Run(ctx) }()
				time.Sleep(10 * time.Second)
				c.Check(network.probes.Load(), qt.Equals, int64(0)) // none in calm
				for _, grant := range grantsAt(c, table, test.failures) {
					grant.Done(Unreachable)
				}
				time.Sleep(2 * reachTestInterval)
				c.Check(table.Reachable("app"), qt.Equals, test.app)
				c.Check(table.Reachable("text"), qt.Equals, test.text)
				network.healed.Store(true)
				time.Sleep(reachTestInterval + reachTestTimeout)
				c.Check(table.Reachable("app"), qt.IsTrue)
				c.Check(table.Reachable("text"), qt.IsTrue)
				cancel()
				<-done
			})
		})
	}
}

// grantsAt reserves capacity at the endpoints, in order.
func grantsAt(c *qt.C, table *Table, ids []string) []*Grant {
	var grants []*Grant
	for _, id := range ids {
		table.mu.Lock()
		endpoint := table.byID[machine.EndpointID(id)]
		table.mu.Unlock()
		need := &Need{Service: endpoint.report.Service}
		grant := table.grant(endpoint, need, nil, time.Now())
		c.Assert(grant, qt.IsNotNil)
		grants = append(grants, grant)
	}
	return grants
}

// TestSuspicion guards against connections that are opened to test a service without need: failures count within their window, and until a
// connection is made.
func TestSuspicion(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var r reach
	c.Check(r.recordFailure("e1", 3, now), qt.IsFalse)
	c.Check(r.recordFailure("e2", 3, now.Add(suspicionWindow+1)), qt.IsFalse)
	r.recordConnection()
	c.Check(r.recordFailure("e3", 3, now.Add(suspicionWindow+2)), qt.IsFalse)
	c.Check(r.due(now.Add(suspicionWindow+2)), qt.IsFalse)
	c.Check(r.recordFailure("e1", 3, now.Add(suspicionWindow+3)), qt.IsTrue)
	c.Check(r.due(now.Add(suspicionWindow+3)), qt.IsTrue)
	c.Check(r.recordTest(false), qt.IsTrue)
	c.Check(r.recordTest(false), qt.IsFalse)
	c.Check(r.recordTest(true), qt.IsTrue)
}

// TestUsableEndpointsUnreachable guards against callers of an instance that reaches only endpoints that may not be used: they drain, or their
// zone is evacuated. The usable ones are out of reach, be it a single one.
func TestUsableEndpointsUnreachable(t *testing.T) {
	for name, exclude := range map[string]func(table *Table){
		"draining": func(table *Table) {
			draining := report("a2", "app", "b")
			draining.Draining = true
			table.Apply(draining)
		},
		"evacuated": func(table *Table) { table.Evacuate(map[string]bool{"b": true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := newTable(report("a1", "app", "a"), report("a2", "app", "b"))
				exclude(table)
				network := &cuttableNetwork{reachable: func(address string) bool { return address == "a2:80" }}
				monitor := NewReachMonitor(table, network, telemetry.New(), slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- monitor.Run(ctx) }()
				grantsAt(c, table, []string{"a1"})[0].Done(Unreachable)
				time.Sleep(2 * reachTestInterval)
				c.Check(table.Reachable("app"), qt.IsFalse)
				cancel()
				<-done
			})
		})
	}
}
