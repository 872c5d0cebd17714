// Package vmlistserver stands in for the platform's list of VMs. Registry is
// the list in memory; it implements vmlist.Lister itself and needs no socket.
// Handler serves a Registry over HTTP.
package vmlistserver

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/vmlist"
)

// Registry is the list in memory. It is safe for concurrent use.
type Registry struct {
	faults *faults.Injector

	mu  sync.Mutex
	lag time.Duration
	vms map[string]vmlist.VM
	// history holds what List may still answer, oldest first; never empty.
	history []version
}

// version is the list as it was from a time on.
type version struct {
	since time.Time
	list  vmlist.List
}

// New returns a list of the given VMs whose answers trail changes by lag.
func New(lag time.Duration, vms ...vmlist.VM) *Registry {
	r := &Registry{faults: faults.NewInjector(0), lag: lag, vms: map[string]vmlist.VM{}}
	for _, vm := range vms {
		r.vms[vm.ID] = vm
	}
	r.record(1)
	return r
}

// Faults are the list's switches.
func (r *Registry) Faults() *faults.Injector { return r.faults }

// SetLag changes by how much answers trail changes from now on.
func (r *Registry) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

// Put adds a VM or replaces what the list says of it.
func (r *Registry) Put(vm vmlist.VM) {
	r.change(func() bool {
		old, found := r.vms[vm.ID]
		r.vms[vm.ID] = vm
		return !found || old != vm
	})
}

// Remove drops a VM and tells whether it was there.
func (r *Registry) Remove(id string) bool {
	return r.change(func() bool {
		_, found := r.vms[id]
		delete(r.vms, id)
		return found
	})
}

// MarkLeaving marks a VM as leaving and tells whether it is there.
func (r *Registry) MarkLeaving(id string) bool {
	return r.change(func() bool {
		vm, found := r.vms[id]
		if !found {
			return false
		}
		vm.Leaving = true
		r.vms[id] = vm
		return true
	})
}

// List implements vmlist.Lister.
func (r *Registry) List(ctx context.Context) (vmlist.List, error) {
	if err := r.faults.BeginCall(ctx); err != nil {
		return vmlist.List{}, vmlist.Error.Wrap(fmt.Errorf("%w: %w", vmlist.ErrUnavailable, err))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := time.Now().Add(-r.lag)
	answer := r.history[0].list
	for _, at := range r.history {
		if at.since.After(seen) {
			break
		}
		answer = at.list
	}
	answer.VMs = slices.Clone(answer.VMs)
	return answer, nil
}

// change applies an edit and, if it changed something, records a new version.
func (r *Registry) change(edit func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !edit() {
		return false
	}
	newest := r.history[len(r.history)-1].list.Version
	r.record(newest + 1)
	return true
}

// record appends the present list to the history and drops what no answer can
// need any more; the caller holds mu.
func (r *Registry) record(number uint64) {
	vms := slices.SortedFunc(maps.Values(r.vms), func(a, b vmlist.VM) int {
		return strings.Compare(a.ID, b.ID)
	})
	now := time.Now()
	r.history = append(r.history, version{now, vmlist.List{Version: number, VMs: vms}})
	for len(r.history) > 1 && !r.history[1].since.After(now.Add(-r.lag)) {
		r.history = r.history[1:]
	}
}

var _ vmlist.Lister = (*Registry)(nil)
