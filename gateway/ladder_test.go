package gateway

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"plumbarrow.example/plumbarrow/catalog"
)

var (
	threeModels = []string{"small", "middle", "large"}
	rising      = map[string]float64{"small": 1, "middle": 8, "large": 16}
)

// TestLadder checks the model that is asked after an answer that was not trusted.
func TestLadder(t *testing.T) {
	failed := NewLadder()
	for range 40 {
		failed.Learn("chat", "middle", 50, false)
	}
	proven := NewLadder()
	for range 40 {
		proven.Learn("chat", "middle", 20, true)
	}
	for name, one := range map[string]struct {
		ladder     *Ladder
		models     []string
		costs      map[string]float64
		confidence float64
		want       int
	}{
		"nearly trusted":        {NewLadder(), threeModels, rising, 50, 1},
		"far from trusted":      {NewLadder(), threeModels, rising, 20, 2},
		"nearly, but it failed": {failed, threeModels, rising, 50, 2},
		"far, but it served":    {proven, threeModels, rising, 20, 1},
		"two models":            {NewLadder(), threeModels[1:], rising, 50, 1},
		"costs unknown":         {NewLadder(), threeModels, nil, 50, 2},
		"hardly cheaper":        {NewLadder(), threeModels, map[string]float64{"middle": 15, "large": 16}, 45, 2},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, one.ladder.Next("chat", one.models, one.costs, 0, one.confidence), qt.Equals, one.want)
		})
	}
}

// TestLadderForgets learns again what changed with a model.
func TestLadderForgets(t *testing.T) {
	c := qt.New(t)
	ladder := NewLadder()
	for range 1000 {
		ladder.Learn("chat", "middle", 50, true)
	}
	for range learnedMax {
		ladder.Learn("chat", "middle", 50, false)
	}
	c.Check(ladder.Next("chat", threeModels, rising, 0, 50), qt.Equals, 2)
}

// TestMiddleModel: answers that are nearly trusted go to the middle model, which takes a part of the
// largest one's work off the endpoints; an attempt always stays for the largest one.
func TestMiddleModel(t *testing.T) {
	saying := func(confidence string) answer {
		one := events("id: 1\ndata: x\n\n")
		one.header += "\nConfidence: " + confidence
		return one
	}
	for name, one := range map[string]struct {
		script   []answer
		attempts int
		models   []string
	}{
		"middle suffices":      {[]answer{saying("50"), saying("90")}, 3, []string{"small", "middle"}},
		"middle as unsure":     {[]answer{saying("50"), saying("50"), saying("10")}, 3, threeModels},
		"far from trusted":     {[]answer{saying("10"), saying("90")}, 3, []string{"small", "large"}},
		"two attempts allowed": {[]answer{saying("50"), saying("90")}, 2, []string{"small", "large"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(one.script...)
				changed := draft(2)
				changed.Services[0].ModelCosts = rising
				for _, route := range changed.Routes {
					if len(route.Models) > 0 {
						route.Models, route.MaxAttempts = threeModels, one.attempts
					}
				}
				f.current.Set(catalog.New(changed))
				c.Check(f.call("stream", "Model", "any").status, qt.Equals, 200)
				var models []string
				for _, out := range f.sender.sent {
					models = append(models, out.Header.Get("Model"))
				}
				c.Check(models, qt.DeepEquals, one.models)
			})
		})
	}
}
