package upstream

import "time"

const (
	// prefixTTL is how long an endpoint is assumed to cache a part of a prompt after its last use.
	// Callers typically reuse a part within this time; after it other prompts have evicted the part.
	prefixTTL = 20 * time.Second
	// maxPrefixes is the maximum number of parts tracked per endpoint.
	maxPrefixes = 2048
)

// PromptPart is one part of a prompt. Requests that share the part use the same ID.
type PromptPart struct {
	ID     uint64 `json:"id"`
	Tokens int    `json:"tokens"`
}

// prefixCache estimates which parts of prompts an endpoint has cached, from the time of their last use by
// this instance.
type prefixCache struct {
	lastUse map[prefixKey]time.Time
}

// prefixKey identifies a part in the cache of one model.
type prefixKey struct {
	model string
	part  uint64
}

func newPrefixCache() prefixCache { return prefixCache{lastUse: make(map[prefixKey]time.Time)} }

// cachedTokens returns the number of leading prompt tokens that are likely cached: those of the parts
// before the first one that is not.
func (p *prefixCache) cachedTokens(model string, parts []PromptPart, now time.Time) int {
	tokens := 0
	for _, part := range parts {
		at, ok := p.lastUse[prefixKey{model, part.ID}]
		if !ok || now.Sub(at) > prefixTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// touch records the use of the parts. When there are more than maxPrefixes, it evicts those unused for
// half of prefixTTL, and all of them if that does not suffice.
func (p *prefixCache) touch(model string, parts []PromptPart, now time.Time) {
	for _, part := range parts {
		p.lastUse[prefixKey{model, part.ID}] = now
	}
	if len(p.lastUse) <= maxPrefixes {
		return
	}
	for id, at := range p.lastUse {
		if now.Sub(at) > prefixTTL/2 {
			delete(p.lastUse, id)
		}
	}
	if len(p.lastUse) > maxPrefixes {
		clear(p.lastUse)
	}
}
