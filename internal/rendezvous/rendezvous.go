// Package rendezvous assigns keys to nodes by rendezvous hashing (highest random weight):
// VMs with the same view of the live nodes pick the same node for a key, and when a node
// leaves, only its own keys move.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Pick returns the node with the highest weight for the key, "" without nodes. Of nodes with
// equal weights it picks the one that sorts first.
func Pick(key string, nodes []string) string {
	picked, maxWeight := "", uint64(0)
	for _, node := range nodes {
		weight := Weight(key, node)
		if picked == "" || weight > maxWeight || (weight == maxWeight && node < picked) {
			picked, maxWeight = node, weight
		}
	}
	return picked
}

// Weight returns the hash of key and node, which is the node's weight for the key.
func Weight(key, node string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}
