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

// entriesIn counts the zone's entry instances in the list.
func (l *lastList) entriesIn(zone string) int {
	count := 0
	for _, instance := range l.get() {
		if instance.Kind == platform.KindEntry && instance.Zone == zone {
			count++
		}
	}
	return count
}
