package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"plumbarrow.example/plumbarrow/internal/telemetry"
	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/quarantine/quarantinepb"
	"plumbarrow.example/plumbarrow/upstream"
)

// endedAddresses is a Prober that refuses the addresses of endpoints that have ended.
type endedAddresses struct {
	mu    sync.Mutex
	ended map[string]bool
	cut   bool // nothing answers
}

func (e *endedAddresses) Probe(_ context.Context, address string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.cut:
		return context.DeadlineExceeded
	case e.ended[address]:
		return syscall.ECONNREFUSED
	default:
		return nil
	}
}

func (e *endedAddresses) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
}

func (e *endedAddresses) end(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[endpoint] = true
}

// start lets an endpoint start again at its address.
func (e *endedAddresses) start(endpoint string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ended, endpoint)
}

type quarantineFixture struct {
	*Quarantine
	addresses *endedAddresses
}

func newFixture() *quarantineFixture {
	addresses := &endedAddresses{ended: make(map[string]bool)}
	return &quarantineFixture{New(addresses, func() {}, telemetry.New(), slog.New(slog.DiscardHandler)), addresses}
}

func prompt(ids ...uint64) []upstream.PromptPart {
	parts := make([]upstream.PromptPart, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, upstream.PromptPart{ID: id})
	}
	return parts
}

func (f *quarantineFixture) begin(endpoint string, ids ...uint64) *Exposure {
	return f.Begin(machine.EndpointID(endpoint), endpoint, "chat", prompt(ids...))
}

// answer lets a service answer a request with the part.
func (f *quarantineFixture) answer(service string, id uint64) {
	x := f.Begin("alive", "alive", service, prompt(id))
	x.RecordAnswer()
	time.Sleep(settleTime)
	x.End(Closed)
	f.Message(machine.Member{ID: "peer"})
}

// blockedAt reports whether requests with the part to the service are blocked.
func (f *quarantineFixture) blockedAt(service string, id uint64) bool {
	_, blocked := f.Blocked(service, prompt(id))
	return blocked
}

// crash lets an endpoint end while it works on the exposures.
func (f *quarantineFixture) crash(endpoint string, exposures ...*Exposure) {
	f.addresses.end(endpoint)
	for _, x := range exposures {
		x.End(Broken)
	}
	synctest.Wait()
}

// blocks reports whether requests with the part are blocked, after the time for objections.
func (f *quarantineFixture) blocks(id uint64) bool {
	time.Sleep(objectionTime)
	f.Message(machine.Member{ID: "peer"})
	_, blocked := f.Blocked("chat", prompt(id))
	return blocked
}

const (
	common = 1 // part of all requests
	bad    = 2 // part that crashes endpoints
	rare   = 3 // sound part of few requests
)

// TestSuccessiveCrashes checks that a part is blocked after successive crashes, except for services that have answered it, and for blockTime.
func TestSuccessiveCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		f.answer("answers", bad)
		for i := range minGenerations {
			c.Check(f.blocks(bad), qt.IsFalse)
			endpoint := fmt.Sprint("e", i)
			x := f.begin(endpoint, bad)
			x.RecordAnswer()
			time.Sleep(100 * time.Millisecond)
			f.crash(endpoint, x)
		}
		c.Check(f.blocks(bad), qt.IsTrue)
		c.Check(f.blockedAt("answers", bad), qt.IsFalse)
		c.Check(f.blockedAt("new", bad), qt.IsTrue)
		time.Sleep(blockTime)
		c.Check(f.blocks(bad), qt.IsFalse)
	})
}

// TestSimultaneousCrashes guards against blocking sound parts when many endpoints end at once for a reason of their own.
func TestSimultaneousCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		var exposures []*Exposure
		for i := range 18 {
			exposures = append(exposures, f.begin(fmt.Sprint("e", i), common))
		}
		time.Sleep(20 * time.Millisecond)
		for i, x := range exposures {
			f.crash(fmt.Sprint("e", i), x)
		}
		c.Check(f.blocks(common), qt.IsFalse)
	})
}

// TestResetConnections guards against blocking sound parts when connections break while the endpoints live on.
func TestResetConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		for i := range 3 * minGenerations {
			f.begin(fmt.Sprint("e", i), common).End(Broken)
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(f.blocks(common), qt.IsFalse)
	})
}

// TestSoundPartsOfCrashes guards against blocking the other parts of requests whose endpoints were ended by one part: a common one
// that is answered elsewhere, and a rare one that never is.
func TestSoundPartsOfCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		for i := range 5 {
			endpoint := fmt.Sprint("e", i)
			exposures := []*Exposure{f.begin(endpoint, common, bad), f.begin(endpoint, common, bad)}
			if i > 0 && i <= minGenerations {
				exposures = append(exposures, f.begin(endpoint, common, rare))
			}
			time.Sleep(100 * time.Millisecond)
			f.crash(endpoint, exposures...)
			answered := f.begin("alive", common, uint64(100+i))
			answered.RecordAnswer()
			time.Sleep(2 * settleTime)
			answered.End(Closed)
			f.Message(machine.Member{ID: "peer"})
		}
		c.Check(f.blocks(bad), qt.IsTrue)
		c.Check(f.blocks(common), qt.IsFalse)
		c.Check(f.blocks(rare), qt.IsFalse)
	})
}

// TestDiscardedAnswers checks that crashes count whose attempts had ended before: the answer was discarded for a larger model's.
func TestDiscardedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		for i := range minGenerations {
			discarded, broken := fmt.Sprint("small", i), fmt.Sprint("large", i)
			x := f.begin(discarded, bad)
			x.RecordAnswer()
			x.End(Closed)
			y := f.begin(broken, bad)
			y.RecordAnswer()
			time.Sleep(100 * time.Millisecond)
			f.addresses.end(discarded)
			f.crash(broken, y)
			time.Sleep(settleTime)
			f.Message(machine.Member{ID: "peer"})
			synctest.Wait()
			c.Check(f.suspects[newPartRef("chat", prompt(bad)[0]).key].crashes, qt.HasLen, 2*(i+1))
		}
		c.Check(f.blocks(bad), qt.IsTrue)
	})
}

// TestRestartedPeer checks that an instance that has lost its state learns it with its first exchange, and that peers with the
// same state exchange only its digest.
func TestRestartedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, b := newFixture(), newFixture()
		for i := range minGenerations {
			endpoint := fmt.Sprint("e", i)
			x := a.begin(endpoint, bad)
			time.Sleep(100 * time.Millisecond)
			a.crash(endpoint, x)
		}
		c.Check(a.blocks(bad), qt.IsTrue)
		memberA, memberB := machine.Member{ID: "a"}, machine.Member{ID: "b"}
		a.Receive(memberB, b.Message(memberA))
		b.Receive(memberA, a.Message(memberB))
		c.Check(b.blocks(bad), qt.IsTrue)
		a.Receive(memberB, b.Message(memberA))
		c.Check(len(a.Message(memberB)) < 16, qt.IsTrue)
		restarted := newFixture()
		a.Receive(memberB, restarted.Message(memberA))
		restarted.Receive(memberA, a.Message(memberB))
		_, blocked := restarted.Blocked("chat", prompt(bad))
		c.Check(blocked, qt.IsTrue) // a has awaited objections
	})
}

// TestAnswersBetweenCrashes guards against blocking a sound part whose endpoints end one after the other for a reason of their own,
// while others answer it.
func TestAnswersBetweenCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		for i := range 2 * minGenerations {
			endpoint := fmt.Sprint("e", i)
			x := f.begin(endpoint, common)
			time.Sleep(100 * time.Millisecond)
			f.crash(endpoint, x)
			answered := f.begin("alive", common)
			answered.RecordAnswer()
			answered.End(Closed)
			time.Sleep(settleTime)
			f.Message(machine.Member{ID: "peer"})
			time.Sleep(probePause)
			synctest.Wait()
		}
		c.Check(f.blocks(common), qt.IsFalse)
	})
}

// TestProbeWithoutAnswer guards against a part that counts as sound because the instance was cut off when the endpoint ended under it: a
// probe without an answer shows nothing.
func TestProbeWithoutAnswer(t *testing.T) {
	for _, suspectBefore := range []bool{false, true} {
		t.Run(fmt.Sprintf("suspect_before_%v", suspectBefore), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture()
				crash := func(endpoint string) {
					x := f.begin(endpoint, bad)
					x.RecordAnswer()
					time.Sleep(100 * time.Millisecond)
					f.crash(endpoint, x)
					time.Sleep(time.Second)
				}
				if suspectBefore {
					crash("e0")
				}
				f.addresses.setCut(true)
				crash("cut")
				f.Message(machine.Member{ID: "peer"}) // settles
				time.Sleep(3 * time.Second)
				f.Message(machine.Member{ID: "peer"})
				f.addresses.setCut(false)
				for n := range minGenerations {
					crash(fmt.Sprintf("e%d", n+1))
				}
				c.Check(f.blocks(bad), qt.IsTrue)
			})
		})
	}
}

// TestOrdinaryEnds guards against a part that is never blocked because endpoints that end for reasons of their own, again and again, make so many
// other parts suspect that no room is left for it (review/11).
func TestOrdinaryEnds(t *testing.T) {
	for _, test := range []struct {
		name           string
		rounds, parts  int
		answered       bool // the parts of an endpoint that ended are answered elsewhere, again and again
		besideCrashing bool // the endpoints also end between the crashes
	}{
		{"answered parts", 40, 40, true, false},
		{"answered parts beside crashes", 40, 40, true, true},
		{"parts of no other request", 30, 400, false, true},
		{"more parts than one end names", 12, 3 * maxCrashParts, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture()
				sound := func(round, n int) uint64 { return uint64(1000 + round*test.parts + n) }
				ordinary := func(round int) {
					endpoint := fmt.Sprint("own", round)
					var exposures []*Exposure
					for n := range test.parts {
						exposures = append(exposures, f.begin(endpoint, sound(round, n), common))
					}
					time.Sleep(50 * time.Millisecond)
					f.crash(endpoint, exposures...)
					for earlier := range round + 1 {
						for n := 0; test.answered && n < test.parts; n++ {
							answered := f.begin("alive", sound(earlier, n), common)
							answered.RecordAnswer()
							answered.End(Closed)
						}
					}
					time.Sleep(settleTime + 50*time.Millisecond)
					f.Message(machine.Member{ID: "peer"})
					time.Sleep(2 * probePause)
				}
				for round := range test.rounds {
					ordinary(round)
				}
				for n := range minGenerations {
					endpoint := fmt.Sprint("e", n)
					x := f.begin(endpoint, bad, uint64(100+n))
					time.Sleep(100 * time.Millisecond)
					f.crash(endpoint, x)
					if test.besideCrashing {
						ordinary(test.rounds + n)
					}
				}
				c.Check(f.blocks(bad), qt.IsTrue)
				c.Check(len(f.suspects) <= maxSuspects, qt.IsTrue, qt.Commentf("%d suspects", len(f.suspects)))
				for round := range test.rounds {
					_, blocked := f.Blocked("chat", prompt(sound(round, 0)))
					c.Check(blocked, qt.IsFalse)
				}
				time.Sleep(time.Second) // probes end
			})
		})
	}
}

// TestNewsOnce checks that a peer gets what it lacks once, in messages of bounded size, also after a message was lost and after the peer has started
// anew, and that a flood of suspects ends with digests only.
func TestNewsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, b := newFixture(), newFixture()
		memberA, memberB := machine.Member{ID: "a", Incarnation: "1"}, machine.Member{ID: "b", Incarnation: "1"}
		const parts = 3 * maxMessageSuspects
		var exposures []*Exposure
		for n := range parts {
			exposures = append(exposures, a.begin("e", uint64(1000+n)))
		}
		a.crash("e", exposures...)
		exchange := func() (bytes int) {
			toB := a.Message(memberB)
			b.Receive(memberA, toB)
			a.Receive(memberB, b.Message(memberA))
			return len(toB)
		}
		c.Check(len(a.Message(memberB)) <= 50*maxMessageSuspects, qt.IsTrue) // lost
		for range parts/maxMessageSuspects + 1 {
			exchange()
		}
		c.Check(len(b.suspects), qt.Equals, parts)
		c.Check(exchange() < 16, qt.IsTrue)
		c.Check(len(b.Message(memberA)) < 16, qt.IsTrue, qt.Commentf("b returns what it has from a"))

		b, memberB.Incarnation = newFixture(), "2"
		a.Receive(memberB, b.Message(memberA))
		for range parts/maxMessageSuspects + 1 {
			exchange()
		}
		c.Check(len(b.suspects), qt.Equals, parts)
		time.Sleep(newsTime)
		c.Check(exchange() < 16, qt.IsTrue)
		time.Sleep(time.Second) // probes end
	})
}

// TestMovedRoute guards against a part that is judged anew when its route moves to another service or is split (review/15): crashes at all
// services count, and a service that has answered the part is spared at all instances, also while its own endpoints end now and then.
func TestMovedRoute(t *testing.T) {
	for _, test := range []struct {
		name     string
		crashes  []string // services whose endpoints end, one after the other
		answered string   // a service that answers the part, at the other instance
		blocked  map[string]bool
	}{
		{"moved", []string{"chat", "chat", "chat"}, "", map[string]bool{"chat": true, "next": true}},
		{"split", []string{"chat", "next", "third"}, "", map[string]bool{"chat": true, "next": true, "third": true, "fourth": true}},
		{"answered elsewhere", []string{"chat", "chat", "chat"}, "next", map[string]bool{"chat": true, "next": false, "third": true}},
		{"ended where answered", []string{"chat", "chat", "chat", "next"}, "next", map[string]bool{"chat": true, "next": false}},
		{"ends where answered only", []string{"next", "next", "next", "next"}, "next", map[string]bool{"chat": false, "next": false}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a, b := newFixture(), newFixture()
				memberA, memberB := machine.Member{ID: "a"}, machine.Member{ID: "b"}
				if test.answered != "" {
					b.answer(test.answered, bad)
				}
				for n, service := range test.crashes {
					endpoint := fmt.Sprint("e", n)
					x := a.Begin(machine.EndpointID(endpoint), endpoint, service, prompt(bad))
					time.Sleep(100 * time.Millisecond)
					a.crash(endpoint, x)
				}
				for range 20 {
					time.Sleep(objectionTime / 5)
					b.Receive(memberA, a.Message(memberB))
					a.Receive(memberB, b.Message(memberA))
				}
				for service, blocked := range test.blocked {
					c.Check(a.blockedAt(service, bad), qt.Equals, blocked, qt.Commentf("service %s", service))
					c.Check(b.blockedAt(service, bad), qt.Equals, blocked, qt.Commentf("service %s at the other instance", service))
				}
			})
		})
	}
}

// TestMessageOfEarlierVersion checks that what 993b3c6 says of a part is acted on, for the service that it speaks of and, once this instance has
// a request with the part, for others; and that the answer names the part as that version does. The sample is its message on two parts.
func TestMessageOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		data, err := os.ReadFile("testdata/suspects-993b3c6.bin")
		c.Assert(err, qt.IsNil)
		f := newFixture()
		earlier := machine.Member{ID: "earlier"}
		f.Receive(earlier, data)
		c.Check(f.blocks(bad), qt.IsTrue)
		c.Check(f.blocks(rare), qt.IsFalse)
		c.Check(f.blockedAt("other", bad), qt.IsFalse)
		f.begin("alive", bad).End(Closed)
		c.Check(f.blocks(bad), qt.IsTrue)
		c.Check(f.blockedAt("other", bad), qt.IsTrue)
		answer := &quarantinepb.Suspects{}
		c.Assert(proto.Unmarshal(f.Message(earlier), answer), qt.IsNil)
		sample := &quarantinepb.Suspects{}
		c.Assert(proto.Unmarshal(data, sample), qt.IsNil)
		named := make(map[uint64]int)
		for _, suspect := range sample.GetSuspects() {
			named[suspect.GetPart()] = len(suspect.GetCrashes())
		}
		for _, suspect := range answer.GetSuspects() {
			c.Check(suspect.GetCrashes(), qt.HasLen, named[suspect.GetPart()])
		}
		c.Check(answer.GetSuspects(), qt.HasLen, 2)
	})
}

// TestSameId guards against a part that is never blocked because a few endpoints start again under their ids and end again (same-id of the third
// review), and against one end that counts twice since two instances tell of it.
func TestSameId(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a, b := newFixture(), newFixture()
		memberA, memberB := machine.Member{ID: "a"}, machine.Member{ID: "b"}
		const another = 4 // crashes the same endpoints
		for n := range minGenerations {
			for _, part := range []uint64{bad, another} {
				x, y := a.begin("e", part, rare), b.begin("e", part, uint64(100+n))
				time.Sleep(100 * time.Millisecond)
				a.crash("e", x)
				b.crash("e", y)
				time.Sleep(3 * time.Second)
				a.addresses.start("e")
				b.addresses.start("e")
				a.Receive(memberB, b.Message(memberA))
				b.Receive(memberA, a.Message(memberB))
			}
			x := a.begin("alive", rare)
			x.RecordAnswer()
			time.Sleep(settleTime)
			x.End(Closed)
			c.Check(a.suspects[newPartRef("chat", prompt(bad)[0]).key].crashes, qt.HasLen, n+1)
		}
		for _, f := range []*quarantineFixture{a, b} {
			c.Check(f.blocks(bad), qt.IsTrue)
			c.Check(f.blocks(another), qt.IsTrue)
			c.Check(f.blocks(rare), qt.IsFalse)
		}
	})
}

// TestLongPrompts guards against a part that is not found among many others of its prompts, which no other request has, and against sound parts
// being forgotten for prompts with many parts.
func TestLongPrompts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		long := func(round int) []uint64 {
			parts := []uint64{bad}
			for n := range 2 * maxCrashParts {
				parts = append(parts, uint64(1000_000*(round+1)+n))
			}
			return parts
		}
		f.answer("chat", common)
		for round := range 4 * minGenerations {
			endpoint := fmt.Sprint("e", round)
			x := f.begin(endpoint, long(round)...)
			time.Sleep(100 * time.Millisecond)
			f.crash(endpoint, x)
			y := f.begin("alive", long(1000 + round)[1:]...)
			y.RecordAnswer()
			time.Sleep(settleTime)
			y.End(Closed)
		}
		c.Check(f.blocks(bad), qt.IsTrue)
		_, remembered := f.sound[newPartRef("chat", prompt(common)[0]).key]
		c.Check(remembered, qt.IsTrue)
	})
}

// TestNewsInLargeFleets guards against the bytes that a fleet of many instances spends on suspects when many endpoints end: each instance passes on a piece
// of news in a few messages only.
func TestNewsInLargeFleets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture()
		f.crash("e", f.begin("e", rare))
		told := 0
		for n := range 5 * maxTellings {
			message := &quarantinepb.Suspects{}
			c.Assert(proto.Unmarshal(f.Message(machine.Member{ID: machine.InstanceID(fmt.Sprint("peer-", n))}), message), qt.IsNil)
			told += len(message.GetSuspects())
		}
		c.Check(told, qt.Equals, maxTellings)
		time.Sleep(time.Second)
	})
}
