package contract

import (
	"encoding/base64"
	"regexp"
	"strings"
)

const (
	maxPriority          = 9
	minSigningKeyBytes   = 32
	minSigningKeyValues  = 8 // distinct bytes; fewer means a typed-in placeholder
	maxLifetimeMinutes   = 525_600
	maxRequestsPerSecond = 1_000_000
	maxClearedOrders     = 1_024
)

var keyHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *checker) zones() {
	for i := range c.document.Zones {
		zone := &c.document.Zones[i]
		at := place{table: "zones", index: i, entry: zone.Name}
		c.nameOf(at, plainName, c.snapshot.Zones[zone.Name] == zone)
		if !plainName.MatchString(zone.Region) {
			c.add(at.of("region"), "bad or missing region %q", zone.Region)
		}
	}
}

func (c *checker) customers() {
	for i := range c.document.Customers {
		customer := &c.document.Customers[i]
		at := place{table: "customers", index: i, entry: customer.Name}
		c.nameOf(at, plainName, c.snapshot.Customers[customer.Name] == customer)
		c.keyHashes(at.of("key_hashes"), customer)
		c.unique(at.of("models"), customer.Models)
		for _, name := range customer.Models {
			c.allowed(at.of("models"), name)
		}
		c.between(at.of("priority"), customer.Priority, 0, maxPriority)
		c.amount(at.of("requests_per_second"), customer.RequestsPerSecond)
		if customer.RequestsPerSecond > maxRequestsPerSecond {
			c.add(at.of("requests_per_second"), "%v is above %d", customer.RequestsPerSecond, maxRequestsPerSecond)
		}
		if customer.MonthlyBudget < 0 {
			c.add(at.of("monthly_budget_micros"), "%d is negative", customer.MonthlyBudget)
		}
	}
}

func (c *checker) keyHashes(at place, customer *Customer) {
	if len(customer.KeyHashes) == 0 {
		c.add(at, "no key hash: the customer could never call")
	}
	seen := make(map[string]bool, len(customer.KeyHashes))
	for _, hash := range customer.KeyHashes {
		switch {
		case !keyHash.MatchString(hash):
			c.add(at, "%q is not a hex SHA-256 in lower case", hash)
		case seen[hash]:
			c.add(at, "the hash %.8s… is listed twice", hash)
		case c.snapshot.customersByKeyHash[hash] != customer:
			c.add(at, "the hash %.8s… belongs to customer %q too", hash, c.snapshot.customersByKeyHash[hash].Name)
		}
		seen[hash] = true
	}
}

// allowed checks one "model" or "model@version" of a customer.
func (c *checker) allowed(at place, name string) {
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
	at := place{table: "sessions", index: -1}
	c.between(at.of("lifetime_minutes"), sessions.LifetimeMinutes, 1, maxLifetimeMinutes)
	seen := make(map[string]bool, len(sessions.SigningKeys))
	for i, text := range sessions.SigningKeys {
		key, err := base64.StdEncoding.DecodeString(text)
		switch {
		case err != nil:
			c.add(at.of("signing_keys"), "key %d is not base64", i+1)
		case len(key) < minSigningKeyBytes || distinct(key) < minSigningKeyValues:
			c.add(at.of("signing_keys"), "key %d is weak: want at least %d random bytes", i+1, minSigningKeyBytes)
		case seen[string(key)]:
			c.add(at.of("signing_keys"), "key %d is listed twice", i+1)
		}
		seen[string(key)] = true
	}
}

func distinct(data []byte) int {
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
	at := place{table: "orders", index: -1, field: "cleared"}
	if len(orders.Cleared) > maxClearedOrders {
		c.add(at, "%d ids, at most %d", len(orders.Cleared), maxClearedOrders)
	}
	c.unique(at, orders.Cleared)
}
