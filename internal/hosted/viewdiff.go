package hosted

import (
	"cmp"
	"slices"

	"bergamotreel/entryvm"
)

// keptViews is how many versions of a failure domain's view a relay keeps, to tell only
// what changed since one of them. While a fleet starts a view changes several times a
// second.
const maxViewVersions = 16

// viewHistory are the newest versions of a failure domain's view, oldest first.
type viewHistory []versionedView

// versionedView is a view as of one version, sorted by address.
type versionedView struct {
	version uint64
	vms     []entryvm.VMView
}

// keep adds a version.
func (h *viewHistory) add(version uint64, vms []entryvm.VMView) {
	if n := len(*h); n > 0 && (*h)[n-1].version == version {
		return
	}
	*h = append(*h, versionedView{version, vms})
	if len(*h) > maxViewVersions {
		*h = slices.Delete(*h, 0, len(*h)-maxViewVersions)
	}
}

// since finds the VMs of a version, false where it is kept no more.
func (h viewHistory) vmsAt(version uint64) ([]entryvm.VMView, bool) {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].version == version {
			return h[i].vms, true
		}
	}
	return nil, false
}

func compareViews(a, b entryvm.VMView) int { return cmp.Compare(a.Address, b.Address) }

// diffViews tells what turns one list into another; both are sorted by address.
func diffViews(from, to []entryvm.VMView) (changed []entryvm.VMView, removed []string) {
	for i, j := 0, 0; i < len(from) || j < len(to); {
		order := 0
		switch {
		case i == len(from):
			order = 1
		case j == len(to):
			order = -1
		default:
			order = compareViews(from[i], to[j])
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
		a.Leaving == b.Leaving && slices.Equal(a.Keeps, b.Keeps)
}

// patchView applies a difference to a list that is sorted by address.
func patchView(from, changed []entryvm.VMView, removed []string) []entryvm.VMView {
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
	slices.SortFunc(out, compareViews)
	return out
}
