package e2e_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/infra"
	"plumbarrow.example/plumbarrow/standin/relay"
)

// relayTo starts a relay in front of an address.
func relayTo(c *qt.C, target string) *relay.Relay {
	r, err := relay.New("127.0.0.1:0", target)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { r.Close() })
	return r
}

// wall lies between one entry instance and all others. It stands from the start of the instance,
// because instances that have met tell each other their real addresses.
type wall struct {
	c    *qt.C
	list *httptest.Server // the instance list as the walled instance sees it

	mu     sync.Mutex
	up     bool
	relays map[string]*relay.Relay // by real address
}

func newWall(d *deployment) *wall {
	w := &wall{c: d.c, up: true, relays: make(map[string]*relay.Relay)}
	w.list = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(w.view(d.listAddr))
	}))
	d.c.Cleanup(w.list.Close)
	return w
}

// view is the platform's list with relays in front of the other entry instances.
func (w *wall) view(listAddr string) []infra.Instance {
	response, err := http.Get("http://" + listAddr + "/instances")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var instances []infra.Instance
	if json.NewDecoder(response.Body).Decode(&instances) != nil {
		return nil
	}
	for i := range instances {
		if instances[i].Kind == infra.KindEntry {
			instances[i].Address = w.through(instances[i].Address)
		}
	}
	return instances
}

// through returns the address of the relay in front of a real address.
func (w *wall) through(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.relays[address]
	if r == nil {
		r = relayTo(w.c, address)
		if w.up {
			w.c.Check(r.Set(relay.Cut), qt.IsNil)
		}
		w.relays[address] = r
	}
	return r.Address()
}

// fall lets all connections through.
func (w *wall) fall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	for _, r := range w.relays {
		w.c.Check(r.Set(relay.Forward), qt.IsNil)
	}
}

// twoVersions adds a version v2 that is as dear as v1.
var twoVersions = strings.Replace(configuration, "[[pools]]", `[[models.versions]]
name = "v2"
prompt_price_micros = 100
output_price_micros = 200

[[pools]]
cold_concurrent = 8`, 1)

// noneWhole is the version under which replies count that are not whole answers.
const noneWhole = "none"

// versionsSeen returns how many of n chats at an instance each version answered whole.
func (e *entry) versionsSeen(n int) map[string]int {
	seen := make(map[string]int)
	for _, answer := range e.chats(n) {
		if answer.whole() {
			seen[answer.version]++
			continue
		}
		e.c.Logf("chat: %d ...%s", answer.status, answer.body[max(0, len(answer.body)-300):])
		seen[noneWhole]++
	}
	return seen
}

// begins says whether a version began to answer any of n chats, which are left at that.
func (e *entry) begins(version string, n int) bool {
	for range n {
		response, err := e.send(http.MethodPost, chatPath, "", chatBody)
		e.c.Assert(err, qt.IsNil)
		response.Body.Close()
		if response.Header.Get("Plumbarrow-Version") == version {
			return true
		}
	}
	return false
}

// chats returns the replies to n chats at once.
func (e *entry) chats(n int) []reply {
	replies := make([]reply, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { replies[i] = e.chat() })
	}
	group.Wait()
	return replies
}

// TestPartitionAndWithdrawal withdraws a version at one instance while the store is down and a
// third instance is cut off from its peers. The reachable ones stop giving it new work, the third
// one after healing, and neither its older view nor the store's brings the version back.
func TestPartitionAndWithdrawal(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	d.listEngine("engine-2", homeZone, "v2", startEngine(c, "v2", "0.9"))
	a, b := d.enter("entry-a"), d.enter("entry-b")
	d.apply(a, d.file(twoVersions))
	w := newWall(d)
	third := d.enterAt("entry-c", seat{list: w.list.Listener.Addr().String(), listed: w.through})
	d.serving(a, b, third)
	const chats = 4
	for _, e := range []*entry{a, b, third} {
		until(func() bool { return e.begins("small@v1", chats) })
	}
	d.put("http://"+d.storeAddr+"/faults", `{"down":true}`)
	code, out := d.operate(a, "version", "withdraw", "small@v1")
	c.Check(code, qt.Equals, exitUnknown, qt.Commentf("%s", out))
	until(func() bool { return len(d.status(b).Orders) == 1 })
	onlyV2 := map[string]int{"small@v2": chats}
	c.Check(a.versionsSeen(chats), qt.DeepEquals, onlyV2)
	c.Check(b.versionsSeen(chats), qt.DeepEquals, onlyV2)
	c.Check(third.begins("small@v1", 3*chats), qt.IsTrue, qt.Commentf("the third instance was not cut off"))
	w.fall()
	until(func() bool { return len(d.status(third).Orders) == 1 })
	for _, e := range []*entry{third, a, b} {
		c.Check(e.begins("small@v1", chats), qt.IsFalse)
		until(func() bool { return e.versionsSeen(chats)["small@v2"] == chats })
	}
	d.put("http://"+d.storeAddr+"/faults", `{}`)
	for _, e := range []*entry{third, a, b} {
		until(func() bool {
			status := d.status(e)
			return status.Revision == contract.Revision(2) && len(status.Orders) == 0
		})
		c.Check(e.versionsSeen(chats), qt.DeepEquals, onlyV2)
	}
}
