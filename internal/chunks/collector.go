package chunks

// MaxParts bounds the parts of a snapshot that a Collector takes in, and
// maxOpen the unfinished snapshots that it holds, so that corrupt or abandoned
// ones cannot fill the memory.
const (
	MaxParts            = 4096
	maxPartialSnapshots = 8
)

// Collector finds the newest complete snapshot among chunks that are added in
// any order, also twice. An older snapshot never takes a newer one's place.
type Collector struct {
	partials []*partialSnapshot
	newest   []Chunk
}

type partialSnapshot struct {
	chunks   []Chunk
	received int
}

// Add takes in one chunk and tells whether Newest changed by it.
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
	// A set that does not join (corrupt, or two writers of one name) is no
	// snapshot: it must not hide an older one that is whole.
	if _, err := Join(p.chunks); err != nil {
		return false
	}
	c.newest = p.chunks
	return true
}

// Newest returns the chunks of the newest complete snapshot, nil without one.
func (c *Collector) Newest() []Chunk { return c.newest }

// Take returns Newest and forgets it, so that an older snapshot may complete
// next. Parts of other snapshots stay.
func (c *Collector) TakeNewest() []Chunk {
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
