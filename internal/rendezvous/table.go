package rendezvous

import "github.com/cespare/xxhash/v2"

// BucketCount is the number of buckets in a Table, a power of two. Of 39,000 keys on 3,400
// nodes, the node with the most keys has 3.5 times the mean; with 4,096 buckets it has 6.0
// times the mean, and with rendezvous hashing of each key 2.3 times.
const BucketCount = 1 << 14

// Table assigns keys to nodes by rendezvous hashing of buckets of keys. Adding a node
// computes one weight per bucket; removing a node computes one weight per remaining node for
// each of its buckets. The number of keys adds no cost. Table is not safe for concurrent use.
//
// Invariant: the owner of each bucket depends only on the set of nodes, not on the order in
// which they were added and removed, so that all tables with the same nodes agree.
type Table struct {
	nodes  map[string]*tableNode
	owners [BucketCount]*tableNode
	// weights are the owners' weights for their buckets.
	weights [BucketCount]uint64
	// generation counts the calls of SetNodes; the nodes of the latest call carry its number.
	generation uint64
}

// tableNode is a node with the hash of its name.
type tableNode struct {
	name       string
	hash       uint64
	generation uint64
}

// NewTable returns a table without nodes.
func NewTable() *Table { return &Table{nodes: make(map[string]*tableNode)} }

// SetNodes replaces the table's set of nodes and reports whether the set changed.
func (t *Table) SetNodes(nodes []string) bool {
	t.generation++
	var added []*tableNode
	for _, name := range nodes {
		node := t.nodes[name]
		if node == nil {
			node = &tableNode{name: name, hash: xxhash.Sum64String(name)}
			t.nodes[name] = node
			added = append(added, node)
		}
		node.generation = t.generation
	}
	removed := t.removeUnlisted()
	for _, node := range added {
		t.addNode(node)
	}
	if removed {
		t.reassignOrphans()
	}
	return removed || len(added) > 0
}

// removeUnlisted removes the nodes that the current call of SetNodes doesn't list, and reports
// whether there were any.
func (t *Table) removeUnlisted() bool {
	removed := false
	for name, node := range t.nodes {
		if node.generation != t.generation {
			delete(t.nodes, name)
			removed = true
		}
	}
	return removed
}

func (t *Table) addNode(node *tableNode) {
	for bucket := range t.owners {
		t.offerBucket(bucket, node)
	}
}

// reassignOrphans finds new owners for the buckets of removed nodes.
func (t *Table) reassignOrphans() {
	for bucket, owner := range t.owners {
		if owner == nil || owner.generation == t.generation {
			continue
		}
		t.owners[bucket], t.weights[bucket] = nil, 0
		for _, node := range t.nodes {
			t.offerBucket(bucket, node)
		}
	}
}

// offerBucket makes the node the bucket's owner if its weight is higher than the current
// owner's; of equal weights, the name that sorts first wins.
func (t *Table) offerBucket(bucket int, node *tableNode) {
	weight := bucketWeight(bucket, node)
	if weight < t.weights[bucket] {
		return
	}
	owner := t.owners[bucket]
	if owner == nil || weight > t.weights[bucket] || node.name < owner.name {
		t.owners[bucket], t.weights[bucket] = node, weight
	}
}

// bucketHashes are the hashes of the buckets' numbers.
var bucketHashes = func() (hashes [BucketCount]uint64) {
	for bucket := range hashes {
		hashes[bucket] = mix(uint64(bucket) + 1)
	}
	return hashes
}()

// bucketWeight returns the node's weight for the bucket. It mixes the two hashes with mix,
// which takes a few ns; a hash of both names takes 35 ns.
func bucketWeight(bucket int, node *tableNode) uint64 { return mix(bucketHashes[bucket] ^ node.hash) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// BucketOf returns the bucket that the key belongs to.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) & (BucketCount - 1)) }

// Pick returns the node that owns the key, "" without nodes.
func (t *Table) Pick(key string) string { return t.Owner(BucketOf(key)) }

// Owner returns the node that owns the bucket, "" without nodes.
func (t *Table) Owner(bucket int) string {
	if owner := t.owners[bucket]; owner != nil {
		return owner.name
	}
	return ""
}

// NextOwner returns the node that would own the bucket if its owner were removed, "" without
// other nodes.
func (t *Table) NextOwner(bucket int) string {
	var next *tableNode
	maxWeight := uint64(0)
	for _, node := range t.nodes {
		if node == t.owners[bucket] {
			continue
		}
		weight := bucketWeight(bucket, node)
		if next == nil || weight > maxWeight || weight == maxWeight && node.name < next.name {
			next, maxWeight = node, weight
		}
	}
	if next == nil {
		return ""
	}
	return next.name
}

// OwnedBuckets returns the buckets that a node owns, in ascending order.
func (t *Table) OwnedBuckets(name string) []int {
	var owned []int
	node := t.nodes[name]
	for bucket, owner := range t.owners {
		if owner != nil && owner == node {
			owned = append(owned, bucket)
		}
	}
	return owned
}
