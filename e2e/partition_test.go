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

// partition cuts off one entry instance from all others, by relays in front of each. It must exist before
// the instance starts, because instances exchange their real addresses once they are connected.
type partition struct {
	c    *qt.C
	list *httptest.Server // the instance list as the isolated instance sees it

	mu     sync.Mutex
	active bool
	relays map[string]*relay.Relay // by the real address behind them
}

func newPartition(d *deployment) *partition {
	p := &partition{c: d.c, active: true, relays: make(map[string]*relay.Relay)}
	p.list = httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(out).Encode(p.relayedInstances(d.listAddr))
	}))
	d.c.Cleanup(p.list.Close)
	return p
}

// relayedInstances returns the platform's instance list with the addresses of entry instances replaced by
// those of their relays, or nil if the list can't be read.
func (p *partition) relayedInstances(listAddr string) []infra.Instance {
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
			instances[i].Address = p.relayAddress(instances[i].Address)
		}
	}
	return instances
}

// relayAddress returns the address of the relay in front of a real address, and starts the relay if there is
// none.
func (p *partition) relayAddress(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.relays[address]
	if r == nil {
		r = relayTo(p.c, address)
		if p.active {
			p.c.Check(r.SetMode(relay.Cut), qt.IsNil)
		}
		p.relays[address] = r
	}
	return r.Address()
}

// heal ends the partition: all relays forward.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = false
	for _, r := range p.relays {
		p.c.Check(r.SetMode(relay.Forward), qt.IsNil)
	}
}

// twoVersionConfig is baseConfig with a version v2 at the price of v1, and with 8 concurrent requests per
// cold engine.
var twoVersionConfig = strings.Replace(baseConfig, "[[pools]]", `[[models.versions]]
name = "v2"
prompt_price_micros = 100
output_price_micros = 200

[[pools]]
cold_concurrent = 8`, 1)

// incomplete is the key under which completeByVersion counts replies that are not complete answers.
const incomplete = "none"

// completeByVersion sends n concurrent chats and returns the number of complete answers by version.
func (e *entry) completeByVersion(n int) map[string]int {
	counts := make(map[string]int)
	for _, answer := range e.chats(n) {
		if answer.complete() {
			counts[answer.version]++
			continue
		}
		e.c.Logf("chat: %d ...%s", answer.status, answer.body[max(0, len(answer.body)-300):])
		counts[incomplete]++
	}
	return counts
}

// reachesVersion sends up to n chats in sequence and reports whether the version began to answer one of them.
// It closes each response after the header.
func (e *entry) reachesVersion(version string, n int) bool {
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

// chats sends n concurrent chats and returns their replies.
func (e *entry) chats(n int) []reply {
	replies := make([]reply, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { replies[i] = e.chat() })
	}
	group.Wait()
	return replies
}

// TestPartitionAndWithdrawal guards against a withdrawn version coming back into use. The version is withdrawn
// while the store is down and a third instance is partitioned from its peers. Reachable instances must
// dispatch nothing more to it at once, the third one after the partition heals. The older states of the third
// instance and of the store must not undo the withdrawal.
func TestPartitionAndWithdrawal(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	d.registerEngine("engine-2", homeZone, "v2", startEngine(c, "v2", "0.9"))
	a, b := d.startEntry("entry-a"), d.startEntry("entry-b")
	d.applyConfig(a, d.configFile(twoVersionConfig))
	isolation := newPartition(d)
	third := d.startEntryWith("entry-c", entryOptions{list: isolation.list.Listener.Addr().String(), listedAddress: isolation.relayAddress})
	d.awaitServing(a, b, third)
	const chats = 4
	for _, e := range []*entry{a, b, third} {
		until(func() bool { return e.reachesVersion("small@v1", chats) })
	}
	d.put("http://"+d.storeAddr+"/faults", `{"down":true}`)
	code, out := d.runOperatorCommand(a, "version", "withdraw", "small@v1")
	c.Check(code, qt.Equals, exitUnknown, qt.Commentf("%s", out))
	until(func() bool { return len(d.status(b).Orders) == 1 })
	onlyV2 := map[string]int{"small@v2": chats}
	c.Check(a.completeByVersion(chats), qt.DeepEquals, onlyV2)
	c.Check(b.completeByVersion(chats), qt.DeepEquals, onlyV2)
	c.Check(third.reachesVersion("small@v1", 3*chats), qt.IsTrue, qt.Commentf("the third instance was not cut off"))
	isolation.heal()
	until(func() bool { return len(d.status(third).Orders) == 1 })
	for _, e := range []*entry{third, a, b} {
		c.Check(e.reachesVersion("small@v1", chats), qt.IsFalse)
		until(func() bool { return e.completeByVersion(chats)["small@v2"] == chats })
	}
	d.put("http://"+d.storeAddr+"/faults", `{}`)
	for _, e := range []*entry{third, a, b} {
		until(func() bool {
			status := d.status(e)
			return status.Revision == contract.Revision(2) && len(status.Orders) == 0
		})
		c.Check(e.completeByVersion(chats), qt.DeepEquals, onlyV2)
	}
}
