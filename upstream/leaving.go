package upstream

import (
	"time"

	"plumbarrow.example/plumbarrow/machine"
)

// incarnation identifies one start of an endpoint. An endpoint may start again under its id, and its address may be used again.
type incarnation struct {
	startMillis int64
	address     string
}

func (r *Report) incarnation() incarnation {
	return incarnation{startMillis: r.StartMillis, address: r.Address}
}

// RecordLeaving records that the endpoint says in an answer that it leaves. It gets no further requests from this instance, whatever
// discovery says, until discovery reports another incarnation of it. request is the id for the log.
func (g *Grant) RecordLeaving(request string) {
	t, e := g.table, g.Endpoint
	e.mu.Lock()
	recorded := !e.leaving && e.report.incarnation() == g.Report.incarnation()
	e.leaving = e.leaving || recorded
	e.mu.Unlock()
	if !recorded {
		return
	}
	t.log.Info("endpoint says that it leaves", "endpoint", e.id, "service", g.Report.Service, "address", g.Report.Address,
		"start_millis", g.Report.StartMillis, "request_id", request)
	t.counters.Inc("plumbarrow_leaving_endpoints_total")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuild(time.Now())
}

// Leaving returns the endpoints in discovery that said in an answer that they leave.
func (t *Table) Leaving() []machine.EndpointID {
	var ids []machine.EndpointID
	for _, endpoints := range t.view.Load().byService {
		for _, e := range endpoints {
			e.mu.Lock()
			if e.leaving {
				ids = append(ids, e.id)
			}
			e.mu.Unlock()
		}
	}
	return ids
}
