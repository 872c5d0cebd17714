package hosted

import (
	"slices"
	"time"

	"bergamotreel/entryvm"
)

// snapshotSources are the VMs to ask for snapshots, in this order. There are none for a VM that reads
// the registry for others.
type snapshotSources struct {
	addresses []string
	// isDeputy is whether this VM reads the registry if the reader's answers are late, isTree whether
	// the sources are VMs of this VM's domain rather than seeds.
	isDeputy, isTree bool
}

// snapshotSources returns this VM's parent in the tree of its domain, the root and the deputy. While
// this VM is starting and doesn't know its domain, it returns the seeds.
func (m *members) snapshotSources(now time.Time) snapshotSources {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := &m.node.config
	reader := m.readerLocked(now)
	isStarting := own.BootClock()-m.node.startedAt < waitingHold
	switch {
	case reader != "" && reader != own.VM:
		return m.treeSources(now, reader)
	case isStarting && !slices.Contains(own.Seeds, own.Address):
		return snapshotSources{addresses: own.Seeds} // this VM may be the reader only because it doesn't know the others yet
	default:
		return snapshotSources{}
	}
}

// treeSources returns the sources in this VM's domain. Call with mu held.
func (m *members) treeSources(now time.Time, root string) snapshotSources {
	own := &m.node.config
	candidates := []roleCandidate{{own.VM, own.Capacity}}
	addresses := make(map[string]string)
	m.eachLiveLocked(now, func(r *entryvm.Report) {
		if r.Domain == own.Domain && r.VM != root && !r.Leaving {
			candidates = append(candidates, roleCandidate{r.VM, r.Capacity})
		}
		addresses[r.VM] = r.Address
	})
	// The root is at index 0, the others follow in the order of preference, the deputy first.
	order := append([]string{root}, selectTop(relayKey, candidates, len(candidates))...)
	index := slices.Index(order, own.VM)
	sources := snapshotSources{isDeputy: index == 1, isTree: true}
	for _, vm := range []string{order[(index-1)/snapshotFanOut], root, order[1]} {
		if address := addresses[vm]; vm != own.VM && address != "" && !slices.Contains(sources.addresses, address) {
			sources.addresses = append(sources.addresses, address)
		}
	}
	return sources
}
