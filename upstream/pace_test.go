package upstream

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// paceEngine reads one prompt after the other.
type paceEngine struct {
	id     machine.EndpointID
	pace   func(time.Duration) float64 // by the time since the start
	free   time.Duration               // when the last prompt is read
	states func(*paceEngine, int, float64) (running, waiting int, pace float64)
	queued int
	served int
}

// paceAnswer is a request in progress.
type paceAnswer struct {
	at     time.Duration
	sent   time.Duration
	grant  *Grant
	engine *paceEngine
}

type paceAnswers []paceAnswer

func (a paceAnswers) Len() int           { return len(a) }
func (a paceAnswers) Less(i, j int) bool { return a[i].at < a[j].at }
func (a paceAnswers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *paceAnswers) Push(x any)        { *a = append(*a, x.(paceAnswer)) }
func (a *paceAnswers) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// paceFleet is a fleet of instances with one service of unequal engines.
type paceFleet struct {
	tables  []*Table
	topics  []*LoadTopic
	members []machine.Member
	engines []*paceEngine
	answers paceAnswers
	random  *rand.Rand
	late    int // first events after the goal
	total   int
}

const (
	paceTokens  = 30_000                            // of a prompt: 300 ms at pace 1
	paceWork    = paceTokens * defaultPerToken      // time to read a prompt at pace 1
	paceGoal    = 2 * time.Second                   // to the first event
	paceStep    = 5 * time.Millisecond              // of virtual time
	paceWarmUp  = 4 * time.Second                   // in which the instances learn
	paceMeasure = 6 * time.Second                   // after that
	paceRound   = 250 * time.Millisecond / paceStep // steps between two exchanges of an instance
)

func honest(e *paceEngine, queued int, pace float64) (running, waiting int, stated float64) {
	return min(queued, 1), max(queued-1, 0), pace
}

// newPaceFleet returns a fleet whose engines have paces 0.6, 1 and 1.6 in turn. where is that of Table.UseStatedLoads.
func newPaceFleet(instancesCount, engines int, where StatedLoads) *paceFleet {
	f := &paceFleet{members: instances(instancesCount), random: rand.New(rand.NewPCG(1, 2))}
	for _, member := range f.members {
		table := newInstanceTable(member.ID, f.members)
		table.UseStatedLoads(where)
		f.tables, f.topics = append(f.tables, table), append(f.topics, NewLoadTopic(table))
	}
	for n := range engines {
		pace := []float64{0.6, 1, 1.6}[n%3]
		e := &paceEngine{id: machine.EndpointID(fmt.Sprintf("engine-%03d", n)), pace: func(time.Duration) float64 { return pace }, states: honest}
		f.engines = append(f.engines, e)
		f.apply(e)
	}
	return f
}

// apply makes an engine known to all instances.
func (f *paceFleet) apply(e *paceEngine) {
	for _, table := range f.tables {
		one := report(string(e.id), "chat", "a")
		one.Slots = 64
		table.Apply(one)
	}
}

// run plays a load, as a share of what all engines together can read, for the duration. It counts late first events after paceWarmUp.
func (f *paceFleet) run(load float64, duration time.Duration, disturb func(now time.Duration)) {
	capacity := 0.0 // prompts a second
	for _, e := range f.engines {
		capacity += 1 / (e.pace(0) * paceWork.Seconds())
	}
	due := 0.0
	for step := range int(duration / paceStep) {
		now := time.Duration(step) * paceStep
		if disturb != nil {
			disturb(now)
		}
		for len(f.answers) > 0 && f.answers[0].at <= now {
			f.end(heap.Pop(&f.answers).(paceAnswer))
		}
		for due += load * capacity * paceStep.Seconds(); due >= 1; due-- {
			f.send(now)
		}
		f.exchange(step)
		time.Sleep(paceStep)
	}
}

// send places one request at a random instance. A request that no engine takes counts as late.
func (f *paceFleet) send(now time.Duration) {
	count := now >= paceWarmUp
	if count {
		f.total++
	}
	need := prompt(f.random.Uint64(), f.random.Uint64())
	need.PromptTokens = paceTokens
	grant, blocked := f.tables[f.random.IntN(len(f.tables))].Place(&need)
	if blocked != NotBlocked {
		if count {
			f.late++
		}
		return
	}
	for _, e := range f.engines {
		if e.id == grant.Endpoint.ID() {
			e.free = max(e.free, now) + time.Duration(e.pace(now)*float64(paceWork))
			e.queued++
			heap.Push(&f.answers, paceAnswer{at: e.free, sent: now, grant: grant, engine: e})
		}
	}
}

func (f *paceFleet) end(a paceAnswer) {
	running, waiting, pace := a.engine.states(a.engine, a.engine.queued, a.engine.pace(a.at))
	a.grant.RecordStatement(running, waiting, pace, true)
	a.grant.RecordFirstEvent()
	a.grant.Done(Answered)
	a.engine.queued--
	if a.sent >= paceWarmUp {
		a.engine.served++
		if a.at-a.sent > paceGoal {
			f.late++
		}
	}
}

// exchange lets each instance exchange its loads with four others in each round.
func (f *paceFleet) exchange(step int) {
	for i := range f.tables {
		if (step+i)%int(paceRound) != 0 {
			continue
		}
		for range min(4, len(f.tables)-1) {
			j := f.random.IntN(len(f.tables))
			f.topics[j].Receive(f.members[i], f.topics[i].Message(f.members[j]))
			f.topics[i].Receive(f.members[j], f.topics[j].Message(f.members[i]))
		}
	}
}

func (f *paceFleet) lateShare() float64 { return float64(f.late) / float64(max(f.total, 1)) }

// servedBy returns the share of the requests that the engines of one pace served.
func (f *paceFleet) servedBy(pace float64) float64 {
	served, all := 0, 0
	for _, e := range f.engines {
		all += e.served
		if e.pace(0) == pace {
			served += e.served
		}
	}
	return float64(served) / float64(all)
}

// unevenSizes are the numbers of instances and engines of TestFleetUnevenEngines.
var unevenSizes = []struct{ instances, engines int }{{6, 9}, {60, 100}}

// TestFleetUnevenEngines answers 85 % of what engines of paces 0.6, 1 and 1.6 can read, in prompts of which a slow one reads two a second: 95 of
// 100 callers get their first event in time at any size of the fleet, and the faster an engine reads, the more it gets.
func TestFleetUnevenEngines(t *testing.T) {
	for _, size := range unevenSizes {
		t.Run(fmt.Sprint(size.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newPaceFleet(size.instances, size.engines, StatedLoads{From: 1})
				f.run(0.85, paceWarmUp+paceMeasure, nil)
				t.Logf("late %.3f; served by fast %.3f, usual %.3f, slow %.3f", f.lateShare(), f.servedBy(0.6), f.servedBy(1), f.servedBy(1.6))
				c.Check(f.lateShare() < 0.05, qt.IsTrue, qt.Commentf("%.3f late", f.lateShare()))
				c.Check(f.servedBy(0.6) > f.servedBy(1) && f.servedBy(1) > f.servedBy(1.6), qt.IsTrue)
			})
		})
	}
}

// TestUnstatedPace answers the same load at engines that state their load but not their pace: it is learned from their answers.
func TestUnstatedPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newPaceFleet(60, 100, StatedLoads{From: 1, Unpaced: true})
		for _, e := range f.engines {
			e.states = func(e *paceEngine, queued int, _ float64) (int, int, float64) { return honest(e, queued, 0) }
		}
		f.run(0.85, paceWarmUp+paceMeasure, nil)
		t.Logf("late %.3f; served by fast %.3f, slow %.3f", f.lateShare(), f.servedBy(0.6), f.servedBy(1.6))
		c.Check(f.lateShare() < 0.05, qt.IsTrue, qt.Commentf("%.3f late", f.lateShare()))
		c.Check(f.servedBy(0.6) > f.servedBy(1.6), qt.IsTrue)
	})
}

// TestSlowTenth answers engines of which a tenth turns five times slower while they are half empty: they get less within seconds.
func TestSlowTenth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newPaceFleet(60, 100, StatedLoads{From: 1})
		for n, e := range f.engines {
			usual := e.pace(0)
			e.pace = func(now time.Duration) float64 {
				if n%10 == 0 && now > paceWarmUp {
					return 5 * usual
				}
				return usual
			}
		}
		f.run(0.5, paceWarmUp+paceMeasure, nil)
		t.Logf("late %.3f", f.lateShare())
		c.Check(f.lateShare() < 0.05, qt.IsTrue, qt.Commentf("%.3f late", f.lateShare()))
	})
}

// TestLyingStatements answers a tenth of the engines that state no load at all while they are busy, and a tenth that state an absurd one: what
// this instance and its peers have in progress there still counts, and the others go on.
func TestLyingStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newPaceFleet(60, 100, StatedLoads{From: 1})
		for n, e := range f.engines {
			switch n % 10 {
			case 0:
				e.states = func(*paceEngine, int, float64) (int, int, float64) { return 0, 0, 1 }
			case 1:
				e.states = func(*paceEngine, int, float64) (int, int, float64) { return 1 << 30, -1, 1e9 }
			}
		}
		f.run(0.6, paceWarmUp+paceMeasure, nil)
		t.Logf("late %.3f", f.lateShare())
		c.Check(f.lateShare() < 0.05, qt.IsTrue, qt.Commentf("%.3f late", f.lateShare()))
	})
}

// TestStatementAge checks that a statement counts with what this instance has sent since, that it is forgotten, that an older one does not
// replace it, and that a restarted engine begins anew.
func TestStatementAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := newInstanceTable("entry-00", instances(20))
		table.UseStatedLoads(StatedLoads{From: 12})
		one := report("x", "chat", "a")
		one.Slots = 64
		table.Apply(one)
		requests := func() int {
			e := table.view.Load().byService["chat"][0]
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.total(time.Now()).requests
		}
		need := prompt(1, 2)
		grant, _ := table.Place(&need)
		grant.RecordStatement(7, 2, 1.6, true)
		c.Check(requests(), qt.Equals, 9)
		second, _ := table.Place(&need)
		c.Check(requests(), qt.Equals, 10)
		grant.Endpoint.mu.Lock()
		grant.Endpoint.observe(statement{running: 40, at: time.Now().Add(-time.Second)})
		slow := grant.Endpoint.pace.mean(time.Now())
		grant.Endpoint.mu.Unlock()
		c.Check(slow > 1.2, qt.IsTrue, qt.Commentf("pace %.2f", slow))
		c.Check(requests(), qt.Equals, 10)
		second.Done(Answered)
		c.Check(requests(), qt.Equals, 9)
		time.Sleep(statementTTL)
		c.Check(requests(), qt.Equals, 1) // its own
		grant.RecordStatement(7, 2, 1.6, true)
		one.StartMillis = 5
		table.Apply(one)
		c.Check(requests(), qt.Equals, 1)
	})
}

// TestFewInstances checks that below the number of instances nothing that endpoints state is used.
func TestFewInstances(t *testing.T) {
	c := qt.New(t)
	table := newInstanceTable("entry-00", instances(11))
	table.UseStatedLoads(StatedLoads{From: 12})
	table.Apply(report("x", "chat", "a"))
	need := prompt(1, 2)
	before, _ := table.Expect(&need)
	grant, _ := table.Place(&need)
	grant.RecordStatement(3, 0, 9, true)
	grant.Done(Answered)
	c.Check(grant.Endpoint.ownStated, qt.Equals, statement{})
	other := prompt(3, 4)
	after, _ := table.Expect(&other)
	c.Check(after, qt.Equals, before)
}

// TestUnpacedService checks that stated loads of a service without a stated pace are used only where that is set, and those of another
// service with one from its first statement on, also by a peer.
func TestUnpacedService(t *testing.T) {
	for _, unpaced := range []bool{false, true} {
		c := qt.New(t)
		tables := []*Table{newInstanceTable("entry-00", instances(20)), newInstanceTable("entry-01", instances(20))}
		for _, table := range tables {
			table.UseStatedLoads(StatedLoads{From: 12, Unpaced: unpaced})
			table.Apply(report("x", "chat", "a"))
			table.Apply(report("y", "app", "a"))
		}
		need := prompt(1, 2)
		grant, _ := tables[0].Place(&need)
		grant.RecordStatement(3, 0, 0, true)
		c.Check(tables[0].usesStatedLoads("chat"), qt.Equals, unpaced)
		grant, _ = tables[0].Place(&Need{Service: "app"})
		grant.RecordStatement(3, 0, 1.2, true)
		NewLoadTopic(tables[1]).Receive(machine.Member{ID: "entry-00"}, NewLoadTopic(tables[0]).Message(machine.Member{}))
		for _, table := range tables {
			c.Check(table.usesStatedLoads("app"), qt.IsTrue)
		}
		c.Check(tables[1].usesStatedLoads("chat"), qt.Equals, unpaced)
	}
}

// TestSpreadWithStatedLoads checks that a request that is confined to a share of the endpoints stays there where a few candidates are drawn:
// all instances use the same two of twenty.
func TestSpreadWithStatedLoads(t *testing.T) {
	c := qt.New(t)
	used := make(map[machine.EndpointID]bool)
	for _, member := range instances(20) {
		table := newInstanceTable(member.ID, instances(20))
		table.UseStatedLoads(StatedLoads{From: 12, Unpaced: true})
		for i := range 20 {
			table.Apply(report(fmt.Sprintf("e%02d", i), "chat", "a"))
		}
		for own := range uint64(8) {
			need := prompt(1000+own, own)
			need.Spread = 0.1
			used[place(table, need)] = true
		}
	}
	c.Check(used, qt.HasLen, 2)
}
