package upstream

import "time"

const (
	// prefixMemory is how long an endpoint is taken to hold a part of a prompt after its last use.
	// It is the order of the reuse that callers show; beyond it other prompts have used the memory.
	prefixMemory = 20 * time.Second
	// maxPrefixes bounds the parts remembered for one endpoint.
	maxPrefixes = 2048
)

// Part is one part of a prompt, shared with other requests or the request's own.
type Part struct {
	ID     uint64
	Tokens int
}

// prefixes are the parts of prompts that an endpoint probably caches, with the time of their last
// use by this instance.
type prefixes struct {
	used map[prefixKey]time.Time
}

// prefixKey names a part as one model caches it.
type prefixKey struct {
	model string
	part  uint64
}

func newPrefixes() prefixes { return prefixes{used: make(map[prefixKey]time.Time)} }

// cached is the number of tokens at the prompt's beginning that need not be read again.
func (p *prefixes) cached(model string, parts []Part, now time.Time) int {
	tokens := 0
	for _, part := range parts {
		at, ok := p.used[prefixKey{model, part.ID}]
		if !ok || now.Sub(at) > prefixMemory {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use notes that the endpoint reads the parts.
func (p *prefixes) use(model string, parts []Part, now time.Time) {
	for _, part := range parts {
		p.used[prefixKey{model, part.ID}] = now
	}
	if len(p.used) <= maxPrefixes {
		return
	}
	for id, at := range p.used {
		if now.Sub(at) > prefixMemory/2 {
			delete(p.used, id)
		}
	}
	if len(p.used) > maxPrefixes {
		clear(p.used)
	}
}
