// Package contract defines the operators' configuration: routes, pools, customers, models, versions
// and zones. They form one document with one revision, validated as a whole. The package parses,
// validates, merges and indexes documents; it neither stores nor distributes them.
package contract

// Document is the operators' configuration as written in TOML. Routes and pools refer to each
// other by name.
type Document struct {
	Zones     []Zone     `toml:"zones,omitempty"`
	Customers []Customer `toml:"customers,omitempty"`
	Models    []Model    `toml:"models,omitempty"`
	Pools     []Pool     `toml:"pools,omitempty"`
	Routes    []Route    `toml:"routes,omitempty"`
	Sessions  Sessions   `toml:"sessions,omitempty"`
	Orders    Orders     `toml:"orders,omitempty"`

	file   string // name reported in findings; empty for a document that was not parsed
	source []byte // TOML text, used to find the lines of findings
}

// Zone is a data centre.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	// OutOfService stops new work for the zone's endpoints. Default false.
	OutOfService bool `toml:"out_of_service"`
}

// Customer holds a customer's API key hashes, permitted models and limits.
type Customer struct {
	Name string `toml:"name"`
	// KeyHashes are hex SHA-256 hashes of the customer's API keys; at least one.
	KeyHashes []string `toml:"key_hashes"`
	// Models lists the "model" or "model@version" names that the customer may use.
	Models []string `toml:"models"`
	// Priority orders queued requests; higher goes first. 0 to 9, default 0.
	Priority int `toml:"priority"`
	// RequestsPerSecond limits the customer's rate across all entry instances; 0 means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// MonthlyBudget in micro-units of currency; 0 means no limit.
	MonthlyBudget int64 `toml:"monthly_budget_micros"`
}

// Model is one model with its versions.
type Model struct {
	Name     string         `toml:"name"`
	Versions []ModelVersion `toml:"versions"`
}

// VersionState determines which sessions a version may serve.
type VersionState string

// States of a version.
const (
	VersionActive    VersionState = "active"    // new sessions and sessions already bound to it
	VersionDraining  VersionState = "draining"  // only sessions already bound to it
	VersionWithdrawn VersionState = "withdrawn" // no new requests, permanently
)

// ModelVersion is one version of a model.
type ModelVersion struct {
	Name string `toml:"name"`
	// State is active, draining or withdrawn. Default active.
	State VersionState `toml:"state"`
	// Weight is the share of new sessions relative to the model's other active versions.
	// Default 1; 0 gives the version no new sessions.
	Weight *float64 `toml:"weight"`
	// PromptPrice and OutputPrice in micro-units of currency per 1,000 tokens.
	PromptPrice int64 `toml:"prompt_price_micros"`
	OutputPrice int64 `toml:"output_price_micros"`
	// Quality is the prior for the mean rating of its answers, 0 to 1. 0 means unknown.
	Quality float64 `toml:"quality"`
}

// PoolKind distinguishes pools of inference engines from pools of plain services.
type PoolKind string

// Kinds of pools.
const (
	PoolEngine  PoolKind = "engine"
	PoolService PoolKind = "service"
)

// Pool describes a group of endpoints.
type Pool struct {
	Name string   `toml:"name"`
	Kind PoolKind `toml:"kind"`
	// Model is served by an engine pool; empty for services.
	Model string `toml:"model"`
	// Versions of the model that the pool may serve; empty means every version.
	Versions []string `toml:"versions"`
	// Routes lists the routes that may use the pool.
	Routes []string `toml:"routes"`
	// MaxConcurrent is the concurrency limit of a warm endpoint. Default 32.
	MaxConcurrent int `toml:"max_concurrent"`
	// ColdConcurrent is the initial concurrency limit of a freshly started endpoint (slow start),
	// shared by all entry instances. Default 2.
	ColdConcurrent int `toml:"cold_concurrent"`
	// WarmAfter is the number of completed requests after which the limit of a freshly started
	// endpoint doubles. Default 8.
	WarmAfter int `toml:"warm_after"`
	// DeduplicatesByKey is set if the service itself runs requests with the same idempotency key at
	// most once.
	DeduplicatesByKey bool `toml:"deduplicates_by_key"`
	// RequestPrice in micro-units per request of a service. Default 0.
	RequestPrice int64 `toml:"request_price_micros"`
	// ChecksFence is set if the pool's engines refuse load orders with an outdated fencing token.
	ChecksFence bool `toml:"checks_fence"`
}

// Route maps requests, by model name or path prefix, to pools, and lists the customers that may use
// it.
type Route struct {
	Name string `toml:"name"`
	// Customers lists the names of the customers that may use the route.
	Customers []string `toml:"customers"`
	// Model is the name that callers put into a chat request; it selects the route. Empty for
	// services.
	Model string `toml:"model"`
	// PathPrefix selects the route for a plain service, such as "/bookings". Empty for models.
	PathPrefix string `toml:"path_prefix"`
	// Pools in cascade order, from cheap to good; one pool means no cascade.
	Pools []string `toml:"pools"`
	// QualityTarget is the mean rating to hold, 0 to 1. 0 means the first pool's answer is used.
	QualityTarget float64 `toml:"quality_target"`
	// IdempotentMethods of a service that may be repeated. Default GET, HEAD, OPTIONS.
	IdempotentMethods []string `toml:"idempotent_methods"`
	// DeadlineMS is the time to the first byte in milliseconds. Default 10,000.
	DeadlineMS int `toml:"deadline_ms"`
	// ProgressMS is the longest silence within a stream in milliseconds. Default 10,000.
	ProgressMS int `toml:"progress_ms"`
	// Priority is added to the customer's. -9 to 9, default 0.
	Priority int `toml:"priority"`
	// OnWithdrawn is the handling of a session whose version is withdrawn. Default refuse.
	OnWithdrawn OnWithdrawn `toml:"on_withdrawn"`
	// WhenUnconfirmed is the handling of requests while an instance can't confirm that its
	// configuration is current. Default serve.
	WhenUnconfirmed WhenUnconfirmed `toml:"when_unconfirmed"`
}

// OnWithdrawn is the handling of a session whose version was withdrawn.
type OnWithdrawn string

// Values of OnWithdrawn.
const (
	WithdrawnRefuse  OnWithdrawn = "refuse"
	WithdrawnRestart OnWithdrawn = "restart"
)

// WhenUnconfirmed is the handling of requests while an instance can't confirm its configuration.
type WhenUnconfirmed string

// Values of WhenUnconfirmed.
const (
	UnconfirmedServe  WhenUnconfirmed = "serve"
	UnconfirmedRefuse WhenUnconfirmed = "refuse"
)

// Sessions configures session tokens.
type Sessions struct {
	// SigningKeys are base64 of at least 32 bytes each. The first one signs session tokens; a token
	// is valid if any of them signed it, so that keys can be rotated.
	SigningKeys []string `toml:"signing_keys"`
	// LifetimeMinutes is how long a session lasts without requests. Default 1,440.
	LifetimeMinutes int `toml:"lifetime_minutes"`
}
