package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockSize is the number of prompt bytes that each further hash covers:
	// about 64 tokens, the order of magnitude of an engine's cache block.
	PrefixBlockSize = 256
	// MaxPromptPrefixes limits the hashes of one prompt to its first 16 KiB.
	MaxPromptPrefixes = 64
	// maxPrefixEngines bounds the engines remembered for one prefix.
	maxPrefixEngines = 8
	// minCommonUses is the number of requests from which a prefix counts as common,
	// such as a system prompt. It exceeds the number of turns of a conversation. All
	// engines should cache a common prefix, so it is no reason to prefer those that
	// do: they would get all new conversations, and their caches would overflow
	// while others stay empty.
	minCommonUses = 32
	// maxHolders is the number of engines found for one prompt at which the search
	// ends.
	maxHolders = 16
)

// HashPrefixes returns the hashes of the prompt's prefixes of whole blocks,
// shortest first. Each hash covers the unit and all bytes of the prefix, so equal
// hashes mean equal prefixes on the same unit.
func HashPrefixes(unit string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/PrefixBlockSize, MaxPromptPrefixes)
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(unit)
	var previous [8]byte
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(previous[:], hash)
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(prompt[i*PrefixBlockSize : (i+1)*PrefixBlockSize])
		hash = digest.Sum64()
		hashes = append(hashes, hash)
	}
	return hashes
}

// engineID identifies an engine within this router. An engine that was forgotten
// and comes back gets a new ID, which invalidates what the prefix index holds of
// it.
type engineID uint32

// prefixIndex maps prefixes to the engines that are likely to have them cached. It
// is only a hint: engines evict prefixes without an event, and their events have
// gaps. It drops the least recently used prefix first.
type prefixIndex struct {
	entries    map[uint64]*prefixEntry
	maxEntries int
	// lru is the head of the ring of entries; lru.next is the most recently used.
	lru prefixEntry
}

// prefixEntry holds the engines that are likely to have one prefix cached.
type prefixEntry struct {
	hash       uint64
	engines    [maxPrefixEngines]engineID // newest first; 0 is none
	uses       int                        // by requests of this VM
	next, prev *prefixEntry
}

func newPrefixIndex(maxEntries int) *prefixIndex {
	x := &prefixIndex{entries: map[uint64]*prefixEntry{}, maxEntries: maxEntries}
	x.lru.next, x.lru.prev = &x.lru, &x.lru
	return x
}

// recordUse records that a request with the prefix was sent to the engine.
func (x *prefixIndex) recordUse(hash uint64, id engineID) {
	x.add(hash, id).uses++
}

// add records that the engine has the prefix cached.
func (x *prefixIndex) add(hash uint64, id engineID) *prefixEntry {
	e := x.entries[hash]
	if e == nil {
		if len(x.entries) >= x.maxEntries {
			oldest := x.lru.prev
			oldest.unlink()
			delete(x.entries, oldest.hash)
		}
		e = &prefixEntry{hash: hash}
		x.entries[hash] = e
	} else {
		e.unlink()
	}
	e.linkAfter(&x.lru)
	e.addEngine(id)
	return e
}

// isCommon reports whether so many requests or engines have the prefix that it is
// no reason to prefer an engine.
func (e *prefixEntry) isCommon() bool {
	return e.uses >= minCommonUses || e.engines[maxPrefixEngines-1] != 0
}

// remove records that the engine has evicted the prefix.
func (x *prefixIndex) remove(hash uint64, id engineID) {
	e := x.entries[hash]
	if e == nil {
		return
	}
	kept := 0
	for _, known := range e.engines {
		if known != id && known != 0 {
			e.engines[kept] = known
			kept++
		}
	}
	clear(e.engines[kept:])
}

func (e *prefixEntry) unlink() {
	e.prev.next, e.next.prev = e.next, e.prev
}

func (e *prefixEntry) linkAfter(head *prefixEntry) {
	e.prev, e.next = head, head.next
	e.prev.next, e.next.prev = e, e
}

// addEngine moves the engine to the front. If the entry is full, the engine used
// longest ago is dropped.
func (e *prefixEntry) addEngine(id engineID) {
	i := 0
	for i < len(e.engines)-1 && e.engines[i] != id && e.engines[i] != 0 {
		i++
	}
	copy(e.engines[1:i+1], e.engines[:i])
	e.engines[0] = id
}

// prefixHolder is an engine that has the first blocks of a prompt cached.
type prefixHolder struct {
	id     engineID
	blocks int
}

// findHolders appends to found the engines that have the longest prefixes of a
// prompt cached, and returns how many of the prompt's first blocks are common.
func (x *prefixIndex) findHolders(prefixes []uint64, found []prefixHolder) (_ []prefixHolder, common int) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		e := x.entries[prefixes[i]]
		if e == nil {
			continue
		}
		if e.isCommon() {
			return found, i + 1
		}
		for _, id := range e.engines {
			if id != 0 && !containsHolder(found, id) {
				found = append(found, prefixHolder{id: id, blocks: i + 1})
			}
		}
		if len(found) >= maxHolders {
			return found, 0
		}
	}
	return found, 0
}

func containsHolder(found []prefixHolder, id engineID) bool {
	return cachedBlocksOf(found, id) > 0
}

func cachedBlocksOf(found []prefixHolder, id engineID) int {
	for _, h := range found {
		if h.id == id {
			return h.blocks
		}
	}
	return 0
}
