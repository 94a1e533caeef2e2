package daemon

import (
	"sync"

	"plumbarrow.example/plumbarrow/platform"
)

// lastList remembers the newest instance list.
type lastList struct {
	mu        sync.Mutex
	instances []platform.Instance
}

func (l *lastList) set(instances []platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = instances
}

func (l *lastList) get() []platform.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.instances
}
