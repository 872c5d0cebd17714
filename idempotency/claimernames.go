package idempotency

import (
	"maps"
	"slices"
)

// claimerNames maps the names of claimers to small numbers. It counts the
// references to each name and frees its number with the last one.
type claimerNames struct {
	numbers     map[string]uint32
	byNumber    []claimerName
	freeNumbers []uint32
}

type claimerName struct {
	name       string
	references int
}

// acquire adds a reference to the name and returns its number.
func (c *claimerNames) acquire(name string) uint32 {
	n, found := c.numbers[name]
	if !found {
		n = c.add(name)
	}
	c.byNumber[n].references++
	return n
}

func (c *claimerNames) add(name string) uint32 {
	if c.numbers == nil {
		c.numbers = make(map[string]uint32)
	}
	n := uint32(len(c.byNumber))
	if last := len(c.freeNumbers) - 1; last >= 0 {
		n, c.freeNumbers = c.freeNumbers[last], c.freeNumbers[:last]
		c.byNumber[n].name = name
	} else {
		c.byNumber = append(c.byNumber, claimerName{name: name})
	}
	c.numbers[name] = n
	return n
}

// release removes a reference to the name with the given number.
func (c *claimerNames) release(n uint32) {
	c.byNumber[n].references--
	if c.byNumber[n].references == 0 {
		delete(c.numbers, c.byNumber[n].name)
		c.byNumber[n].name = ""
		c.freeNumbers = append(c.freeNumbers, n)
	}
}

func (c *claimerNames) name(n uint32) string { return c.byNumber[n].name }

func (c *claimerNames) clone() claimerNames {
	return claimerNames{numbers: maps.Clone(c.numbers), byNumber: slices.Clone(c.byNumber), freeNumbers: slices.Clone(c.freeNumbers)}
}
