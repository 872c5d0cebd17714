package relaystate

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"bergamotreel/entryvm"
)

// maxViewVersions is how many versions of a failure domain's view a relay keeps, so that
// it can send only the difference from one of them. While a fleet starts, a view changes
// several times a second.
const maxViewVersions = 16

// ViewHistory holds the newest versions of a failure domain's view, oldest first.
type ViewHistory []versionedView

// versionedView is one version of a view, sorted by address.
type versionedView struct {
	version uint64
	vms     []entryvm.VMView
}

// Add appends a version and drops the oldest ones beyond maxViewVersions.
func (h *ViewHistory) Add(version uint64, vms []entryvm.VMView) {
	if n := len(*h); n > 0 && (*h)[n-1].version == version {
		return
	}
	*h = append(*h, versionedView{version, vms})
	if len(*h) > maxViewVersions {
		*h = slices.Delete(*h, 0, len(*h)-maxViewVersions)
	}
}

// VMsAt returns the VMs of a version, and false if it is no longer kept.
func (h ViewHistory) VMsAt(version uint64) ([]entryvm.VMView, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].version == version {
			return h[i].vms, true
		}
	}
	return nil, false
}

// CompareViews orders VMs by address.
func CompareViews(a, b entryvm.VMView) int { return cmp.Compare(a.Address, b.Address) }

// DiffViews returns the changes that turn one list into another. Both must be sorted by
// address.
func DiffViews(from, to []entryvm.VMView) (changed []entryvm.VMView, removed []string) {
	for i, j := 0, 0; i < len(from) || j < len(to); {
		order := 0
		switch {
		case i == len(from):
			order = 1
		case j == len(to):
			order = -1
		default:
			order = CompareViews(from[i], to[j])
		}
		switch {
		case order < 0:
			removed = append(removed, from[i].Address)
			i++
		case order > 0:
			changed = append(changed, to[j])
			j++
		default:
			if !equalViews(&from[i], &to[j]) {
				changed = append(changed, to[j])
			}
			i, j = i+1, j+1
		}
	}
	return changed, removed
}

func equalViews(a, b *entryvm.VMView) bool {
	return a.VM == b.VM && a.Domain == b.Domain && a.Incarnation == b.Incarnation && a.Capacity == b.Capacity &&
		a.Leaving == b.Leaving && a.LostPaths == b.LostPaths && slices.Equal(a.KeptShards, b.KeptShards)
}

// PatchView applies the changes that DiffViews returned to the list from.
func PatchView(from, changed []entryvm.VMView, removed []string) []entryvm.VMView {
	out := make([]entryvm.VMView, 0, len(from)+len(changed))
	replaced := make(map[string]bool, len(changed)+len(removed))
	for i := range changed {
		replaced[changed[i].Address] = true
	}
	for _, address := range removed {
		replaced[address] = true
	}
	for i := range from {
		if !replaced[from[i].Address] {
			out = append(out, from[i])
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, CompareViews)
	return out
}

// ViewVersion returns a hash over VMs. A VM that has the same version does not need the
// list.
func ViewVersion(vms []entryvm.VMView) uint64 {
	hash := xxhash.New()
	var text []byte
	for i := range vms {
		v := &vms[i]
		text = text[:0]
		for _, field := range []string{v.VM, v.Address, v.Incarnation} {
			text = append(append(text, field...), 0)
		}
		text = strconv.AppendInt(text, v.Capacity, 10)
		text = strconv.AppendBool(strconv.AppendBool(text, v.Leaving), v.LostPaths)
		for _, shard := range v.KeptShards {
			text = append(strconv.AppendInt(text, int64(shard), 10), 0)
		}
		_, _ = hash.Write(append(text, '\n'))
	}
	return hash.Sum64()
}
