package operate

import (
	"context"

	"plumbarrow.example/plumbarrow/zone"
)

// Settle tries once to have an order accepted.
func (s *Server) Settle(ctx context.Context, order zone.Order) { s.settler.try(ctx, order) }
