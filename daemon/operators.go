package daemon

import (
	"context"
	"errors"

	"plumbarrow.example/plumbarrow/ledger"
	"plumbarrow.example/plumbarrow/operate"
	"plumbarrow.example/plumbarrow/operate/api"
	"plumbarrow.example/plumbarrow/replica"
	"plumbarrow.example/plumbarrow/rollout"
)

// assembleOperate creates the server of the operators' API.
func (d *Daemon) assembleOperate() error {
	token, err := operate.ReadToken(d.settings.OperatorsTokenFile)
	if err != nil {
		return err
	}
	d.operate = operate.New(operate.Parts{
		Members:       d.membership,
		Proposer:      replica.NewProposer(d.store, d.replica, d.counters, d.log),
		Configuration: d.replica,
		Orders:        d.orders,
		Rollouts:      rollout.NewRecords(d.store),
		Bills:         d.bills,
		Explain:       func(id string) (any, bool) { return d.entry.Explain(id) },
		Ready:         d.ready,
		Counters:      d.counters,
		Log:           d.log,
		Token:         token,
	})
	return nil
}

// ready returns the reason why the instance takes no requests, or nil if it takes them.
func (d *Daemon) ready() error {
	if err := d.replica.Ready(); err != nil {
		return err
	}
	if !d.entry.Ready() {
		return errors.New("stopping, or its zone is out of service")
	}
	return nil
}

// bills returns each customer's total over all zones.
func (d *Daemon) bills(ctx context.Context) ([]api.Bill, error) {
	totals, err := ledger.Totals(ctx, d.store)
	if err != nil {
		return nil, err
	}
	bills := make([]api.Bill, 0, len(totals))
	for _, total := range totals {
		bills = append(bills, api.Bill(total))
	}
	return bills, nil
}
