// Package rendezvous picks one of several nodes for a key by rendezvous
// hashing: VMs with the same view of who is live pick the same one, and a
// node's departure moves only the keys that it had.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the node with the highest hash for the key, "" without nodes.
func Pick(key string, nodes []string) string {
	best, bestSum := "", uint64(0)
	for _, node := range nodes {
		sum := Weight(key, node)
		if best == "" || sum > bestSum || (sum == bestSum && node < best) {
			best, bestSum = node, sum
		}
	}
	return best
}

// Sum is the hash by which a node is weighed for a key.
func Weight(key, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
