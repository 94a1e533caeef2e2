package machine

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine/machinepb"
	"plumbarrow.example/plumbarrow/verdict"
)

// Conns gives shared drpc connections to other entry instances. Callers do not close them.
type Conns interface {
	Conn(ctx context.Context, member Member) (drpc.Conn, error)
}

// Dial opens and closes a connection to an endpoint at address (IP:port). An error means that nothing
// accepted it before ctx ended.
type Dial func(ctx context.Context, address string) error

// Parts are the dependencies of SharedPermits.
type Parts struct {
	Settings Settings
	Table    *Table
	Members  Members
	// ListedInstances returns how many instances of this zone the platform's list shows, unreachable ones
	// included.
	ListedInstances func() int
	Conns           Conns
	Dial            Dial
	// PermitFreed is called when the pool may have a free permit again. It must not block.
	PermitFreed func(pool string)
	// TriggerRound requests an exchange with the other instances at once, after an urgent change of an
	// endpoint. It must not block.
	TriggerRound func()
	Counters     *telemetry.Counters
	Log          *slog.Logger
}

// SharedPermits implements Permits across all entry instances of a zone. A cold endpoint's permits
// are granted by its home instance; a warm one's limit is split into slots that the instances own.
// Safe for concurrent use.
type SharedPermits struct {
	Parts
	self            Member
	members         []Member // of the ring; used by Run only
	listedInstances int      // used by Run only
	ring            atomic.Pointer[Ring]
	reportRequested chan struct{}
	lastTick        atomic.Int64 // Unix nanoseconds of Run's last tick; 0 before the first

	mu        sync.Mutex
	reporting map[InstanceID]bool // homes with a report in flight
	calls     sync.WaitGroup
}

var (
	_ Permits                     = (*SharedPermits)(nil)
	_ machinepb.DRPCPermitsServer = (*SharedPermits)(nil)
)

// NewSharedPermits returns permits over the table's endpoints. The caller starts Run.
func NewSharedPermits(parts Parts) *SharedPermits {
	p := &SharedPermits{
		Parts:           parts,
		self:            parts.Members.Self(),
		reportRequested: make(chan struct{}, 1),
		reporting:       make(map[InstanceID]bool),
	}
	p.refreshRing(time.Now())
	return p
}

// Register serves permits to peers for the endpoints whose home is this instance.
func (p *SharedPermits) Register(mux drpc.Mux) error { return machinepb.DRPCRegisterPermits(mux, p) }

// permit is one request in flight.
type permit struct {
	permits *SharedPermits
	target  *trackedEndpoint
	epoch   uint32 // of the endpoint when the permit was granted
}

var _ Permit = (*permit)(nil)

// Acquire implements Permits.
func (p *SharedPermits) Acquire(ctx context.Context, endpoint *Endpoint) (Permit, *verdict.Refusal) {
	target := p.Table.get(endpoint.ID)
	if target == nil {
		return nil, unavailable(endpoint)
	}
	now := time.Now()
	target.mu.Lock()
	switch {
	case !target.takesWork(endpoint.Incarnation, now):
		target.mu.Unlock()
		return nil, unavailable(endpoint)
	case target.usesOwnSlots():
		return p.finishAcquire(target, target.endpoint.InFlight < target.usableSlots(now))
	case target.home.isSelf:
		return p.finishAcquire(target, p.grantLocal(target, now))
	case now.Before(target.local.backoffUntil):
		return p.finishAcquire(target, false)
	}
	message, home := target.newPermitRequest(), target.home.owner
	target.mu.Unlock()
	standing := p.requestPermit(ctx, home, message)
	target.mu.Lock()
	return p.finishAcquire(target, target.applyPermitReply(standing, time.Now(), p.earliestGrant()))
}

// grantLocal decides on a request of the home's own instance for a permit and records the outcome.
func (p *SharedPermits) grantLocal(target *trackedEndpoint, now time.Time) bool {
	wait := &target.home.wait
	granted := !p.stalled(now) && target.mayGrant(p.ring.Load(), p.self.ID, target.endpoint.InFlight, wait, now)
	wait.recordRequest(granted, now)
	return granted
}

// finishAcquire completes an acquisition and unlocks the endpoint.
func (p *SharedPermits) finishAcquire(target *trackedEndpoint, ok bool) (Permit, *verdict.Refusal) {
	defer target.mu.Unlock()
	if !ok {
		p.Counters.Inc("plumbarrow_permits_denied_total")
		return nil, verdict.Refuse(verdict.RetryPermit, "endpoint %s has no permit left", target.endpoint.ID)
	}
	target.endpoint.InFlight++
	target.breaker.start()
	return &permit{permits: p, target: target, epoch: target.replicated.epoch}, nil
}

func unavailable(endpoint *Endpoint) *verdict.Refusal {
	return verdict.Refuse(verdict.RetryUnavailable, "endpoint %s takes no work", endpoint.ID)
}

// stalled reports whether this process was paused for longer than stallAfter: another instance may
// have become home of its endpoints meanwhile.
func (p *SharedPermits) stalled(now time.Time) bool {
	lastTick := p.lastTick.Load()
	return lastTick != 0 && now.UnixNano()-lastTick > int64(stallAfter)
}

// earliestGrant returns the time from which a home grants permits of an endpoint that turns cold
// now.
func (p *SharedPermits) earliestGrant() time.Time {
	return time.Now().Add(millis(p.Settings.SettleMS))
}

// Done implements Permit.
func (m *permit) Done(result Result) {
	target := m.target
	p := m.permits
	now := time.Now()
	target.mu.Lock()
	target.endpoint.InFlight--
	epoch := target.replicated.epoch
	urgent := target.observe(result, m.epoch, now, p.earliestGrant())
	cold := target.replicated.epoch != epoch
	if target.home.isSelf {
		target.trySwitchToSlots(p.ring.Load(), now)
	}
	remote := !target.usesOwnSlots() && !target.home.isSelf
	if remote {
		target.local.dirty = true
		target.local.backoffUntil = time.Time{}
	}
	pool, id := target.endpoint.Pool, target.endpoint.ID
	target.mu.Unlock()
	if cold {
		p.Counters.Inc("plumbarrow_endpoint_cold_total")
		p.Log.Info("endpoint is cold", "pool", pool, "endpoint", id, "failure", result.Failure, "refused", result.ConnectionRefused, "restarted", result.Restarted)
	}
	if urgent {
		p.TriggerRound()
	}
	if remote || cold {
		p.requestReport()
	}
	p.PermitFreed(pool)
}

func (p *SharedPermits) requestReport() {
	select {
	case p.reportRequested <- struct{}{}:
	default: // a report is already requested
	}
}
