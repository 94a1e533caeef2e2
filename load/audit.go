package load

import "fmt"

// Audit compares the answers that callers received with the executions at the endpoints.
// runsByRequest counts executions by request id, runsByKey by idempotency key; either may be nil if
// the endpoints don't provide it. Audit returns one line per violated guarantee.
func (r *Report) Audit(runsByRequest, runsByKey map[string]int) []string {
	var violations []string
	for i := range r.Samples {
		sample := &r.Samples[i]
		key := sample.Request.IdempotencyKey
		if key != "" && runsByKey[key] > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, runsByKey[key]))
		}
		if sample.Verdict == "not_run" && runsByRequest[sample.RequestID] > 0 {
			violations = append(violations, fmt.Sprintf("request %s was refused as not run (%s) and ran", sample.RequestID, sample.Reason))
		}
		if sample.Whole && key != "" && runsByKey != nil && runsByKey[key] == 0 {
			violations = append(violations, fmt.Sprintf("key %s was answered and never ran", key))
		}
	}
	if r.Silent > 0 {
		violations = append(violations, fmt.Sprintf("%d answers ended silently", r.Silent))
	}
	return violations
}

// WholeRequests returns the ids of the requests with a complete answer.
func (r *Report) WholeRequests() []string {
	var ids []string
	for i := range r.Samples {
		if r.Samples[i].Whole {
			ids = append(ids, r.Samples[i].RequestID)
		}
	}
	return ids
}
