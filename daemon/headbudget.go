package daemon

import (
	"cmp"

	"plumbarrow.example/plumbarrow/internal/answercheck"
	"plumbarrow.example/plumbarrow/internal/telemetry"
)

const (
	// headsMemoryShare is the share of the process's memory for the heads of endpoints' answers above their ordinary size.
	headsMemoryShare = 0.06
	// unboundedHeadsMB is that memory in megabytes where the process's memory is not bounded.
	unboundedHeadsMB = 64
)

// headBudget returns the budget for the heads of answers of a process with the memory in megabytes; 0 stands for no bound.
func headBudget(memoryMB int, counters *telemetry.Counters) *answercheck.Budget {
	budget := answercheck.NewBudget(cmp.Or(int64(headsMemoryShare*float64(memoryMB<<20)), unboundedHeadsMB<<20))
	counters.Gauge("plumbarrow_answer_heads_held_bytes", func() float64 { return float64(budget.Held()) })
	return budget
}
