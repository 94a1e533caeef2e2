package rollout

import (
	"context"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
)

// Order is a load order: it tells an engine to load a version. Load orders are idempotent, because they set a state.
type Order struct {
	Version contract.VersionID
	// Fence is the fencing token of the driver's lease. Engines that check it refuse orders with a
	// token below the highest one seen.
	Fence uint64
}

// Orderer sends load orders to engines. ctx bounds an order: the implementation must not send it after
// ctx has ended.
type Orderer interface {
	// Engines lists the engines of a pool over all zones.
	Engines(pool string) []machine.Endpoint
	// Loaded returns the version that the engine itself reports as served or loading.
	Loaded(ctx context.Context, engine machine.Endpoint) (contract.VersionID, error)
	// Load sends the order and returns once the engine has accepted it. The platform lists the
	// engine with the new version once it serves it.
	Load(ctx context.Context, engine machine.Endpoint, order Order) error
}
