package contract

import (
	"fmt"
	"math"
	"regexp"
)

const (
	maxPriceMicros = 1_000_000_000_000 // per 1,000 tokens or per request; keeps sums within int64
	maxFindings    = 100               // further findings are dropped
)

var (
	// namePattern matches names of zones, customers, pools, routes and versions.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	// modelNamePattern also allows the slash and colon of model registries' names.
	modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$`)
)

// location identifies a field of an entry or of a nested entry, such as a model's version.
type location struct {
	table     string
	index     int    // within the table; -1 for a table without entries
	subTable  string // "versions", or empty
	subIndex  int
	entryName string
	field     string
}

func (p location) withField(field string) location {
	p.field = field
	return p
}

// path returns the key in positions of the entry that holds the field.
func (p location) path() string {
	path := p.table
	if p.index >= 0 {
		path = fmt.Sprintf("%s[%d]", path, p.index)
	}
	if p.subTable != "" {
		path = fmt.Sprintf("%s.%s[%d]", path, p.subTable, p.subIndex)
	}
	return path
}

func (p location) name() string {
	name := p.table
	if p.index >= 0 {
		name = fmt.Sprintf("%s %q", name, p.entryName)
	}
	if p.field != "" {
		name += ": " + p.field
	}
	return name
}

type checker struct {
	document  *Document
	snapshot  *Snapshot
	findings  []Finding
	locations []location
}

func (c *checker) run() {
	if len(c.document.Zones) == 0 {
		c.add(location{table: "zones", index: -1}, "no zone is configured")
	}
	c.zones()
	c.customers()
	c.models()
	c.pools()
	c.routes()
	c.sessions()
	c.orders()
}

func (c *checker) add(at location, format string, args ...any) {
	if len(c.findings) < maxFindings {
		c.findings = append(c.findings, Finding{Name: at.name(), Problem: fmt.Sprintf(format, args...)})
		c.locations = append(c.locations, at)
	}
}

// addUnservable adds a finding that a restrictive order may cause in a valid document.
func (c *checker) addUnservable(at location, format string, args ...any) {
	count := len(c.findings)
	c.add(at, format, args...)
	if len(c.findings) > count {
		c.findings[count].Unservable = true
	}
}

// locateFindings fills in the findings' file and line and returns them. A field that the document
// leaves out gets the line of its entry.
func (c *checker) locateFindings() []Finding {
	var found positions
	if c.document.source != nil {
		found = findPositions(c.document.source)
	}
	for i, at := range c.locations {
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

// checkName checks an entry's name. unique is false if an earlier entry has the same name.
func (c *checker) checkName(at location, pattern *regexp.Regexp, unique bool) {
	at.field = "name"
	switch {
	case !pattern.MatchString(at.entryName):
		c.add(at, "bad name: want letters, digits and ._- after a letter or digit, not too long")
	case !unique:
		c.add(at, "duplicate name")
	}
}

func (c *checker) checkFraction(at location, value float64) {
	if !(value >= 0 && value <= 1) {
		c.add(at, "%v is not between 0 and 1", value)
	}
}

func (c *checker) checkRange(at location, value, low, high int) {
	if value < low || value > high {
		c.add(at, "%d is not between %d and %d", value, low, high)
	}
}

func (c *checker) checkPrice(at location, value int64) {
	if value < 0 || value > maxPriceMicros {
		c.add(at, "%d is not between 0 and %d micro-units", value, int64(maxPriceMicros))
	}
}

// checkNonNegative checks that value is a finite number of at least 0; it also rejects NaN.
func (c *checker) checkNonNegative(at location, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		c.add(at, "%v is not a number of at least 0", value)
	}
}

func (c *checker) checkUnique(at location, values []string) {
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if seen[value] {
			c.add(at, "%q is listed twice", value)
		}
		seen[value] = true
	}
}
