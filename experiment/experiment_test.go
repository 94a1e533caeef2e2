package experiment

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The aims in these two lists have tests of their own, since KNOWN-RED.txt names tests.
var (
	clairvoyantAims = []string{
		"steady: cost of the clairvoyant choice",
		"rater out: cost of the clairvoyant choice",
		"cheap model drifts: cost of the clairvoyant choice",
	}
	goodputAims = []string{"at 2 times capacity: best baseline's goodput of the router's"}
)

// aims runs the shorter experiments once and returns their aims by text.
var aims = sync.OnceValues(func() (map[string]Aim, error) {
	all := make(map[string]Aim)
	for _, name := range []string{Cost, Overload, Zones} {
		report, err := Run(name, 1)
		if err != nil {
			return nil, err
		}
		for _, aim := range report.Aims {
			all[aim.Text] = aim
		}
	}
	return all, nil
})

func hold(t *testing.T, aim Aim) {
	t.Logf("%s: %.4g of %.4g, met %t", aim.Text, aim.Figure, aim.Bound, aim.Met)
	qt.Check(t, aim.Met, qt.IsTrue, qt.Commentf("%s: %g, at most %g", aim.Text, aim.Figure, aim.Bound))
}

func holdNamed(t *testing.T, texts []string) {
	all, err := aims()
	qt.Assert(t, err, qt.IsNil)
	for _, text := range texts {
		aim, found := all[text]
		qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", text))
		hold(t, aim)
	}
}

// TestAims holds every aim of the shorter experiments that has no test of its own.
func TestAims(t *testing.T) {
	all, err := aims()
	qt.Assert(t, err, qt.IsNil)
	for text, aim := range all {
		if !slices.Contains(clairvoyantAims, text) && !slices.Contains(goodputAims, text) {
			hold(t, aim)
		}
	}
}

// TestAimClairvoyantCost: cascades cost at most a tenth more than a choice that knows every rating.
func TestAimClairvoyantCost(t *testing.T) { holdNamed(t, clairvoyantAims) }

// TestAimGoodputAtTwiceCapacity: no baseline serves more under twice the load.
func TestAimGoodputAtTwiceCapacity(t *testing.T) { holdNamed(t, goodputAims) }

// TestSameSeedSameReport: an experiment depends on nothing but its seed.
func TestSameSeedSameReport(t *testing.T) {
	var reports [2]Report
	for i := range reports {
		reports[i].addOverload(0.5, 7)
	}
	qt.Assert(t, reports[0], qt.DeepEquals, reports[1])
}

// exposureRatio serves a bad version under the sequential and under the fixed-sample test and returns
// the requests served badly of both.
func exposureRatio(bad badness) (sequential, fixed int) {
	const trials = 10
	random := rand.New(rand.NewPCG(1, 1))
	for range trials {
		s, f := exposed(bad, random)
		sequential += s
		fixed += f
	}
	return sequential, fixed
}

func holdExposure(t *testing.T, bad badness) {
	sequential, fixed := exposureRatio(bad)
	qt.Check(t, sequential*4 <= fixed, qt.IsTrue, qt.Commentf("%s: %d of %d", bad.name, sequential, fixed))
}

// TestExposure: a version that fails three in ten serves at most a quarter of the requests badly
// that it serves under the fixed-sample test.
func TestExposure(t *testing.T) { holdExposure(t, badnesses[1]) }

// TestAimExposureSmallRise: the same of a version that fails one in ten.
func TestAimExposureSmallRise(t *testing.T) { holdExposure(t, badnesses[0]) }

// TestAimExposureRatings: the same of a version whose answers are rated lower.
func TestAimExposureRatings(t *testing.T) { holdExposure(t, badnesses[3]) }

// TestNoFalseAlarms: one in five hundred of the healthy roll-outs of the experiment raises no alarm.
func TestNoFalseAlarms(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	alarms := int64(0)
	for range exposureHealthy / 500 {
		s, _ := healthyRollout(random)
		alarms += s
	}
	qt.Check(t, alarms, qt.Equals, int64(0))
}
