package e2e_test

import (
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/standin/relay"
)

// concurrentColdConfig is baseConfig with 8 concurrent requests per cold engine. A cold engine then takes
// all chats of the test, so that none is queued behind attempts on silent connections.
var concurrentColdConfig = strings.Replace(baseConfig, "[[pools]]", `[[pools]]
cold_concurrent = 8`, 1)

// TestSilentEngineConnections guards against chats that hang on dead pooled connections. All open connections
// to the only engine go silent, twice, as if a middlebox had dropped them without a reset. Chats must succeed
// over new connections.
func TestSilentEngineConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newPlatform(c)
	_, d.service = startStandin(c, "service")
	d.registerService("booking-1", homeZone, d.service)
	engine := relayTo(c, startEngine(c, "v1", "0.9"))
	d.registerEngine("engine-1", homeZone, "v1", engine.Address())
	a, b := d.startEntry("entry-a"), d.startEntry("entry-b")
	d.applyConfig(a, d.configFile(concurrentColdConfig))
	d.awaitServing(a, b)
	const chats = 4
	checkAllComplete := func() {
		var group sync.WaitGroup
		for _, e := range []*entry{a, b} {
			group.Go(func() { c.Check(e.completeByVersion(chats), qt.DeepEquals, map[string]int{"small@v1": chats}) })
		}
		group.Wait()
	}
	for range 2 {
		checkAllComplete()
		opened := engine.Opened()
		engine.SilenceOpen()
		checkAllComplete()
		c.Check(engine.Opened() > opened, qt.IsTrue)
	}
}

// TestSilentStoreConnections guards against instances that miss changes because their store connections,
// watches included, went silent without a reset. A change applied afterwards must come into force at every
// instance.
func TestSilentStoreConnections(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newDeployment(c)
	stores := make(map[string]*relay.Relay)
	direct := d.storeAddr
	var entries []*entry
	for _, id := range []string{"entry-a", "entry-b", "entry-c"} {
		stores[id] = relayTo(c, direct)
		entries = append(entries, d.startEntryWith(id, entryOptions{store: stores[id].Address()}))
	}
	d.applyConfig(entries[0], d.configFile(baseConfig))
	d.awaitServing(entries...)
	for _, store := range stores {
		store.SilenceOpen()
	}
	text := strings.Replace(baseConfig, "deadline_ms = 60000", "deadline_ms = 50000", 1)
	code, out := d.runOperatorCommand(entries[0], "config", "apply", "--change-id", "change-2", "--base", "1", d.configFile(text))
	if code == exitUnknown {
		code, out = d.runOperatorCommand(entries[0], "config", "apply", "--change-id", "change-2", "--base", "1", d.configFile(text))
	}
	c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	for _, e := range entries {
		until(func() bool { return d.status(e).Revision == 2 })
	}
}
