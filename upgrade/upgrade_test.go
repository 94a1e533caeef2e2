package upgrade

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCheck checks each reason against the next replacement.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	for name, play := range map[string]struct {
		oldest int
		change func(m *Member)
		want   []string
	}{
		"none":              {0, func(*Member) {}, nil},
		"newer":             {1, func(m *Member) { m.Protocol, m.Listed = 3, map[int]int{2: 1, 3: 1} }, nil},
		"not ready":         {0, func(m *Member) { m.Ready = false }, []string{"b: is not ready"}},
		"old copy":          {0, func(m *Member) { m.Age = 2 * time.Second }, []string{"b: its copy of the store is 2000 ms old, at most 1300"}},
		"no copy":           {0, func(m *Member) { m.Age = -1 }, []string{"b: its copy of the store is 0 ms old, at most 1300"}},
		"late":              {0, func(m *Member) { m.Lag = 4 * time.Second }, []string{"b: the last changes took effect 4000 ms after the first instance, at most 1000"}},
		"configuration":     {0, func(m *Member) { m.Configuration = 6 }, []string{"2 versions of the configuration are in force"}},
		"protocol":          {2, func(m *Member) { m.Protocol = 1 }, []string{"b: protocol 1 does not share a fleet with 3, which needs 2 at least"}},
		"protocol of other": {2, func(m *Member) { m.Listed = map[int]int{0: 1} }, []string{"an instance of protocol 0 is registered, which does not share a fleet with 3"}},
	} {
		members := []Member{{Name: "a", Ready: true, Protocol: 2, Configuration: 7}, {Name: "b", Ready: true, Protocol: 2, Configuration: 7}}
		play.change(&members[1])
		var got []string
		for _, finding := range Check(3, play.oldest, members) {
			got = append(got, finding.String())
		}
		c.Check(got, qt.DeepEquals, play.want, qt.Commentf(name))
	}
	c.Check(Check(1, 0, nil), qt.DeepEquals, []Finding{{Detail: "no instance answers"}})
}
