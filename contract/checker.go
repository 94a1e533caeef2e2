package contract

import (
	"fmt"
	"math"
	"regexp"
)

const (
	maxPriceMicros = 1_000_000_000_000 // per 1,000 tokens or request; sums stay far from overflow
	maxFindings    = 100
)

var (
	// plainName is what zones, customers, pools and routes may be called.
	plainName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	// modelName also allows the slash that model registries use.
	modelName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$`)
)

// place is a field of an entry, or of an entry within one.
type place struct {
	table string
	index int
	sub   string // "versions", or empty
	inner int
	entry string // the entry's name
	field string
}

func (p place) of(field string) place {
	p.field = field
	return p
}

// path is the place's key in positions.
func (p place) path() string {
	path := p.table
	if p.index >= 0 {
		path = fmt.Sprintf("%s[%d]", path, p.index)
	}
	if p.sub != "" {
		path = fmt.Sprintf("%s.%s[%d]", path, p.sub, p.inner)
	}
	return path
}

func (p place) name() string {
	name := p.table
	if p.index >= 0 {
		name = fmt.Sprintf("%s %q", name, p.entry)
	}
	if p.field != "" {
		name += ": " + p.field
	}
	return name
}

type checker struct {
	document *Document
	snapshot *Snapshot
	findings []Finding
	places   []place
}

func (c *checker) run() {
	if len(c.document.Zones) == 0 {
		c.add(place{table: "zones", index: -1}, "no zone is configured")
	}
	c.zones()
	c.customers()
	c.models()
	c.pools()
	c.routes()
	c.sessions()
	c.orders()
}

func (c *checker) add(at place, format string, args ...any) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, Finding{Name: at.name(), Problem: fmt.Sprintf(format, args...)})
		c.places = append(c.places, at)
	}
}

// unservable adds a finding that an order which only takes away may cause.
func (c *checker) unservable(at place, format string, args ...any) {
	before := len(c.findings)
	c.add(at, format, args...)
	if len(c.findings) > before {
		c.findings[before].Unservable = true
	}
}

// located returns the findings with file and line.
func (c *checker) located() []Finding {
	var found positions
	if c.document.source != nil {
		found = locate(c.document.source)
	}
	for i, at := range c.places {
		c.findings[i].File = c.document.file
		offset, ok := found[join(at.path(), at.field)]
		if !ok {
			offset, ok = found[at.path()]
		}
		if ok {
			c.findings[i].Line = lineAt(c.document.source, offset)
		}
	}
	return c.findings
}

func (c *checker) nameOf(at place, pattern *regexp.Regexp, first bool) {
	at.field = "name"
	switch {
	case !pattern.MatchString(at.entry):
		c.add(at, "bad name: want letters, digits and ._- after a letter or digit, not too long")
	case !first:
		c.add(at, "duplicate name")
	}
}

func (c *checker) share(at place, value float64) {
	if !(value >= 0 && value <= 1) {
		c.add(at, "%v is not between 0 and 1", value)
	}
}

func (c *checker) between(at place, value, low, high int) {
	if value < low || value > high {
		c.add(at, "%d is not between %d and %d", value, low, high)
	}
}

func (c *checker) price(at place, value int64) {
	if value < 0 || value > maxPriceMicros {
		c.add(at, "%d is not between 0 and %d micro-units", value, int64(maxPriceMicros))
	}
}

func (c *checker) amount(at place, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		c.add(at, "%v is not a number of at least 0", value)
	}
}

func (c *checker) unique(at place, values []string) {
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if seen[value] {
			c.add(at, "%q is listed twice", value)
		}
		seen[value] = true
	}
}
