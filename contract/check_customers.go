package contract

import (
	"encoding/base64"
	"regexp"
	"strings"
)

const (
	maxPriority                = 9
	minSigningKeyBytes         = 32
	minSigningKeyDistinctBytes = 8 // fewer indicate a placeholder typed by hand, not a random key
	maxLifetimeMinutes         = 525_600
	maxRequestsPerSecond       = 1_000_000
	maxClearedOrders           = 1_024
)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) zones() {
	for i := range c.document.Zones {
		zone := &c.document.Zones[i]
		at := location{table: "zones", index: i, entryName: zone.Name}
		c.checkName(at, namePattern, c.snapshot.Zones[zone.Name] == zone)
		if !namePattern.MatchString(zone.Region) {
			c.add(at.withField("region"), "bad or missing region %q", zone.Region)
		}
	}
}

func (c *checker) customers() {
	for i := range c.document.Customers {
		customer := &c.document.Customers[i]
		at := location{table: "customers", index: i, entryName: customer.Name}
		c.checkName(at, namePattern, c.snapshot.Customers[customer.Name] == customer)
		c.checkKeyHashes(at.withField("key_hashes"), customer)
		c.checkUnique(at.withField("models"), customer.Models)
		for _, name := range customer.Models {
			c.checkModelRef(at.withField("models"), name)
		}
		c.checkRange(at.withField("priority"), customer.Priority, 0, maxPriority)
		c.checkNonNegative(at.withField("requests_per_second"), customer.RequestsPerSecond)
		if customer.RequestsPerSecond > maxRequestsPerSecond {
			c.add(at.withField("requests_per_second"), "%v is above %d", customer.RequestsPerSecond, maxRequestsPerSecond)
		}
		if customer.MonthlyBudget < 0 {
			c.add(at.withField("monthly_budget_micros"), "%d is negative", customer.MonthlyBudget)
		}
	}
}

func (c *checker) checkKeyHashes(at location, customer *Customer) {
	if len(customer.KeyHashes) == 0 {
		c.add(at, "no key hash: the customer could never call")
	}
	seen := make(map[string]bool, len(customer.KeyHashes))
	for _, hash := range customer.KeyHashes {
		switch {
		case !keyHashPattern.MatchString(hash):
			c.add(at, "%q is not a hex SHA-256 in lower case", hash)
		case seen[hash]:
			c.add(at, "the hash %.8s… is listed twice", hash)
		case c.snapshot.customersByKeyHash[hash] != customer:
			c.add(at, "the hash %.8s… belongs to customer %q too", hash, c.snapshot.customersByKeyHash[hash].Name)
		}
		seen[hash] = true
	}
}

// checkModelRef checks that a customer's "model" or "model@version" exists.
func (c *checker) checkModelRef(at location, name string) {
	model, version, qualified := strings.Cut(name, "@")
	switch {
	case c.snapshot.Models[model] == nil:
		c.add(at, "unknown model %q", model)
	case qualified && c.snapshot.Versions[VersionID{model, version}] == nil:
		c.add(at, "unknown version %q of model %q", version, model)
	}
}

func (c *checker) sessions() {
	sessions := &c.document.Sessions
	at := location{table: "sessions", index: -1}
	c.checkRange(at.withField("lifetime_minutes"), sessions.LifetimeMinutes, 1, maxLifetimeMinutes)
	seen := make(map[string]bool, len(sessions.SigningKeys))
	for i, text := range sessions.SigningKeys {
		key, err := base64.StdEncoding.DecodeString(text)
		switch {
		case err != nil:
			c.add(at.withField("signing_keys"), "key %d is not base64", i+1)
		case len(key) < minSigningKeyBytes || distinctBytes(key) < minSigningKeyDistinctBytes:
			c.add(at.withField("signing_keys"), "key %d is weak: want at least %d random bytes", i+1, minSigningKeyBytes)
		case seen[string(key)]:
			c.add(at.withField("signing_keys"), "key %d is listed twice", i+1)
		}
		seen[string(key)] = true
	}
}

func distinctBytes(data []byte) int {
	var seen [256]bool
	n := 0
	for _, b := range data {
		if !seen[b] {
			seen[b] = true
			n++
		}
	}
	return n
}

func (c *checker) orders() {
	orders := &c.document.Orders
	at := location{table: "orders", index: -1, field: "cleared"}
	if len(orders.Cleared) > maxClearedOrders {
		c.add(at, "%d ids, at most %d", len(orders.Cleared), maxClearedOrders)
	}
	c.checkUnique(at, orders.Cleared)
}
