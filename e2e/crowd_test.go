package e2e_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/internal/crowd"
)

// TestCrowds guards against clients outside the limits that make a daemon's process hold more than the memory and the descriptors of its
// machine. Each crowd stays connected while an ordinary request is sent.
func TestCrowds(t *testing.T) {
	for _, kind := range crowd.Kinds {
		t.Run(kind.Name, func(t *testing.T) {
			c := qt.New(t)
			d := newDeployment(c)
			e := d.startEntryWith("entry-a", entryOptions{settings: crowdSettings})
			d.applyConfig(e, d.configFile(baseConfig))
			d.awaitServing(e)
			pid := e.command.Process.Pid
			descriptors := func() int {
				open, err := crowd.OpenDescriptors(pid)
				c.Assert(err, qt.IsNil)
				return open
			}
			calm, most := descriptors(), 0
			for wave := range crowd.Waves {
				leave := kind.Send(e.Callers, "POST /bookings/"+kind.Path+" HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer sk-acme\r\n")
				most = max(most, descriptors())
				if kind.Unread {
					until(func() bool { return e.chat().complete() }) // once the process no longer waits for the crowd
				} else {
					ordinary := e.chat()
					c.Check(ordinary.complete(), qt.IsTrue, qt.Commentf("wave %d: %+v", wave, ordinary))
				}
				most = max(most, descriptors())
				leave()
			}
			until(func() bool { return descriptors() <= calm+8 }) // the process has closed the crowd's connections
			longest := e.call(http.MethodPost, "/bookings/x", "longest", strings.Repeat("x", crowd.BodyBytes))
			c.Check(longest.status, qt.Equals, http.StatusCreated, qt.Commentf("the longest body, in calm: %s", longest.body))
			peak, err := crowd.PeakMemoryMB(pid)
			c.Assert(err, qt.IsNil)
			t.Logf("peak %d MB, %d descriptors", peak, most)
			c.Check(peak <= crowd.MemoryMB, qt.IsTrue, qt.Commentf("peak of %d MB, memory %d MB", peak, crowd.MemoryMB))
			c.Check(most <= crowd.Descriptors, qt.IsTrue, qt.Commentf("%d descriptors of %d", most, crowd.Descriptors))
		})
	}
}

var crowdSettings = fmt.Sprintf("max_body_bytes = %d\nmemory_mb = %d\nmax_descriptors = %d\n", crowd.BodyBytes, crowd.MemoryMB, crowd.Descriptors)
