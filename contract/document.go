// Package contract holds what operators agree with customers: routes, pools, customers, models,
// versions and zones. They form one document with one revision, validated as a whole.
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

	file   string // named in findings; empty for a document that was not parsed
	source []byte // TOML, for the lines of findings
}

// Zone is a data centre.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	// OutOfService takes the zone out: no new work for its endpoints. Default false.
	OutOfService bool `toml:"out_of_service"`
}

// Customer is one of the users' customers.
type Customer struct {
	Name string `toml:"name"`
	// KeyHashes are hex SHA-256 hashes of the customer's API keys; at least one.
	KeyHashes []string `toml:"key_hashes"`
	// Models lists the "model" or "model@version" names that the customer may use.
	Models []string `toml:"models"`
	// Priority orders queued requests; higher goes first. 0 to 9, default 0.
	Priority int `toml:"priority"`
	// RequestsPerSecond limits the customer over the whole fleet; 0 means no limit.
	RequestsPerSecond float64 `toml:"requests_per_second"`
	// MonthlyBudget in micro-units of currency; 0 means no limit.
	MonthlyBudget int64 `toml:"monthly_budget_micros"`
}

// Model is one model with its versions.
type Model struct {
	Name     string         `toml:"name"`
	Versions []ModelVersion `toml:"versions"`
}

// VersionState says which work a version may receive.
type VersionState string

// States of a version.
const (
	VersionActive    VersionState = "active"    // new sessions and its own
	VersionDraining  VersionState = "draining"  // its own sessions only
	VersionWithdrawn VersionState = "withdrawn" // nothing new, ever
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
	// Quality is the prior for the mean rating of its answers, 0 to 1.
	Quality float64 `toml:"quality"`
}

// PoolKind says what a pool's endpoints are.
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
	// MaxConcurrent requests per warm endpoint. Default 32.
	MaxConcurrent int `toml:"max_concurrent"`
	// ColdConcurrent requests per freshly started endpoint, over all entry instances together.
	// Default 2.
	ColdConcurrent int `toml:"cold_concurrent"`
	// WarmAfter completed requests the limit of a fresh endpoint doubles. Default 8.
	WarmAfter int `toml:"warm_after"`
	// DeduplicatesByKey says that the service itself runs an idempotency key at most once.
	DeduplicatesByKey bool `toml:"deduplicates_by_key"`
	// RequestPrice in micro-units per request of a service. Default 0.
	RequestPrice int64 `toml:"request_price_micros"`
	// ChecksFence says whether its engines refuse orders with an old fencing number.
	ChecksFence bool `toml:"checks_fence"`
}

// Route says which requests a customer may send and to which models and versions.
type Route struct {
	Name string `toml:"name"`
	// Customers lists who may use the route.
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
	// OnWithdrawn says what a session of a withdrawn version gets. Default refuse.
	OnWithdrawn OnWithdrawn `toml:"on_withdrawn"`
	// WhenUnconfirmed says what happens while this instance can't confirm its configuration.
	// Default serve.
	WhenUnconfirmed WhenUnconfirmed `toml:"when_unconfirmed"`
}

// OnWithdrawn is the fate of a session whose version was withdrawn.
type OnWithdrawn string

// Values of OnWithdrawn.
const (
	WithdrawnRefuse  OnWithdrawn = "refuse"
	WithdrawnRestart OnWithdrawn = "restart"
)

// WhenUnconfirmed is the fate of requests while an instance can't confirm its configuration.
type WhenUnconfirmed string

// Values of WhenUnconfirmed.
const (
	UnconfirmedServe  WhenUnconfirmed = "serve"
	UnconfirmedRefuse WhenUnconfirmed = "refuse"
)

// Sessions configures session tokens.
type Sessions struct {
	// SigningKeys sign and check session tokens, base64 of at least 32 bytes each. The first one
	// signs; all of them check.
	SigningKeys []string `toml:"signing_keys"`
	// LifetimeMinutes of a session without requests. Default 1,440.
	LifetimeMinutes int `toml:"lifetime_minutes"`
}
