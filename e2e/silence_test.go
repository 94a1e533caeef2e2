package e2e_test

import (
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/standin/relay"
)

// roomy lets a fresh engine bear all chats of a test at once, so that none waits in a queue behind
// attempts on silent connections.
var roomy = strings.Replace(configuration, "[[pools]]", `[[pools]]
cold_concurrent = 8`, 1)

// TestSilentEngineConnections loses track of all open connections to the only engine, twice. Chats
// go on over new ones.
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newPlatform(c)
	_, d.service = standin(c, "service")
	d.listService("booking-1", homeZone, d.service)
	engine := relayTo(c, startEngine(c, "v1", "0.9"))
	d.listEngine("engine-1", homeZone, "v1", engine.Address())
	a, b := d.enter("entry-a"), d.enter("entry-b")
	d.apply(a, d.file(roomy))
	d.serving(a, b)
	const chats = 4
	allWhole := func() {
		var group sync.WaitGroup
		for _, e := range []*entry{a, b} {
			group.Go(func() { c.Check(e.versionsSeen(chats), qt.DeepEquals, map[string]int{"small@v1": chats}) })
		}
		group.Wait()
	}
	for range 2 {
		allWhole()
		opened := engine.Opened()
		engine.SilenceOpen()
		allWhole()
		c.Check(engine.Opened() > opened, qt.IsTrue)
	}
}

// TestSilentStoreConnections loses track of all open connections to the store, watches included.
// A change applied afterwards is still in force at every instance.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	stores := make(map[string]*relay.Relay)
	direct := d.storeAddr
	var entries []*entry
	for _, id := range []string{"entry-a", "entry-b", "entry-c"} {
		stores[id] = relayTo(c, direct)
		entries = append(entries, d.enterAt(id, seat{store: stores[id].Address()}))
	}
	d.apply(entries[0], d.file(configuration))
	d.serving(entries...)
	for _, store := range stores {
		store.SilenceOpen()
	}
	text := strings.Replace(configuration, "deadline_ms = 60000", "deadline_ms = 50000", 1)
	code, out := d.operate(entries[0], "config", "apply", "--change-id", "change-2", "--base", "1", d.file(text))
	if code == exitUnknown {
		code, out = d.operate(entries[0], "config", "apply", "--change-id", "change-2", "--base", "1", d.file(text))
	}
	c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	for _, e := range entries {
		until(func() bool { return d.status(e).Revision == 2 })
	}
}
