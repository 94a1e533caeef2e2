package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/standin/relay"
)

// otherZone is the second zone of the deployments that have two.
const otherZone = "nbo-b"

// twoZones has a second zone.
var twoZones = strings.Replace(configuration, "[[customers]]", `[[zones]]
name = "nbo-b"
region = "nairobi"

[[customers]]`, 1)

// answeredBy returns the quality that the engine of a whole chat wrote into it, else "".
func (e *entry) answeredBy() string {
	answer := e.chat()
	_, after, found := strings.Cut(answer.body, "[quality=")
	quality, _, _ := strings.Cut(after, "]")
	if !found || !answer.whole() {
		e.c.Logf("chat: %d %s", answer.status, answer.body)
		return ""
	}
	return quality
}

// read reads bookings under a key that the service counts.
func (e *entry) read(key string) reply { return e.call(http.MethodGet, "/bookings", key, "") }

// TestStoreOutageAndZoneOut takes a zone out while the store is cut off. The other zone serves the
// requests of both, the order is accepted when the store is back, and bringing the zone back makes
// it serve again.
func TestStoreOutageAndZoneOut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newPlatform(c)
	store := relayTo(c, d.storeAddr)
	d.storeAddr = store.Address()
	const home, other = "0.900", "0.800" // qualities of the zones' engines
	services := make(map[string]string)
	for zone, quality := range map[string]string{homeZone: home, otherZone: other} {
		_, services[zone] = standin(c, "service")
		d.listEngine("engine-"+zone, zone, "v1", startEngine(c, "v1", quality))
		d.listService("booking-"+zone, zone, services[zone])
	}
	ins := []*entry{d.enter("entry-a1"), d.enter("entry-a2")}
	others := []*entry{d.enterAt("entry-b1", seat{zone: otherZone}), d.enterAt("entry-b2", seat{zone: otherZone})}
	all := append(append([]*entry{}, ins...), others...)
	d.apply(ins[0], d.file(twoZones))
	d.serving(all...)
	for _, e := range ins {
		until(func() bool { return e.answeredBy() == home })
		until(func() bool { e.read("before"); return d.runsAt(services[homeZone])["before"] > 0 })
	}
	c.Assert(store.Set(relay.Cut), qt.IsNil)
	code, out := d.operate(ins[0], "zone", "out", homeZone)
	c.Check(code, qt.Equals, exitUnknown, qt.Commentf("%s", out))
	const rounds = 3
	for _, e := range all {
		until(func() bool { return len(d.status(e).Orders) == 1 })
		for i := range rounds {
			c.Check(e.answeredBy(), qt.Equals, other)
			answer := e.read(fmt.Sprintf("out-%s-%d", e.Callers, i))
			c.Check(answer.status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.body))
		}
	}
	for key := range d.runsAt(services[homeZone]) {
		c.Check(strings.HasPrefix(key, "out-"), qt.IsFalse, qt.Commentf("%s ran in the zone that is out", key))
	}
	c.Assert(store.Set(relay.Forward), qt.IsNil)
	for _, e := range all {
		until(func() bool {
			status := d.status(e)
			return status.Revision == contract.Revision(2) && len(status.Orders) == 0
		})
		c.Check(e.answeredBy(), qt.Equals, other)
	}
	code, out = d.operate(others[0], "zone", "in", homeZone)
	c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	for _, e := range ins {
		until(func() bool { return e.answeredBy() == home })
	}
}
