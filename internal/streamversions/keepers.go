package streamversions

import (
	"cmp"
	"maps"
	"slices"

	"bergamotreel/internal/rendezvous"
	"bergamotreel/routing/streamversion"
)

// Keeper is a VM that may keep versions of streams for others. IsLive is whether this VM would choose
// it; others may.
type Keeper struct {
	VM, Domain, Address string
	IsLive              bool
}

// liveKeepers removes the keepers that this VM wouldn't choose.
func liveKeepers(keepers []Keeper) []Keeper {
	return slices.DeleteFunc(keepers, func(k Keeper) bool { return !k.IsLive })
}

// pickKeepers returns the addresses of the keepers of a stream: one in the failure domain and one in
// another, as far as there are any, otherwise two in the same.
func pickKeepers(key streamversion.Key, domain string, keepers []Keeper) []string {
	ranked := slices.Clone(keepers)
	slices.SortFunc(ranked, func(a, b Keeper) int {
		return cmp.Or(cmp.Compare(rendezvous.Weight(string(key[:]), b.VM), rendezvous.Weight(string(key[:]), a.VM)), cmp.Compare(a.VM, b.VM))
	})
	if len(ranked) <= 2 {
		return addressesOf(ranked)
	}
	second := slices.IndexFunc(ranked[1:], func(k Keeper) bool { return (k.Domain == domain) != (ranked[0].Domain == domain) })
	return addressesOf([]Keeper{ranked[0], ranked[1+max(second, 0)]})
}

// recorderKey is the rendezvous hash key for selecting the VM of a failure domain that records streams.
const recorderKey = "stream recorder"

// pickRecorder returns the keeper that records streams for all VMs of its failure domain.
func pickRecorder(domain string, keepers []Keeper) Keeper {
	byName := make(map[string]Keeper)
	for _, k := range keepers {
		if k.Domain == domain {
			byName[k.VM] = k
		}
	}
	return byName[rendezvous.Pick(recorderKey, slices.Collect(maps.Keys(byName)))]
}

func addressesOf(keepers []Keeper) []string {
	out := make([]string, len(keepers))
	for i, k := range keepers {
		out[i] = k.Address
	}
	return out
}
