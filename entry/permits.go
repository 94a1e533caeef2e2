package entry

import (
	"context"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/verdict"
)

// tablePermits hands out the table's own permits, which know only this instance's requests.
type tablePermits struct{ table *machine.Table }

var _ machine.Permits = tablePermits{}

// Acquire implements machine.Permits.
func (p tablePermits) Acquire(_ context.Context, endpoint *machine.Endpoint) (machine.Permit, *verdict.Refusal) {
	release, ok := p.table.Acquire(*endpoint)
	if !ok {
		return nil, verdict.Refuse(verdict.RetryPermit, "the endpoint's permits are taken")
	}
	return tablePermit(release), nil
}

type tablePermit func()

// Done implements machine.Permit.
func (p tablePermit) Done(machine.Result) { p() }
