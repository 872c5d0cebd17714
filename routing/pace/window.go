package pace

import (
	"slices"
	"time"
)

const (
	// windowSlices slices of sliceLength make up the window. An engine that is slow for a moment every few
	// seconds looks fast in a shorter window; a longer one remembers causes that have passed.
	windowSlices = 8
	sliceLength  = time.Second
	// Window is the time that counts cover.
	Window = windowSlices * sliceLength
)

// slice holds the counts of one slice of the window.
type slice struct {
	number      int64 // time / sliceLength
	gaps, first [buckets]uint32
}

// window holds the counts of one Key.
type window struct{ slices [windowSlices]slice }

// at returns the slice for the time now, emptied if it held an earlier one.
func (w *window) at(now time.Time) *slice {
	number := now.UnixNano() / int64(sliceLength)
	s := &w.slices[uint64(number)%windowSlices]
	if s.number != number {
		*s = slice{number: number}
	}
	return s
}

// sum returns the counts of the slices that belong to the window that ends now.
func (w *window) sum(now time.Time) (gaps, first [buckets]uint32) {
	number := now.UnixNano() / int64(sliceLength)
	for i := range w.slices {
		s := &w.slices[i]
		if s.number > number || s.number <= number-windowSlices {
			continue
		}
		for b := range buckets {
			gaps[b] += s.gaps[b]
			first[b] += s.first[b]
		}
	}
	return gaps, first
}

// trim returns the counts without the zeros at their end, nil for none.
func trim(counts [buckets]uint32) []uint32 {
	length := buckets
	for length > 0 && counts[length-1] == 0 {
		length--
	}
	return slices.Clone(counts[:length:length])
}

// total returns the number of counted times.
func total(counts []uint32) (sum uint64) {
	for _, c := range counts {
		sum += uint64(c)
	}
	return sum
}
