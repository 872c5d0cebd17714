package idempotency

import (
	"maps"
	"slices"
)

// claimers numbers the processes that claimed, and forgets a name with its last
// entry.
type claimers struct {
	numbers map[string]uint32
	known   []claimer
	unused  []uint32
}

type claimer struct {
	name    string
	entries int
}

// use counts one entry more of the claimer and returns its number.
func (c *claimers) use(name string) uint32 {
	n, known := c.numbers[name]
	if !known {
		n = c.add(name)
	}
	c.known[n].entries++
	return n
}

func (c *claimers) add(name string) uint32 {
	if c.numbers == nil {
		c.numbers = make(map[string]uint32)
	}
	n := uint32(len(c.known))
	if last := len(c.unused) - 1; last >= 0 {
		n, c.unused = c.unused[last], c.unused[:last]
		c.known[n].name = name
	} else {
		c.known = append(c.known, claimer{name: name})
	}
	c.numbers[name] = n
	return n
}

// drop counts one entry less.
func (c *claimers) drop(n uint32) {
	c.known[n].entries--
	if c.known[n].entries == 0 {
		delete(c.numbers, c.known[n].name)
		c.known[n].name = ""
		c.unused = append(c.unused, n)
	}
}

func (c *claimers) name(n uint32) string { return c.known[n].name }

func (c *claimers) clone() claimers {
	return claimers{numbers: maps.Clone(c.numbers), known: slices.Clone(c.known), unused: slices.Clone(c.unused)}
}
