// Package zone knows the data centres: which entry instances are live in them, which of them are
// in service, and how work moves between them.
package zone

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"plumbarrow.example/plumbarrow/machine"
	"plumbarrow.example/plumbarrow/platform"
)

const listInterval = time.Second

// Membership follows the platform's instance list.
type Membership struct {
	self machine.Member
	list platform.InstanceList
	log  *slog.Logger

	mu      sync.Mutex
	live    []machine.Member
	changed []func([]platform.Instance)
}

var _ machine.Members = (*Membership)(nil)

// NewMembership returns a membership that knows only self.
func NewMembership(self machine.Member, list platform.InstanceList, log *slog.Logger) *Membership {
	return &Membership{self: self, list: list, log: log, live: []machine.Member{self}}
}

// Self implements machine.Members.
func (m *Membership) Self() machine.Member { return m.self }

// Live implements machine.Members.
func (m *Membership) Live() []machine.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.live)
}

// OnList registers a function that is called with each list read.
func (m *Membership) OnList(f func([]platform.Instance)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed = append(m.changed, f)
}

// Run reads the list until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		m.refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (m *Membership) refresh(ctx context.Context) {
	instances, err := m.list.Instances(ctx)
	if err != nil {
		m.log.Warn("instance list failed", "error", err)
		return
	}
	live := []machine.Member{m.self}
	for _, instance := range instances {
		id := machine.InstanceID(instance.ID)
		if instance.Kind != platform.KindEntry || instance.State != platform.StateLive || id == m.self.ID {
			continue
		}
		live = append(live, machine.Member{
			ID:          id,
			Incarnation: machine.Incarnation(instance.Incarnation),
			Zone:        instance.Zone,
			Address:     instance.Address,
		})
	}
	slices.SortFunc(live, func(a, b machine.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	m.mu.Lock()
	m.live = live
	changed := slices.Clone(m.changed)
	m.mu.Unlock()
	for _, f := range changed {
		f(instances)
	}
}
