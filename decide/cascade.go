package decide

import (
	"math/rand/v2"
	"time"

	"plumbarrow.example/plumbarrow/contract"
)

// Quality is what has been learned of answers, per route, kind of request and cascade step.
type Quality interface {
	// PassChance is the chance that an answer of the step passes the route's quality target, and
	// how many ratings it rests on.
	PassChance(route string, kind Kind, step int) (chance float64, ratings int)
}

// Kind sorts requests by how hard they look: the bucket of their prompt length.
type Kind uint8

// KindOf returns the kind of a request: the number of binary digits of its prompt tokens.
func KindOf(request *Request) Kind {
	var kind Kind
	for tokens := request.PromptTokens; tokens > 0; tokens >>= 1 {
		kind++
	}
	return kind
}

// Step is one step of a cascade.
type Step struct {
	Index int
	Pool  string
	// Judge says that the answer is held back until it is rated; false for the last step.
	Judge bool
	Notes []Note
}

// FirstStep chooses the cascade step to start with: the cheap pool, unless its expected cost (its
// price plus the chance of failing times the next price) or the deadline says otherwise.
func FirstStep(snapshot *contract.Snapshot, request *Request, quality Quality, now time.Time, random *rand.Rand) Step {
	return stepAt(request, 0)
}

// NextStep says what to do with a judged answer: deliver it, or go on with the next step. rated is
// false if the rater gave no answer in time.
func NextStep(snapshot *contract.Snapshot, request *Request, step Step, score float64, rated bool, now time.Time) (next Step, deliver bool) {
	if !step.Judge || !rated || score >= request.Route.QualityTarget || now.After(request.Deadline) {
		return Step{}, true
	}
	return stepAt(request, step.Index+1), false
}

func stepAt(request *Request, index int) Step {
	pools := request.Route.Pools
	judge := index < len(pools)-1 && request.Route.QualityTarget > 0
	return Step{Index: index, Pool: pools[index], Judge: judge}
}
