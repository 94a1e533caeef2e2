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

// billCount returns the number of bills in the store, as the instance reports it.
func (d *deployment) billCount(at *entry) int64 {
	code, out := d.runOperatorCommand(at, "bills", "--json")
	d.c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	var bills []api.Bill
	d.c.Assert(json.Unmarshal([]byte(out), &bills), qt.IsNil)
	var sum int64
	for _, bill := range bills {
		sum += bill.Bills
	}
	return sum
}

// TestBillsOfKilledInstance guards against lost and double bills when an entry instance crashes during
// chats. First the store loses its responses to four writes; then it goes down, and the instance is killed
// during the outage. Every complete answer has exactly one bill, because an instance sends the end of an
// answer only after a second process holds its bill. Only requests that the crash cut off may have a bill
// without a complete answer: the bill may already be held when the end of the answer is not sent yet.
func TestBillsOfKilledInstance(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	a, b := d.startEntry("entry-a"), d.startEntry("entry-b")
	d.startEntry("entry-c") // holds copies of the others' bills
	d.applyConfig(a, d.configFile(baseConfig))
	var completed, cutOff atomic.Int64
	send := func(e *entry) {
		answer := e.chat()
		switch {
		case answer.complete():
			completed.Add(1)
		case answer.status == 0 || answer.status == http.StatusOK:
			cutOff.Add(1) // it may have a bill
		}
	}
	for _, e := range []*entry{a, b} {
		before := completed.Load()
		until(func() bool { send(e); return completed.Load() > before })
	}
	c.Assert(cutOff.Load(), qt.Equals, int64(0))
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
	time.Sleep(500 * time.Millisecond) // a chat takes 600 ms; the test holds for any progress
	a.kill()
	group.Wait()
	c.Check(cutOff.Load() <= chats, qt.IsTrue, qt.Commentf("%d", cutOff.Load()))
	d.put("http://"+d.storeAddr+"/faults", `{}`)
	until(func() bool { return d.billCount(b) >= completed.Load() })
	before := completed.Load()
	until(func() bool { send(b); return completed.Load() > before })
	until(func() bool { return d.billCount(b) >= completed.Load() })
	c.Check(d.billCount(b) <= completed.Load()+cutOff.Load(), qt.IsTrue,
		qt.Commentf("%d bills, %d complete answers, %d cut off", d.billCount(b), completed.Load(), cutOff.Load()))
	c.Logf("%d bills, %d complete answers, %d cut off", d.billCount(b), completed.Load(), cutOff.Load())
}
