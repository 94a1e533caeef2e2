package intake

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/telemetry"
)

// TestEvictionOrder answers a crowd whose requests stop short of their end, among callers that upload and callers between two requests.
func TestEvictionOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	stalledSmall := holding{stage: inBody, bytes: 10, progressAt: ago(2 * time.Second)}
	stalledHead := holding{stage: inHead, bytes: 5, progressAt: ago(3 * time.Second)}
	large := holding{stage: inBody, bytes: 1000, progressAt: ago(10 * time.Millisecond)}
	small := holding{stage: inBody, bytes: 20, progressAt: ago(time.Millisecond)}
	kept := holding{stage: idle, bytes: 1, progressAt: ago(time.Minute)}
	for _, test := range []struct {
		name          string
		short         shortage
		first, second holding
	}{
		{"of bytes, a stalled one before a larger one", ofBytes, stalledSmall, large},
		{"of bytes, the larger of two stalled ones", ofBytes, stalledSmall, stalledHead},
		{"of bytes, the larger one", ofBytes, large, small},
		{"of connections, a stalled one before an idle one", ofConnections, stalledHead, kept},
		{"of connections, an idle one before one that makes progress", ofConnections, kept, small},
		{"of connections, the one without progress for longest", ofConnections, large, small},
	} {
		c.Check(evictBefore(test.first, test.second, test.short, now), qt.IsTrue, qt.Commentf("%s", test.name))
		c.Check(evictBefore(test.second, test.first, test.short, now), qt.IsFalse, qt.Commentf("%s, reversed", test.name))
	}
	served := holding{stage: inService, bytes: 5000, progressAt: now, writingAt: ago(time.Second)}
	c.Check(large.yieldsTo(small, ofBytes, now), qt.IsTrue)
	c.Check(small.yieldsTo(large, ofBytes, now), qt.IsFalse)
	c.Check(small.yieldsTo(large, ofConnections, now), qt.IsTrue)
	c.Check(stalledSmall.yieldsTo(large, ofBytes, now), qt.IsTrue)
	c.Check(kept.yieldsTo(small, ofBytes, now), qt.IsTrue)
	c.Check(small.yieldsTo(served, ofBytes, now), qt.IsTrue)
	c.Check(served.yieldsTo(small, ofBytes, now), qt.IsFalse)
	c.Check(served.yieldsTo(small, ofConnections, now), qt.IsFalse)
	unread := holding{stage: inService, bytes: 5000, progressAt: now, writingAt: ago(2 * blockedTime)}
	c.Check(unread.yieldsTo(small, ofBytes, now), qt.IsTrue)
	c.Check(unread.yieldsTo(kept, ofConnections, now), qt.IsTrue)
	c.Check(evictBefore(small, unread, ofBytes, now), qt.IsTrue)
	c.Check(evictBefore(unread, small, ofBytes, now), qt.IsFalse)
}

// pipeGuard is a guard over connections of net.Pipe.
type pipeGuard struct {
	*Guard
	c *qt.C
}

func newPipeGuard(t *testing.T, limits Limits) pipeGuard {
	return pipeGuard{New(limits, telemetry.New(), slog.New(slog.DiscardHandler)), qt.New(t)}
}

func (g pipeGuard) connect() *Account {
	conn, other := net.Pipe()
	g.c.Cleanup(func() { _ = conn.Close(); _ = other.Close() })
	return g.admit(conn)
}

// upload returns an account whose body holds n bytes besides the connection's own, or the error.
func (g pipeGuard) upload(n int64) (*Account, error) {
	account := g.connect()
	g.c.Assert(account, qt.IsNotNil)
	g.c.Assert(account.setStage(inBody), qt.IsNil)
	return account, account.Grow(n)
}

// TestCrowdYields answers a crowd of large bodies that stop short of their end: a small request gets in at once, a large one once they
// have stalled, and what is in service stays.
func TestCrowdYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 100})
		served, err := g.upload(1 << 20)
		g.c.Assert(err, qt.IsNil)
		g.c.Assert(served.Begin(), qt.IsNil)
		crowd := []*Account{}
		for range 8 {
			account, err := g.upload(1 << 20)
			g.c.Assert(err, qt.IsNil)
			crowd = append(crowd, account)
			time.Sleep(time.Millisecond)
		}
		_, err = g.upload(3 << 20)
		g.c.Check(errors.Is(err, ErrFull), qt.IsTrue)
		_, err = g.upload(900 << 10)
		g.c.Check(err, qt.IsNil)
		g.c.Check(crowd[0].Begin(), qt.ErrorIs, ErrEvicted) // of equal ones the one without progress for longest
		g.c.Check(crowd[1].Begin(), qt.IsNil)
		time.Sleep(2 * stallTime)
		_, err = g.upload(3 << 20)
		g.c.Check(err, qt.IsNil)
		g.c.Check(served.Grow(1<<10), qt.IsNil)
		g.c.Check(crowd[1].Grow(1<<10), qt.IsNil)
		g.c.Check(g.held() <= g.limits.Bytes, qt.IsTrue)
	})
}

// TestConnectionsYield answers more connections than descriptors: new ones replace those that send nothing, but none in service.
func TestConnectionsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 2})
		first, second := g.connect(), g.connect()
		g.c.Assert(second.received(1, 0), qt.IsNil)
		third := g.connect()
		g.c.Check(first.received(1, 0), qt.ErrorIs, ErrEvicted)
		g.c.Check(second.Begin(), qt.IsNil)
		g.c.Check(third.Begin(), qt.IsNil)
		g.c.Check(g.connect(), qt.IsNil)
		third.endRequest()
		g.c.Check(g.connect(), qt.IsNotNil)
		g.c.Check(g.connections(), qt.Equals, 2)
	})
}

// TestUnreadAnswersYield answers callers that take up all connections and don't read their answers: a new connection takes the place of the
// one that has not read for longest, whose answer ends without its last bytes.
func TestUnreadAnswersYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 2})
		ends := make(chan error, 2)
		for range 2 {
			account := g.connect()
			g.c.Assert(account.Begin(), qt.IsNil)
			go func() {
				_, err := (&guardedConn{Conn: account.conn, account: account}).Write(make([]byte, 1<<10))
				ends <- err
			}()
			time.Sleep(time.Second)
		}
		g.c.Check(g.connect(), qt.IsNil)
		time.Sleep(blockedTime - time.Second)
		g.c.Check(g.connect(), qt.IsNotNil)
		synctest.Wait()
		g.c.Check(ends, qt.HasLen, 1)
		g.c.Check(<-ends, qt.ErrorIs, io.ErrClosedPipe)
		g.c.Check(g.connections(), qt.Equals, 2)
	})
}

// TestIdleConnectionsYield answers memory that idle connections use up: a new connection and a body take their room.
func TestIdleConnectionsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 * connectionBytes, Connections: 100})
		for range 10 {
			g.c.Assert(g.connect(), qt.IsNotNil)
			time.Sleep(time.Millisecond)
		}
		g.c.Check(g.connect(), qt.IsNotNil)
		_, err := g.upload(3 * connectionBytes)
		g.c.Check(err, qt.IsNil)
		g.c.Check(g.held() <= g.limits.Bytes, qt.IsTrue)
	})
}

// TestKeptConnectionsStay answers a crowd that uses up connections and memory beside a caller that keeps its connection between two
// requests.
func TestKeptConnectionsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 20})
		ordinary := g.connect()
		g.c.Assert(ordinary.Begin(), qt.IsNil)
		ordinary.endRequest()
		time.Sleep(time.Minute)
		for n := range int64(60) {
			_, _ = g.upload(1<<20 + n)
			g.c.Assert(g.connect(), qt.IsNotNil)
			time.Sleep(10 * time.Millisecond)
		}
		g.c.Check(ordinary.received(100, 0), qt.IsNil)
		g.c.Check(ordinary.Begin(), qt.IsNil)
	})
}

// TestKeptConnectionBeginsHead answers a burst of connections at the moment at which a caller sends the next request on a connection that it
// has kept for longer than stallTime: the burst takes the places of requests whose last byte is older.
func TestKeptConnectionBeginsHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const crowd = 8
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 1 + crowd})
		conn, other := net.Pipe()
		defer func() { _ = conn.Close(); _ = other.Close() }()
		ordinary := g.connect()
		g.c.Assert(ordinary.Begin(), qt.IsNil)
		for range 2000 {
			ordinary.endRequest()
			time.Sleep(2 * stallTime)
			var opened [2 * crowd]*Account
			for n := range crowd {
				opened[n] = g.admit(conn)
				g.c.Assert(opened[n].received(1, 0), qt.IsNil)
			}
			time.Sleep(time.Millisecond)
			var burst sync.WaitGroup
			for n := range crowd {
				burst.Go(func() { opened[crowd+n] = g.admit(conn) })
			}
			g.c.Assert(ordinary.received(100, 0), qt.IsNil)
			burst.Wait()
			g.c.Assert(ordinary.Begin(), qt.IsNil)
			for _, account := range opened {
				account.Close()
			}
		}
	})
}

// TestRefusedConnectionsYield answers callers that send on after a refusal: a new connection takes the place of one of them.
func TestRefusedConnectionsYield(t *testing.T) {
	g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 2})
	for range 2 {
		account, err := g.upload(1 << 20)
		g.c.Assert(err, qt.IsNil)
		account.refuse()
		g.c.Check(account.received(100, 0), qt.IsNil)
	}
	g.c.Check(g.held(), qt.Equals, int64(2*connectionBytes))
	g.c.Check(g.connect(), qt.IsNotNil)
	g.c.Check(g.connections(), qt.Equals, 2)
}

// TestSlowUnwinding answers a crowd of bodies that are evicted faster than their goroutines end: another large body finds no room until
// they have, a small one does.
func TestSlowUnwinding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 100})
		var crowd []*Account
		for range 4 {
			for range 9 {
				account, err := g.upload(1 << 20)
				if errors.Is(err, ErrFull) {
					break
				}
				crowd = append(crowd, account)
			}
			time.Sleep(2 * stallTime)
		}
		g.c.Check(len(crowd) < 25, qt.IsTrue, qt.Commentf("%d bodies of 1 MiB held or evicted", len(crowd)))
		_, err := g.upload(1 << 20)
		g.c.Check(err, qt.ErrorIs, ErrFull)
		_, err = g.upload(20 << 10)
		g.c.Check(err, qt.IsNil)
		for _, account := range crowd {
			account.refuse()
		}
		_, err = g.upload(1 << 20)
		g.c.Check(err, qt.IsNil)
		g.c.Check(g.unwinding, qt.Equals, int64(0))
	})
}

// TestUnwindingConnection checks that the bytes of a connection that was closed for another one count until its goroutine has closed it too.
func TestUnwindingConnection(t *testing.T) {
	g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 1})
	account, err := g.upload(1 << 20)
	g.c.Assert(err, qt.IsNil)
	g.c.Assert(g.connect(), qt.IsNotNil)
	g.c.Check(g.unwinding, qt.Equals, int64(1<<20+connectionBytes))
	account.Close()
	g.c.Check(g.unwinding, qt.Equals, int64(0))
	g.c.Check(g.connections(), qt.Equals, 1)
}

// TestNewConnectionStays answers bodies that use up the memory while an ordinary caller connects: the largest of them finds no room instead
// of taking the connection from which no byte has come yet.
func TestNewConnectionStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 100})
		var largest *Account
		for n := range int64(9) {
			account, err := g.upload(1<<20 + n)
			g.c.Assert(err, qt.IsNil)
			largest = account
		}
		ordinary := g.connect()
		g.c.Check(largest.Grow(1<<20), qt.ErrorIs, ErrFull)
		g.c.Check(ordinary.received(100, 0), qt.IsNil)
		g.c.Check(ordinary.Begin(), qt.IsNil)
	})
}

// TestOwnerShare answers one customer whose bodies would take all the memory: it is refused beyond half, others are not, and a single
// request may be longer than half.
func TestOwnerShare(t *testing.T) {
	g := newPipeGuard(t, Limits{Bytes: 10 << 20, Connections: 100})
	hold := func(owner string, n int64) error {
		account := g.connect()
		account.SetOwner(owner)
		g.c.Assert(account.setStage(inBody), qt.IsNil)
		err := account.Grow(n)
		_ = account.Begin()
		return err
	}
	g.c.Check(hold("a", 6<<20), qt.IsNil)
	g.c.Check(hold("a", 1<<20), qt.ErrorIs, ErrFull)
	g.c.Check(hold("b", 1<<20), qt.IsNil)
	g.c.Check(hold("b", 2<<20), qt.IsNil)
}

// TestLargeBodyInCalm answers a body that is allowed but larger than the memory for callers, beside idle connections.
func TestLargeBodyInCalm(t *testing.T) {
	g := newPipeGuard(t, Limits{Bytes: 1 << 20, Connections: 100})
	for range 10 {
		g.connect()
	}
	account, err := g.upload(0)
	g.c.Assert(err, qt.IsNil)
	body, err := ReadAll(account, bytes.NewReader(make([]byte, 3<<20)), -1, 4<<20)
	g.c.Check(err, qt.IsNil)
	g.c.Check(len(body), qt.Equals, 3<<20)
	g.c.Check(g.connections(), qt.Equals, 11)
	account.endRequest()
	g.c.Check(g.held(), qt.Equals, int64(11*connectionBytes))
}

// TestReadAll checks lengths around the blocks' bounds, announced or not, and the bytes that are returned with an error.
func TestReadAll(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 12 << 10, 64 << 10, 300<<10 + 7} {
		want := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, length := range []int{-1, size} {
			for _, reader := range []io.Reader{bytes.NewReader(want), iotest.DataErrReader(bytes.NewReader(want)), iotest.HalfReader(bytes.NewReader(want))} {
				body, err := ReadAll(nil, reader, int64(length), 1<<20)
				c.Check(err, qt.IsNil)
				c.Check(bytes.Equal(body, want), qt.IsTrue, qt.Commentf("%d bytes, announced %d", size, length))
			}
		}
	}
	body, err := ReadAll(nil, bytes.NewReader(make([]byte, 9000)), -1, 5000)
	c.Check(err, qt.ErrorIs, ErrTooLong)
	c.Check(len(body) > 5000, qt.IsTrue)
	broken := io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(io.ErrUnexpectedEOF))
	body, err = ReadAll(nil, broken, -1, 1<<20)
	c.Check(err, qt.ErrorIs, io.ErrUnexpectedEOF)
	c.Check(len(body), qt.Equals, 5000)
}
