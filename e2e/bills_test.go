package e2e_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/operate/api"
)

// billed returns the number of bills that the store holds.
func (d *deployment) billed(at *entry) int64 {
	code, out := d.operate(at, "bills", "--json")
	d.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	var bills []api.Bill
	d.c.Assert(json.Unmarshal([]byte(out), &bills), qt.IsNil)
	var sum int64
	for _, bill := range bills {
		sum += bill.Bills
	}
	return sum
}

// TestBillsOfKilledInstance kills an entry instance under chats while the store loses answers and
// then is down for a while. Each whole answer has one bill: the end of an answer is sent only when
// a second process holds its bill. There may be one more for each request that was at the killed
// instance, because its bill may be held while its end is not sent, and for none else.
func TestBillsOfKilledInstance(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.enter("entry-a"), d.enter("entry-b")
	d.enter("entry-c") // holds bills of the others
	d.apply(a, d.file(configuration))
	var whole, open atomic.Int64
	send := func(e *entry) {
		answer := e.chat()
		switch {
		case answer.whole():
			whole.Add(1)
		case answer.status == 0 || answer.status == http.StatusOK:
			open.Add(1) // cut off: it may have a bill
		}
	}
	for _, e := range []*entry{a, b} {
		before := whole.Load()
		until(func() bool { send(e); return whole.Load() > before })
	}
	c.Assert(open.Load(), qt.Equals, int64(0))
	d.put("http://"+d.storeAddr+"/faults", `{"lost_answers":4}`)
	const rounds, chats = 3, 4
	for range rounds {
		var group sync.WaitGroup
		for range chats {
			group.Go(func() { send(a) })
			group.Go(func() { send(b) })
		}
		group.Wait()
	}
	d.put("http://"+d.storeAddr+"/faults", `{"down":true}`)
	var group sync.WaitGroup
	for range chats {
		group.Go(func() { send(a) })
		group.Go(func() { send(b) })
	}
	time.Sleep(500 * time.Millisecond) // a chat takes 600 ms; how far each has come does not matter
	a.kill()
	group.Wait()
	c.Check(open.Load() <= chats, qt.IsTrue, qt.Commentf("%d", open.Load()))
	d.put("http://"+d.storeAddr+"/faults", `{}`)
	until(func() bool { return d.billed(b) >= whole.Load() })
	before := whole.Load()
	until(func() bool { send(b); return whole.Load() > before })
	until(func() bool { return d.billed(b) >= whole.Load() })
	c.Check(d.billed(b) <= whole.Load()+open.Load(), qt.IsTrue,
		qt.Commentf("%d bills, %d whole answers, %d cut off", d.billed(b), whole.Load(), open.Load()))
	c.Logf("%d bills, %d whole answers, %d cut off", d.billed(b), whole.Load(), open.Load())
}
