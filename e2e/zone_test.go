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

// twoZoneConfig is baseConfig with otherZone added.
var twoZoneConfig = strings.Replace(baseConfig, "[[customers]]", `[[zones]]
name = "nbo-b"
region = "nairobi"

[[customers]]`, 1)

// answerQuality sends a chat and returns the quality that the stand-in engine wrote into the answer, which
// identifies the engine; "" if the answer is incomplete.
func (e *entry) answerQuality() string {
	answer := e.chat()
	_, after, found := strings.Cut(answer.body, "[quality=")
	quality, _, _ := strings.Cut(after, "]")
	if !found || !answer.complete() {
		e.c.Logf("chat: %d %s", answer.status, answer.body)
		return ""
	}
	return quality
}

// readBooking sends a GET for bookings; the service counts its runs under the key.
func (e *entry) readBooking(key string) reply { return e.call(http.MethodGet, "/bookings", key, "") }

// TestStoreOutageAndZoneOut takes a zone out of service while the store is unreachable. The other zone must
// serve the requests of both, the store must accept the order once it is reachable again, and the zone must
// serve again after it is brought back.
func TestStoreOutageAndZoneOut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	d := newPlatform(c)
	store := relayTo(c, d.storeAddr)
	d.storeAddr = store.Address()
	const homeQuality, otherQuality = "0.900", "0.800" // qualities of the zones' engines
	services := make(map[string]string)
	for zone, quality := range map[string]string{homeZone: homeQuality, otherZone: otherQuality} {
		_, services[zone] = startStandin(c, "service")
		d.registerEngine("engine-"+zone, zone, "v1", startEngine(c, "v1", quality))
		d.registerService("booking-"+zone, zone, services[zone])
	}
	homeEntries := []*entry{d.startEntry("entry-a1"), d.startEntry("entry-a2")}
	otherEntries := []*entry{d.startEntryWith("entry-b1", entryOptions{zone: otherZone}), d.startEntryWith("entry-b2", entryOptions{zone: otherZone})}
	all := append(append([]*entry{}, homeEntries...), otherEntries...)
	d.applyConfig(homeEntries[0], d.configFile(twoZoneConfig))
	d.awaitServing(all...)
	for _, e := range homeEntries {
		until(func() bool { return e.answerQuality() == homeQuality })
		until(func() bool { e.readBooking("before"); return d.runsAt(services[homeZone])["before"] > 0 })
	}
	c.Assert(store.SetMode(relay.Cut), qt.IsNil)
	code, out := d.runOperatorCommand(homeEntries[0], "zone", "out", homeZone)
	c.Check(code, qt.Equals, exitUnknown, qt.Commentf("%s", out))
	const rounds = 3
	for _, e := range all {
		until(func() bool { return len(d.status(e).Orders) == 1 })
		for i := range rounds {
			c.Check(e.answerQuality(), qt.Equals, otherQuality)
			answer := e.readBooking(fmt.Sprintf("out-%s-%d", e.Callers, i))
			c.Check(answer.status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.body))
		}
	}
	for key := range d.runsAt(services[homeZone]) {
		c.Check(strings.HasPrefix(key, "out-"), qt.IsFalse, qt.Commentf("%s ran in the zone that is out", key))
	}
	c.Assert(store.SetMode(relay.Forward), qt.IsNil)
	for _, e := range all {
		until(func() bool {
			status := d.status(e)
			return status.Revision == contract.Revision(2) && len(status.Orders) == 0
		})
		c.Check(e.answerQuality(), qt.Equals, otherQuality)
	}
	code, out = d.runOperatorCommand(otherEntries[0], "zone", "in", homeZone)
	c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	for _, e := range homeEntries {
		until(func() bool { return e.answerQuality() == homeQuality })
	}
}
