package rollout

import (
	"context"

	"plumbarrow.example/plumbarrow/contract"
	"plumbarrow.example/plumbarrow/machine"
)

// Order tells an engine to load a version. Orders set a state, so carrying one out twice does no
// harm.
type Order struct {
	Version contract.VersionID
	// Fence of the driver's lease. Engines that check it refuse orders below the highest one seen.
	Fence uint64
}

// Orderer gives orders to engines. ctx bounds an order: the implementation must not send it after
// ctx has ended.
type Orderer interface {
	// Engines lists the engines of a pool over all zones.
	Engines(pool string) []machine.Endpoint
	// Loaded returns the version that the engine itself says it serves or is loading.
	Loaded(ctx context.Context, engine machine.Endpoint) (contract.VersionID, error)
	// Load gives the order; it returns once the engine has taken it. The engine is listed with the
	// version when it serves it.
	Load(ctx context.Context, engine machine.Endpoint, order Order) error
}
