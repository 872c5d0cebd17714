package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlock is the bytes of prompt that each further hash covers: some 64
	// tokens, the order of an engine's cache block.
	PrefixBlockSize = 256
	// MaxPrefixes bounds the hashes of one prompt to its first 16 KiB.
	MaxPromptPrefixes = 64
	// prefixEngines bounds the engines remembered for one prefix.
	prefixEngines = 8
	// commonUses is how many requests make a prefix common, such as a system
	// prompt: more than the turns of a conversation. All engines should have it,
	// so it is no reason to prefer those that do; they would get all new
	// conversations, and their caches would overflow while others stay empty.
	commonUses = 32
	// maxHolders bounds the engines weighed for one prompt.
	maxHolders = 16
)

// Prefixes hashes the prompt's prefixes of whole blocks, shortest first. Each
// hash covers the unit and all bytes up to its end, so equal hashes mean equal
// prefixes on the same unit.
func HashPrefixes(unit string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/PrefixBlockSize, MaxPromptPrefixes)
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(unit)
	var link [8]byte
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], hash)
		_, _ = digest.Write(link[:])
		_, _ = digest.Write(prompt[i*PrefixBlockSize : (i+1)*PrefixBlockSize])
		hash = digest.Sum64()
		hashes = append(hashes, hash)
	}
	return hashes
}

// engineID names an engine within this router; an engine that was forgotten and
// comes back has a new one, so that what was remembered of it is void.
type engineID uint32

// prefixMemory remembers which engines are likely to have a prefix cached. It
// is a hint: engines evict without telling, and their events have gaps. It
// forgets the least recently used prefix first.
type prefixMemory struct {
	entries map[uint64]*prefixEntry
	bound   int
	// recent is the ring of entries; recent.next is the newest.
	recent prefixEntry
}

type prefixEntry struct {
	hash       uint64
	engines    [prefixEngines]engineID // newest first; 0 is none
	uses       int                     // by requests of this VM
	next, prev *prefixEntry
}

func newPrefixMemory(bound int) *prefixMemory {
	m := &prefixMemory{entries: map[uint64]*prefixEntry{}, bound: bound}
	m.recent.next, m.recent.prev = &m.recent, &m.recent
	return m
}

// use notes that a request with the prefix went to the engine.
func (m *prefixMemory) use(hash uint64, id engineID) {
	m.add(hash, id).uses++
}

// add notes that the engine has the prefix.
func (m *prefixMemory) add(hash uint64, id engineID) *prefixEntry {
	e := m.entries[hash]
	if e == nil {
		if len(m.entries) >= m.bound {
			oldest := m.recent.prev
			oldest.unlink()
			delete(m.entries, oldest.hash)
		}
		e = &prefixEntry{hash: hash}
		m.entries[hash] = e
	} else {
		e.unlink()
	}
	e.link(&m.recent)
	e.put(id)
	return e
}

// common tells whether the prefix is no reason to prefer an engine.
func (e *prefixEntry) common() bool {
	return e.uses >= commonUses || e.engines[prefixEngines-1] != 0
}

// drop notes that the engine has evicted the prefix.
func (m *prefixMemory) drop(hash uint64, id engineID) {
	e := m.entries[hash]
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

func (e *prefixEntry) link(head *prefixEntry) {
	e.prev, e.next = head, head.next
	e.prev.next, e.next.prev = e, e
}

// put moves the engine to the front, and the one used longest ago out.
func (e *prefixEntry) put(id engineID) {
	i := 0
	for i < len(e.engines)-1 && e.engines[i] != id && e.engines[i] != 0 {
		i++
	}
	copy(e.engines[1:i+1], e.engines[:i])
	e.engines[0] = id
}

// holder is an engine that has the first blocks of a prompt.
type holder struct {
	id     engineID
	blocks int
}

// holders lists the engines that have the longest parts of a prompt, and how
// many of its blocks are common.
func (m *prefixMemory) holders(prefixes []uint64, found []holder) (_ []holder, common int) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		e := m.entries[prefixes[i]]
		if e == nil {
			continue
		}
		if e.common() {
			return found, i + 1
		}
		for _, id := range e.engines {
			if id != 0 && !holds(found, id) {
				found = append(found, holder{id: id, blocks: i + 1})
			}
		}
		if len(found) >= maxHolders {
			return found, 0
		}
	}
	return found, 0
}

func holds(found []holder, id engineID) bool {
	return blocksOf(found, id) > 0
}

func blocksOf(found []holder, id engineID) int {
	for _, h := range found {
		if h.id == id {
			return h.blocks
		}
	}
	return 0
}
