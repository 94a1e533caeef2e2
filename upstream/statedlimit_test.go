package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// state lets an endpoint state a limit in the answer to a request, or none if it is negative.
func state(c *qt.C, table *Table, rate float64) {
	grant, blocked := table.Place(&Need{Service: "chat"})
	c.Assert(blocked, qt.Equals, NotBlocked)
	time.Sleep(time.Millisecond)
	grant.RecordRateLimit(max(rate, 0), rate >= 0)
	grant.Done(Answered)
}

// tell passes the limits that one table knows to another.
func tell(from, to *Table) {
	NewLimitTopic(to).Receive(machine.Member{ID: from.self}, NewLimitTopic(from).Message(machine.Member{ID: to.self}))
}

// sentByAll returns how many requests the tables send within the time if they always have some to send.
func sentByAll(tables []*Table, limit time.Duration) int {
	sent := 0
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, table := range tables {
			if grant, blocked := table.Place(&Need{Service: "chat"}); blocked == NotBlocked {
				sent++
				grant.Done(Answered)
			}
		}
	}
	return sent
}

func sentWithin(table *Table, limit time.Duration) int { return sentByAll([]*Table{table}, limit) }

// TestStatedLimitShared guards against the instances together sending more than an endpoint takes, under a load of any size and after
// a pause in which they save requests up. A few instances lack some of the members.
func TestStatedLimitShared(t *testing.T) {
	const window = 4 * time.Second
	for _, fleet := range []int{1, 6, 60, 300} {
		for _, limit := range []float64{0.5, 3.3, 20} {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				members := instances(fleet)
				tables := make([]*Table, fleet)
				for i, member := range members {
					known := members
					if i%30 == 7 {
						known = members[:fleet-fleet/10]
					}
					tables[i] = newInstanceTable(member.ID, known)
					tables[i].Apply(report("x", "chat", "a"))
				}
				state(c, tables[0], limit)
				for _, table := range tables[1:] {
					tell(tables[0], table)
				}
				sentByAll(tables, 10*time.Millisecond)
				time.Sleep(time.Minute)
				sent := sentByAll(tables, window)
				allowed := 1.5*limit*window.Seconds() + 5
				c.Check(float64(sent) <= allowed, qt.IsTrue, qt.Commentf("%d instances, limit %v: %d sent, %v allowed", fleet, limit, sent, allowed))
				c.Check(float64(sent+1) >= 0.9*limit*window.Seconds(), qt.IsTrue, qt.Commentf("%d instances, limit %v: only %d sent", fleet, limit, sent))
			})
		}
	}
}

// TestStatedLimitEnds checks that a limit lasts until a later answer lacks it, or the process is replaced, and that instances which get no
// answers learn both.
func TestStatedLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		members := instances(2)
		first, second := newInstanceTable("entry-00", members), newInstanceTable("entry-01", members)
		for _, table := range []*Table{first, second} {
			table.Apply(report("x", "chat", "a"))
		}
		before, _ := first.Place(&Need{Service: "chat"})
		time.Sleep(time.Millisecond)
		state(c, first, 1)
		before.RecordRateLimit(0, false) // sent before the limit was known
		before.Done(Answered)
		tell(first, second)
		time.Sleep(10 * time.Second)
		c.Check(sentWithin(first, 4*time.Second) <= 3, qt.IsTrue)
		c.Check(sentWithin(second, 4*time.Second) <= 3, qt.IsTrue)
		time.Sleep(10 * time.Second)
		state(c, first, -1)
		tell(second, first) // older
		tell(first, second)
		c.Check(sentWithin(first, time.Second), qt.Equals, 100)
		c.Check(sentWithin(second, time.Second), qt.Equals, 100)

		state(c, first, 1)
		tell(first, second)
		restarted := report("x", "chat", "a")
		restarted.StartMillis = 7
		second.Apply(restarted)
		tell(first, second) // still of the process before
		c.Check(sentWithin(second, time.Second), qt.Equals, 100)
	})
}

// TestUnknownEndpointKeepsLimit guards against an instance that has just started telling the others that a limit has ended.
func TestUnknownEndpointKeepsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		members := instances(2)
		old, fresh := newInstanceTable("entry-00", members), newInstanceTable("entry-01", members)
		old.Apply(report("x", "chat", "a"))
		state(c, old, 1)
		time.Sleep(10 * time.Second)
		fresh.Apply(report("x", "chat", "a"))
		if message := NewLimitTopic(fresh).Message(machine.Member{}); message != nil {
			NewLimitTopic(old).Receive(machine.Member{ID: "entry-01"}, message)
		}
		c.Check(sentWithin(old, 4*time.Second) <= 4, qt.IsTrue)
		tell(old, fresh)
		c.Check(sentWithin(fresh, 4*time.Second) <= 4, qt.IsTrue)
	})
}
