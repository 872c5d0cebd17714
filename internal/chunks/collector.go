package chunks

// MaxParts limits the parts of a snapshot that a Collector accepts, and
// maxPartialSnapshots the incomplete snapshots that it holds, so that corrupt or
// abandoned ones cannot exhaust the memory.
const (
	MaxParts            = 4096
	maxPartialSnapshots = 8
)

// Collector finds the newest complete snapshot among chunks that may be added in
// any order and more than once. An older snapshot never replaces a newer one.
type Collector struct {
	partials []*partialSnapshot
	newest   []Chunk
}

type partialSnapshot struct {
	chunks   []Chunk
	received int
}

// Add adds one chunk and reports whether it changed Newest.
func (c *Collector) Add(chunk Chunk) bool {
	if chunk.Parts < 1 || chunk.Parts > MaxParts || chunk.Part < 0 || chunk.Part >= chunk.Parts {
		return false
	}
	if len(c.newest) > 0 && chunk.UpTo <= c.newest[0].UpTo {
		return false
	}
	p := c.findOrCreate(chunk)
	if p.chunks[chunk.Part].Parts != 0 {
		return false
	}
	p.chunks[chunk.Part] = chunk
	p.received++
	if p.received < chunk.Parts {
		return false
	}
	c.removePartial(p)
	// Chunks that do not join (corrupt, or from two writers of one name) are no
	// snapshot and must not hide an older complete one.
	if _, err := Join(p.chunks); err != nil {
		return false
	}
	c.newest = p.chunks
	return true
}

// Newest returns the chunks of the newest complete snapshot, nil if there is none.
func (c *Collector) Newest() []Chunk { return c.newest }

// RemoveNewest removes and returns Newest, so that an older snapshot may
// complete next. Parts of other snapshots stay.
func (c *Collector) RemoveNewest() []Chunk {
	taken := c.newest
	c.newest = nil
	return taken
}

func (c *Collector) findOrCreate(chunk Chunk) *partialSnapshot {
	for _, p := range c.partials {
		if p.matches(chunk) {
			return p
		}
	}
	if len(c.partials) == maxPartialSnapshots {
		c.removePartial(c.oldestPartial())
	}
	p := &partialSnapshot{chunks: make([]Chunk, chunk.Parts)}
	c.partials = append(c.partials, p)
	return p
}

func (p *partialSnapshot) matches(chunk Chunk) bool {
	for _, have := range p.chunks {
		if have.Parts != 0 {
			return isSameSnapshot(have, chunk) && have.Parts == chunk.Parts
		}
	}
	return false
}

func (p *partialSnapshot) upTo() uint64 {
	for _, have := range p.chunks {
		if have.Parts != 0 {
			return have.UpTo
		}
	}
	return 0
}

func (c *Collector) oldestPartial() *partialSnapshot {
	oldest := c.partials[0]
	for _, p := range c.partials {
		if p.upTo() < oldest.upTo() {
			oldest = p
		}
	}
	return oldest
}

func (c *Collector) removePartial(removed *partialSnapshot) {
	kept := c.partials[:0]
	for _, p := range c.partials {
		if p != removed {
			kept = append(kept, p)
		}
	}
	c.partials = kept
}
