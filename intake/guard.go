// Package intake bounds what callers make an instance hold: connections, and the bytes of heads, bodies and buffered answers. Where a bound
// is reached, it evicts connections whose requests are not whole in favour of others. The decisions are in evict.go; design note 0016
// says what was weighed.
package intake

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/internal/telemetry"
)

const (
	// connectionBytes is what an open connection holds by itself: buffers for reading and writing of 4 KiB each, and the stacks of its
	// goroutines.
	connectionBytes = 24 << 10
	// receiveBuffer is the kernel's buffer for the bytes of a connection that the process has not read, in bytes. The kernel's default
	// grows to several MiB.
	receiveBuffer = 64 << 10
	// ownerShare is the largest share of the bytes that the bodies of one owner may hold, except for a single one.
	ownerShare = 0.5
	// smallShare is the share of the bytes up to which a body counts as small. Small ones get room while others that were evicted still hold
	// theirs.
	smallShare = 0.01
	// calmShare is the share of the bytes up to which other connections are calm. A single request may then exceed the limit, so that a
	// body is accepted that is allowed but larger than the limit.
	calmShare = 0.5
	// restTimeout bounds the time for reading the rest of a body after the request was answered.
	restTimeout = time.Second
	// logInterval is the least time between two log lines on evictions.
	logInterval = time.Second
)

// Reasons for which a request is not taken.
var (
	// ErrFull means that the bytes are used up by connections that do not yield.
	ErrFull = errors.New("the memory for callers' requests is used up")
	// ErrEvicted means that the connection had to yield.
	ErrEvicted = errors.New("the request yielded its memory to others before it was whole")
	// ErrHeadTooLarge means that the head or the trailer has too many bytes or fields.
	ErrHeadTooLarge = errors.New("the request's head or trailer is larger than allowed")
)

// Limits bound what all callers together may make the instance hold.
type Limits struct {
	Bytes       int64
	Connections int
	// HeadBytes returns the greatest length of a head's fields in force, or 0 if there is none. It may be nil.
	HeadBytes func() int64
}

// Guard keeps the accounts of all connections. Safe for concurrent use.
type Guard struct {
	limits   Limits
	counters *telemetry.Counters
	log      *slog.Logger

	mu        sync.Mutex
	accounts  map[*Account]struct{}
	open      int   // connections that are not closed, including evicted ones
	bytes     int64 // of all accounts
	unwinding int64 // bytes of evicted accounts whose goroutines may still refer to them
	owners    map[string]int64
	turnedOff int // connections evicted or refused since loggedAt
	loggedAt  time.Time
}

// New returns a guard without connections.
func New(limits Limits, counters *telemetry.Counters, log *slog.Logger) *Guard {
	g := &Guard{
		limits: limits, counters: counters, log: log, accounts: make(map[*Account]struct{}), owners: make(map[string]int64),
	}
	counters.Gauge("plumbarrow_callers_connections", func() float64 { return float64(g.connections()) })
	counters.Gauge("plumbarrow_callers_held_bytes", func() float64 { return float64(g.held()) })
	return g
}

func (g *Guard) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *Guard) held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

// headBytes returns the greatest length of a head, request line included.
func (g *Guard) headBytes() int64 {
	inForce := int64(0)
	if g.limits.HeadBytes != nil {
		inForce = g.limits.HeadBytes()
	}
	if inForce <= 0 {
		inForce = defaultHeadBytes
	}
	return min(inForce+requestLineBytes, maxHeadBytes)
}

// Account is what one connection makes the instance hold. All methods accept nil, an account without bounds, for requests that come by
// other ways than a connection of the guard.
type Account struct {
	guard *Guard
	conn  net.Conn

	// Guarded by guard.mu.
	holding
	connected  bool // counted in guard.open
	owner      string
	ownerBytes int64 // of bytes, counted for owner
	wholeBody  bool  // the body of the present request was read to its end
	tooLarge   bool  // the trailer of the present request is too large
	evicted    bool
	unwinding  int64 // part of guard.unwinding
	closed     bool
}

// Forwarded returns an account without a connection, for a request that a peer has received. Its bytes are never taken from it. Close ends
// it. A nil guard bounds nothing.
func (g *Guard) Forwarded() *Account {
	if g == nil {
		return nil
	}
	return &Account{guard: g, holding: holding{stage: inService, progressAt: time.Now()}}
}

type (
	contextKey     struct{}
	connContextKey struct{}
)

// NewContext returns a context of a request that the account is charged for.
func NewContext(ctx context.Context, account *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, account)
}

// FromContext returns the account that is charged for a request, or nil.
func FromContext(ctx context.Context) *Account {
	account, _ := ctx.Value(contextKey{}).(*Account)
	return account
}

// Attach sets the hooks and the bound on heads of a server whose listener is of Guard.Listen, and wraps its handler.
func (g *Guard) Attach(server *http.Server) {
	server.Handler = handler{server.Handler}
	server.DisableGeneralOptionsHandler = true // it reads bodies that the framing is not told of
	server.MaxHeaderBytes = maxHeadBytes       // the guard has the bound in force
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*guardedConn); ok {
			return NewContext(context.WithValue(ctx, connContextKey{}, c), c.account)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*guardedConn); ok && state == http.StateIdle {
			c.account.endRequest()
		}
	}
}

// handler marks requests as in service while the next handler serves them.
type handler struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	account := FromContext(r.Context())
	if account.Begin() != nil {
		panic(http.ErrAbortHandler) // evicted since the head was read
	}
	if !r.ProtoAtLeast(1, 1) {
		defer account.resetIfCut()
	}
	if c, ok := r.Context().Value(connContextKey{}).(*guardedConn); ok && r.Body != nil && r.Body != http.NoBody {
		c.framing.setBody(r.ContentLength)
	}
	h.next.ServeHTTP(w, r)
	if r.Body != nil && r.Body != http.NoBody && !account.hasWholeBody() {
		// net/http reads on, so that the caller gets the answer before its connection is closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(restTimeout))
	}
}

// resetIfCut resets the connection of a handler that panics. Callers that speak HTTP/1.0 get answers without a length that end with the
// connection, so that an orderly end would complete a cut one.
func (a *Account) resetIfCut() {
	cause := recover()
	if cause == nil {
		return
	}
	if a != nil {
		if conn, ok := a.conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = conn.SetLinger(0)
		}
	}
	panic(cause)
}

// admit opens an account for a new connection, or returns nil if there is no room for it. It evicts another connection if needed.
func (g *Guard) admit(conn net.Conn) *Account {
	now := time.Now()
	account := &Account{guard: g, conn: conn, holding: holding{stage: idle, progressAt: now}}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.limits.Connections {
		victim := g.victim(account, account.holding, ofConnections, now)
		if victim == nil {
			g.count("refused", now)
			return nil
		}
		g.evict(victim, now)
		// An evicted connection would hold its descriptor until its handler has ended.
		victim.abandon()
	}
	if !g.makeRoom(account, connectionBytes, now) {
		g.count("refused", now)
		return nil
	}
	g.accounts[account] = struct{}{}
	account.connected = true
	g.open++
	account.charge(connectionBytes)
	return account
}

// makeRoom evicts connections until the account can grow by n bytes. It returns false if too few yield. The caller holds the lock.
func (g *Guard) makeRoom(account *Account, n int64, now time.Time) bool {
	wanting := account.holding
	wanting.bytes += n
	if g.unwinding > g.limits.Bytes && wanting.arriving() && float64(wanting.bytes) > smallShare*float64(g.limits.Bytes) {
		return false
	}
	for g.bytes+n > g.limits.Bytes {
		if float64(g.bytes-account.bytes) <= calmShare*float64(g.limits.Bytes) {
			return true
		}
		victim := g.victim(account, wanting, g.shortageOfBytes(), now)
		if victim == nil {
			return false
		}
		g.evict(victim, now)
	}
	return true
}

// shortageOfBytes returns which kind of shortage of bytes there is. The caller holds the lock.
func (g *Guard) shortageOfBytes() shortage {
	idleBytes := int64(0)
	for account := range g.accounts {
		if account.stage == idle {
			idleBytes += account.bytes
		}
	}
	if 2*idleBytes > g.bytes {
		return ofIdleBytes
	}
	return ofBytes
}

// victim returns the connection that yields first to the account, whose state is wanting; nil if none does. The caller holds the lock.
func (g *Guard) victim(account *Account, wanting holding, short shortage, now time.Time) *Account {
	var first *Account
	for other := range g.accounts {
		if other == account || !other.yieldsTo(wanting, short, now) {
			continue
		}
		if first == nil || evictBefore(other.holding, first.holding, short, now) {
			first = other
		}
	}
	return first
}

// evict takes the account's bytes and wakes the goroutine that reads from its connection. The connection of a caller that does not read is
// closed: it can't be told, and must not take the answer for complete. The caller holds the lock.
func (g *Guard) evict(account *Account, now time.Time) {
	g.count("evicted", now)
	if account.blocked(now) {
		defer account.abandon()
	}
	account.evicted, account.stage = true, refused
	account.unwinding += account.bytes
	g.unwinding += account.bytes
	account.release(account.bytes)
	_ = account.conn.SetReadDeadline(now)
}

// count counts a connection that was evicted or refused, and logs at most one line in logInterval. The caller holds the lock.
func (g *Guard) count(what string, now time.Time) {
	g.counters.Add("plumbarrow_callers_turned_off_total", "how", what)
	g.turnedOff++
	if now.Sub(g.loggedAt) < logInterval {
		return
	}
	g.log.Warn("callers' connections evicted or refused", "number", g.turnedOff, "connections", g.open, "max_connections", g.limits.Connections,
		"held_bytes", g.bytes, "max_bytes", g.limits.Bytes)
	g.turnedOff, g.loggedAt = 0, now
}

func (g *Guard) countRefused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count("refused", time.Now())
}

// charge adds n bytes. The caller holds the guard's lock.
func (a *Account) charge(n int64) {
	a.bytes += n
	a.guard.bytes += n
	if a.owner != "" {
		a.ownerBytes += n
		a.guard.owners[a.owner] += n
	}
}

// release takes n bytes off. The caller holds the guard's lock.
func (a *Account) release(n int64) {
	a.bytes -= n
	a.guard.bytes -= n
	owned := min(n, a.ownerBytes)
	if owned == 0 {
		return
	}
	a.ownerBytes -= owned
	a.guard.owners[a.owner] -= owned
	if a.guard.owners[a.owner] == 0 {
		delete(a.guard.owners, a.owner)
	}
}

// SetOwner names the customer for whom bytes are counted from now on.
func (a *Account) SetOwner(owner string) {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	if a.ownerBytes == 0 {
		a.owner = owner
	}
}

// Begin marks the connection's request as in service. It returns ErrEvicted if the connection had to yield before.
func (a *Account) Begin() error { return a.setStage(inService) }

func (a *Account) setStage(next stage) error {
	if a == nil {
		return nil
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	if a.evicted {
		return ErrEvicted
	}
	a.stage, a.progressAt = next, time.Now()
	return nil
}

// Grow adds n bytes, before they are allocated. Errors are ErrFull and ErrEvicted.
func (a *Account) Grow(n int64) error {
	if a == nil {
		return nil
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	return a.grow(n, time.Now())
}

// grow is Grow for a caller that holds the guard's lock.
func (a *Account) grow(n int64, now time.Time) error {
	g := a.guard
	if a.evicted || a.closed {
		return ErrEvicted
	}
	a.progressAt = now
	owned := g.owners[a.owner]
	if a.owner != "" && a.stage == inBody && owned > a.ownerBytes && float64(owned+n) > ownerShare*float64(g.limits.Bytes) {
		return ErrFull
	}
	if !g.makeRoom(a, n, now) {
		return ErrFull
	}
	a.charge(n)
	return nil
}

// Shrink gives n bytes back that are not held any more.
func (a *Account) Shrink(n int64) {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	if !a.evicted && !a.closed {
		a.release(min(n, a.bytes))
	}
}

// unwound records that no goroutine refers to bytes that were taken from the account. The caller holds the guard's lock.
func (a *Account) unwound() {
	a.guard.unwinding -= a.unwinding
	a.unwinding = 0
}

// refuse ends a request whose body is not whole. Its bytes must not be referred to any more.
func (a *Account) refuse() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.unwound()
	if a.evicted || a.closed {
		return
	}
	if a.connected {
		a.release(a.bytes - connectionBytes)
	}
	a.stage = refused
}

// setWriting records the begin of a write to the caller, or with the zero time its end.
func (a *Account) setWriting(at time.Time) {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.writingAt = at
}

// endRequest releases what the connection's last request held.
func (a *Account) endRequest() {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	if a.evicted || a.closed {
		return
	}
	a.release(a.bytes - connectionBytes)
	a.owner, a.wholeBody, a.tooLarge = "", false, false
	a.stage, a.progressAt, a.served = idle, time.Now(), true
}

// received records n bytes that were read from the connection, and the bytes that net/http will allocate for their fields besides. It returns
// an error if the connection has to be closed for them.
func (a *Account) received(n, parsed int64) error {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	if a.evicted {
		return ErrEvicted
	}
	now := time.Now()
	switch {
	case a.stage == idle || a.stage == inHead:
		a.stage = inHead
		return a.grow(n+parsed, now)
	case a.stage == inBody && parsed > 0: // a trailer
		return a.grow(n+parsed, now)
	default:
		a.progressAt = now
		return nil
	}
}

// Close ends the account.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.unwound()
	a.end()
}

// abandon closes the connection at once. Its goroutine may still refer to its bytes. The caller holds the guard's lock.
func (a *Account) abandon() {
	a.end()
	_ = a.conn.Close()
}

// end is Close for a caller that holds the guard's lock.
func (a *Account) end() {
	if a.closed {
		return
	}
	a.closed = true
	if a.connected {
		a.guard.open--
	}
	a.release(a.bytes)
	delete(a.guard.accounts, a)
}

func (a *Account) setWholeBody() {
	if a == nil {
		return
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.wholeBody = true
}

func (a *Account) setTooLarge() {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	a.tooLarge = true
}

func (a *Account) isTooLarge() bool {
	if a == nil {
		return false
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	return a.tooLarge
}

func (a *Account) hasWholeBody() bool {
	if a == nil {
		return false
	}
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	return a.wholeBody
}

// inService reports whether a request is in service.
func (a *Account) inService() bool {
	a.guard.mu.Lock()
	defer a.guard.mu.Unlock()
	return a.stage == inService && !a.evicted
}
