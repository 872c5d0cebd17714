// Package vmlistserver simulates the platform's list of VMs. Registry holds the
// list in memory and implements vmlist.Lister itself, without a socket. Handler
// serves a Registry over HTTP.
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

// Registry is an in-memory list of VMs whose answers lag behind its changes. It is
// safe for concurrent use.
type Registry struct {
	faults *faults.Injector

	mu  sync.Mutex
	lag time.Duration
	vms map[string]vmlist.VM
	// history holds the versions that List may still return, oldest first. It is
	// never empty.
	history []version
}

// version is the list as it is from validFrom until the next version.
type version struct {
	validFrom time.Time
	list      vmlist.List
}

// New returns a registry of the given VMs whose answers lag behind changes by lag.
func New(lag time.Duration, vms ...vmlist.VM) *Registry {
	r := &Registry{faults: faults.NewInjector(0), lag: lag, vms: map[string]vmlist.VM{}}
	for _, vm := range vms {
		r.vms[vm.ID] = vm
	}
	r.recordVersion(1)
	return r
}

// Faults returns the injector of the registry's faults.
func (r *Registry) Faults() *faults.Injector { return r.faults }

// SetLag sets by how much later answers lag behind changes.
func (r *Registry) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

// Put adds a VM or replaces its entry.
func (r *Registry) Put(vm vmlist.VM) {
	r.change(func() bool {
		old, found := r.vms[vm.ID]
		r.vms[vm.ID] = vm
		return !found || old != vm
	})
}

// Remove deletes a VM and reports whether it was listed.
func (r *Registry) Remove(id string) bool {
	return r.change(func() bool {
		_, found := r.vms[id]
		delete(r.vms, id)
		return found
	})
}

// MarkLeaving marks a VM as leaving and reports whether it is listed.
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
	asOf := time.Now().Add(-r.lag)
	answer := r.history[0].list
	for _, v := range r.history {
		if v.validFrom.After(asOf) {
			break
		}
		answer = v.list
	}
	answer.VMs = slices.Clone(answer.VMs)
	return answer, nil
}

// change applies an edit and records a new version if the edit reports a change.
// It returns what the edit reports.
func (r *Registry) change(edit func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !edit() {
		return false
	}
	newest := r.history[len(r.history)-1].list.Version
	r.recordVersion(newest + 1)
	return true
}

// recordVersion appends the current list to the history and drops the versions
// that no answer can need any more. The caller holds mu.
func (r *Registry) recordVersion(number uint64) {
	vms := slices.SortedFunc(maps.Values(r.vms), func(a, b vmlist.VM) int {
		return strings.Compare(a.ID, b.ID)
	})
	now := time.Now()
	r.history = append(r.history, version{now, vmlist.List{Version: number, VMs: vms}})
	for len(r.history) > 1 && !r.history[1].validFrom.After(now.Add(-r.lag)) {
		r.history = r.history[1:]
	}
}

var _ vmlist.Lister = (*Registry)(nil)
