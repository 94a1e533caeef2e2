package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"

	"plumbarrow.example/plumbarrow/internal/openai"
)

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	limit int

	mu    sync.Mutex
	order *list.List // of uint64, newest first
	byKey map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byKey: make(map[uint64]*list.Element)}
}

// hit reports whether the prefix was cached, and adds it.
func (p *prefixCache) hit(prefix uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if element, ok := p.byKey[prefix]; ok {
		p.order.MoveToFront(element)
		return true
	}
	p.byKey[prefix] = p.order.PushFront(prefix)
	if p.order.Len() > p.limit {
		oldest := p.order.Back()
		delete(p.byKey, oldest.Value.(uint64))
		p.order.Remove(oldest)
	}
	return false
}

func (p *prefixCache) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order.Init()
	clear(p.byKey)
}

// prefixOf hashes the first message of a chat, which the requests of a session or template share.
func prefixOf(request openai.ChatRequest) uint64 {
	if len(request.Messages) == 0 {
		return 0
	}
	return xxhash.Sum64(request.Messages[0].Content)
}
