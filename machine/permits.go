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

// Conns gives shared drpc connections to other entry instances.
type Conns interface {
	Conn(ctx context.Context, member Member) (drpc.Conn, error)
}

// Dial opens and closes a connection to an endpoint, to see whether something listens there.
type Dial func(ctx context.Context, address string) error

// Parts are what permits work with.
type Parts struct {
	Settings Settings
	Table    *Table
	Members  Members
	// Listed returns how many instances of this zone the platform's list shows, those that do not
	// answer included.
	Listed func() int
	Conns  Conns
	Dial   Dial
	// Freed is called when the pool may have room again.
	Freed func(pool string)
	// Nudge is called when news of an endpoint should reach the other instances at once.
	Nudge    func()
	Counters *telemetry.Counters
	Log      *slog.Logger
}

// SharedPermits implements Permits for all entry instances of a zone together. A cold endpoint's
// permits come from its home instance; a warm one's limit is split into slots that the instances
// own. Safe for concurrent use.
type SharedPermits struct {
	Parts
	self    Member
	members []Member // of the ring; Run only
	listed  int      // Run only
	ring    atomic.Pointer[Ring]
	kick    chan struct{}
	ticked  atomic.Int64 // Unix nanoseconds of Run's last tick; 0 before the first

	mu    sync.Mutex
	busy  map[InstanceID]bool // homes with a report under way
	calls sync.WaitGroup
}

var (
	_ Permits                     = (*SharedPermits)(nil)
	_ machinepb.DRPCPermitsServer = (*SharedPermits)(nil)
)

// NewPermits returns permits over the table's endpoints. Run must be running.
func NewPermits(parts Parts) *SharedPermits {
	p := &SharedPermits{
		Parts: parts,
		self:  parts.Members.Self(),
		kick:  make(chan struct{}, 1),
		busy:  make(map[InstanceID]bool),
	}
	p.refreshRing(time.Now())
	return p
}

// Register serves the permits of this instance's homes to peers.
func (p *SharedPermits) Register(mux drpc.Mux) error { return machinepb.DRPCRegisterPermits(mux, p) }

// permit is one request in flight.
type permit struct {
	permits *SharedPermits
	one     *tracked
	epoch   uint32
}

var _ Permit = (*permit)(nil)

// Acquire implements Permits.
func (p *SharedPermits) Acquire(ctx context.Context, endpoint *Endpoint) (Permit, *verdict.Refusal) {
	one := p.Table.get(endpoint.ID)
	if one == nil {
		return nil, unavailable(endpoint)
	}
	now := time.Now()
	one.mu.Lock()
	switch {
	case !one.takesWork(endpoint.Incarnation, now):
		one.mu.Unlock()
		return nil, unavailable(endpoint)
	case one.sharing():
		return p.finishAcquire(one, one.endpoint.InFlight < one.ownSlots(now))
	case one.home.self:
		return p.finishAcquire(one, p.grantSelf(one, now))
	case now.Before(one.holds.fullUntil):
		return p.finishAcquire(one, false)
	}
	message, home := one.ask(), one.home.owner
	one.mu.Unlock()
	standing := p.askHome(ctx, home, message)
	one.mu.Lock()
	return p.finishAcquire(one, one.answered(standing, time.Now(), p.settledAt()))
}

// grantSelf gives the home's own instance a permit.
func (p *SharedPermits) grantSelf(one *tracked, now time.Time) bool {
	turn := &one.home.turn
	granted := !p.stalled(now) && one.grant(p.ring.Load(), p.self.ID, one.endpoint.InFlight, turn, now)
	turn.asked(granted, now)
	return granted
}

// finishAcquire ends an acquisition and unlocks the endpoint.
func (p *SharedPermits) finishAcquire(one *tracked, ok bool) (Permit, *verdict.Refusal) {
	defer one.mu.Unlock()
	if !ok {
		p.Counters.Inc("plumbarrow_permits_denied_total")
		return nil, verdict.Refuse(verdict.RetryPermit, "endpoint %s has no permit left", one.endpoint.ID)
	}
	one.endpoint.InFlight++
	one.breaker.start()
	return &permit{permits: p, one: one, epoch: one.warmth.epoch}, nil
}

func unavailable(endpoint *Endpoint) *verdict.Refusal {
	return verdict.Refuse(verdict.RetryUnavailable, "endpoint %s takes no work", endpoint.ID)
}

// stalled says that this process did not run for a while: another instance may have become home
// of its endpoints meanwhile.
func (p *SharedPermits) stalled(now time.Time) bool {
	ticked := p.ticked.Load()
	return ticked != 0 && now.UnixNano()-ticked > int64(stallAfter)
}

// settledAt is the earliest grant at an endpoint that turned cold now.
func (p *SharedPermits) settledAt() time.Time {
	return time.Now().Add(millis(p.Settings.SettleMS))
}

// Done implements Permit.
func (m *permit) Done(result Result) {
	one := m.one
	p := m.permits
	now := time.Now()
	one.mu.Lock()
	one.endpoint.InFlight--
	epoch := one.warmth.epoch
	urgent := one.observe(result, m.epoch, now, p.settledAt())
	cold := one.warmth.epoch != epoch
	if one.home.self {
		one.share(p.ring.Load(), now)
	}
	remote := !one.sharing() && !one.home.self
	if remote {
		one.holds.dirty = true
		one.holds.fullUntil = time.Time{}
	}
	pool, id := one.endpoint.Pool, one.endpoint.ID
	one.mu.Unlock()
	if cold {
		p.Counters.Inc("plumbarrow_endpoint_cold_total")
		p.Log.Info("endpoint is cold", "endpoint", id, "failure", result.Failure, "refused", result.ConnectionRefused, "restarted", result.Restarted)
	}
	if urgent {
		p.Nudge()
	}
	if remote || cold {
		p.flushSoon()
	}
	p.Freed(pool)
}

func (p *SharedPermits) flushSoon() {
	select {
	case p.kick <- struct{}{}:
	default: // a flush is already due
	}
}
