package experiment

import (
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// missed are the aims that the policies do not reach yet; docs/design names the figures.
var missed = []string{
	"steady: cost of the clairvoyant choice",
	"rater out: cost of the clairvoyant choice",
	"cheap model drifts: cost of the clairvoyant choice",
	"at 2 times capacity: best baseline's goodput of the router's",
}

// TestAims runs the shorter experiments and holds every aim that was reached once.
func TestAims(t *testing.T) {
	for _, name := range []string{Cost, Overload, Zones} {
		report, err := Run(name, 1)
		qt.Assert(t, err, qt.IsNil)
		for _, aim := range report.Aims {
			t.Logf("%s: %.4g of %.4g, met %t", aim.Text, aim.Figure, aim.Bound, aim.Met)
			if !strings.Contains(strings.Join(missed, "\n"), aim.Text) {
				qt.Check(t, aim.Met, qt.IsTrue, qt.Commentf("%s: %g, at most %g", aim.Text, aim.Figure, aim.Bound))
			}
		}
	}
}

// TestSameSeedSameReport: an experiment depends on nothing but its seed.
func TestSameSeedSameReport(t *testing.T) {
	var reports [2]Report
	for i := range reports {
		reports[i].addOverload(0.5, 7)
	}
	qt.Assert(t, reports[0], qt.DeepEquals, reports[1])
}

// TestExposure: a version that fails three in ten serves at most a quarter of the requests badly
// that it serves under the fixed-sample test; one in five hundred of the healthy roll-outs of the
// experiment raises no alarm.
func TestExposure(t *testing.T) {
	const trials = 10
	random := rand.New(rand.NewPCG(1, 1))
	sequential, fixed := 0, 0
	for range trials {
		s, f := exposed(badnesses[1], random)
		sequential += s
		fixed += f
	}
	qt.Check(t, sequential*4 <= fixed, qt.IsTrue, qt.Commentf("%d of %d", sequential, fixed))
	alarms := int64(0)
	for range exposureHealthy / 500 {
		s, _ := healthyRollout(random)
		alarms += s
	}
	qt.Check(t, alarms, qt.Equals, int64(0))
}
