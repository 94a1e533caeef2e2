package daemon

import (
	"sync"

	"plumbarrow.example/plumbarrow/infra"
)

// instanceCache holds the newest instance list. Safe for concurrent use; the list must not be modified.
type instanceCache struct {
	mu        sync.Mutex
	instances []infra.Instance
}

func (c *instanceCache) set(instances []infra.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = instances
}

func (c *instanceCache) get() []infra.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances
}
