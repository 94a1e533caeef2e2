package daemon

import (
	"sync"

	"plumbarrow.example/plumbarrow/infra"
)

// lastList remembers the newest instance list.
type lastList struct {
	mu        sync.Mutex
	instances []infra.Instance
}

func (l *lastList) set(instances []infra.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

func (l *lastList) get() []infra.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances
}
