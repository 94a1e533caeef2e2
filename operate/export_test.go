package operate

import (
	"context"

	"plumbarrow.example/plumbarrow/zone"
)

// Settle proposes an order once, as the settler does in the background.
func (s *Server) Settle(ctx context.Context, order zone.Order) { s.settler.propose(ctx, order) }
