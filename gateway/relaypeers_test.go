package gateway

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/machine"
)

// fleet returns instances, of which the first is the one that asks.
func fleet(n int) relayMembers {
	var members relayMembers
	for i := range n {
		members = append(members, machine.Member{ID: machine.InstanceID("entry-" + strconv.Itoa(i))})
	}
	return members
}

// TestMostOfLargeFleetCutOff guards against callers of cut-off instances that are refused since too few peers are asked: of 400 instances nine
// in ten are cut off, and once a few peers are known hardly any request is refused, also with a request every few seconds.
func TestMostOfLargeFleetCutOff(t *testing.T) {
	for _, pause := range []time.Duration{20 * time.Millisecond, 4 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			c := qt.New(t)
			members, now := fleet(400), time.Unix(1000, 0)
			var peers relayPeers
			refused, asks := 0, 0
			for request := range 200 {
				now = now.Add(pause)
				var asked []machine.InstanceID
				took := false
				for len(asked) < maxPeersAsked && !took {
					peer, ok := peers.choose(members, members[0].ID, asked, now)
					if !ok {
						break
					}
					asked = append(asked, peer.ID)
					if took = peer.ID[len(peer.ID)-1] == '5'; took {
						peers.took(peer.ID, now)
					} else {
						peers.declined(peer.ID, now)
					}
					peers.done(peer.ID)
				}
				if request < 100 {
					continue
				}
				asks += len(asked)
				if !took {
					refused++
				}
			}
			c.Check(refused <= 2, qt.IsTrue, qt.Commentf("%d of 100 refused", refused))
			c.Check(asks <= 300, qt.IsTrue, qt.Commentf("%d asked for 100 requests", asks))
		})
	}
}

// TestNoInstanceReachesService guards against a fleet that spends its time on requests passed on in vain: once 24 peers have declined, a service
// that no instance reaches costs each at most 25 relays a second, and the other requests are refused at once.
func TestNoInstanceReachesService(t *testing.T) {
	c := qt.New(t)
	members, now := fleet(400), time.Unix(1000, 0)
	var peers relayPeers
	asks := 0
	for range 1000 { // in ten seconds
		now = now.Add(10 * time.Millisecond)
		if peer, ok := peers.choose(members, members[0].ID, nil, now); ok {
			asks++
			peers.declined(peer.ID, now)
			peers.done(peer.ID)
		}
	}
	c.Check(asks <= 25*10, qt.IsTrue, qt.Commentf("%d asked", asks))
}
