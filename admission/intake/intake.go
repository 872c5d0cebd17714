// Package intake decides which request bodies may take memory while they arrive. It does no I/O: callers pass in the
// time, wake the bodies that are granted memory and end those that are evicted.
package intake

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// SmallBytes is the size up to which a body counts as small. A small body evicts larger ones that are still arriving
	// instead of waiting for them.
	SmallBytes = 64 << 10
	// StallTimeout and MinProgressBytes are the slowest pace at which a body keeps its memory while others wait for it.
	// Without others that wait, a body may arrive at any pace.
	StallTimeout     = 500 * time.Millisecond
	MinProgressBytes = 16 << 10
	// Of all memory, and of each owner's share, large bodies may use largeParts / allParts.
	largeParts, allParts = 3, 4
	// ownerDivisor makes the share of one owner a half.
	ownerDivisor = 2
	// waitingDivisor makes what large bodies may hold while they wait for more an eighth of the limit. The last in line are
	// evicted beyond that, as the memory would run out on bodies that can't go on.
	waitingDivisor = 8
)

// Body is a request body that is arriving or, once it is complete, in memory. Its fields belong to the Budget.
type Body struct {
	owner string
	// held is the memory that the body has, wanted what it waits for in addition.
	held, wanted int64
	arrived      bool
	evicted      bool
	// order numbers the bodies in the order of their Begin calls.
	order uint64
	// received counts the bytes that have arrived. progressAt is when the body last began to wait for bytes or had received
	// MinProgressBytes more than at the time before, which was at progressBytes.
	received, progressBytes int64
	progressAt              time.Time
}

// IsEvicted reports whether the body must give its memory back.
func (b *Body) IsEvicted() bool { return b.evicted }

// Decision is what a call changed for other bodies than its own.
type Decision struct {
	// Granted bodies have got the memory that they waited for.
	Granted []*Body
	// Evicted bodies must be released. Their memory isn't granted to others before.
	Evicted []*Body
}

// Budget divides the memory for request bodies between their owners. The memory that is held never exceeds the limit.
//
// A body gets memory as its bytes arrive. If there is none, it waits, in the order of what the owners hold and then of
// arrival. While a body waits, others that arrive too slowly are evicted; for a small body, so are the largest ones that
// are still arriving. So peers that send slowly or stop keep memory only as long as nobody else needs it.
type Budget struct {
	limit  int64
	held   int64
	bodies map[*Body]struct{}
	// queue holds the bodies that wait.
	queue  map[*Body]struct{}
	owners map[string]int64
	begun  uint64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, bodies: map[*Body]struct{}{}, queue: map[*Body]struct{}{}, owners: map[string]int64{}}
}

// MaxBody returns the largest body that the budget can hold, in bytes.
func (b *Budget) MaxBody() int64 { return b.ownerLimit(SmallBytes + 1) }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held }

// HasWaiting reports whether a body waits for memory. If so, the caller must call Recheck several times within a
// StallTimeout.
func (b *Budget) HasWaiting() bool { return len(b.queue) > 0 }

// Begin adds a body without memory.
func (b *Budget) Begin(owner string, now time.Time) *Body {
	b.begun++
	body := &Body{owner: owner, order: b.begun, progressAt: now}
	b.bodies[body] = struct{}{}
	return body
}

// Request asks for n more bytes, which the body gets now or, as one of Decision.Granted, later.
func (b *Budget) Request(body *Body, n int64, now time.Time) Decision {
	body.wanted = n
	b.queue[body] = struct{}{}
	return b.settle(now)
}

// Receive records that n more bytes of the body have arrived.
func (b *Budget) Receive(body *Body, n int64, now time.Time) {
	body.received += n
	if body.received-body.progressBytes >= MinProgressBytes {
		body.progressBytes, body.progressAt = body.received, now
	}
}

// Complete records that the whole body has arrived and that it keeps n bytes of its memory until Release. It can't be
// evicted from then on.
func (b *Budget) Complete(body *Body, n int64, now time.Time) Decision {
	body.arrived = true
	b.add(body, n-body.held)
	return b.settle(now)
}

// Release removes a body with its memory.
func (b *Budget) Release(body *Body, now time.Time) Decision {
	b.add(body, -body.held)
	delete(b.bodies, body)
	delete(b.queue, body)
	return b.settle(now)
}

// Recheck evicts bodies that have become too slow since the last call while others wait.
func (b *Budget) Recheck(now time.Time) Decision { return b.settle(now) }

func (b *Budget) add(body *Body, n int64) {
	body.held += n
	b.held += n
	b.owners[body.owner] += n
	if b.owners[body.owner] == 0 {
		delete(b.owners, body.owner)
	}
}

// settle grants memory to the bodies that wait, and evicts others for those that can't get it.
func (b *Budget) settle(now time.Time) Decision {
	var decision Decision
	var isBlocked [2]bool // small, large: a body that finds no memory isn't overtaken by later ones of its kind
	waitingBytes := int64(0)
	for _, body := range b.waiting() {
		if body.evicted {
			continue // in this call
		}
		size, kind := body.held+body.wanted, 0
		if size > SmallBytes {
			kind = 1
		}
		missing := b.held + body.wanted - b.totalLimit(size)
		missingOfOwner := b.owners[body.owner] + body.wanted - b.ownerLimit(size)
		switch {
		case isBlocked[kind]:
		case missing <= 0 && missingOfOwner <= 0:
			b.grant(body, now)
			decision.Granted = append(decision.Granted, body)
			continue
		case missing > 0:
			isBlocked[kind] = true
			decision.Evicted = append(decision.Evicted, b.evictFor(body, missing, "", now)...)
		default:
			decision.Evicted = append(decision.Evicted, b.evictFor(body, missingOfOwner, body.owner, now)...)
		}
		if waitingBytes += body.held; kind == 1 && waitingBytes > b.limit/waitingDivisor {
			b.evict(body)
			decision.Evicted = append(decision.Evicted, body)
		}
	}
	return decision
}

// waiting returns the bodies that wait: first those whose owner holds the least, then the earliest.
func (b *Budget) waiting() []*Body {
	return slices.SortedFunc(maps.Keys(b.queue), func(x, y *Body) int {
		return cmp.Or(cmp.Compare(b.owners[x.owner], b.owners[y.owner]), cmp.Compare(x.order, y.order))
	})
}

func (b *Budget) grant(body *Body, now time.Time) {
	b.add(body, body.wanted)
	body.wanted = 0
	delete(b.queue, body)
	body.progressBytes, body.progressAt = body.received, now // while it waited, nothing of it was read
}

func (b *Budget) evict(body *Body) {
	body.evicted, body.wanted = true, 0
	delete(b.queue, body)
}

// totalLimit returns how much memory all bodies may hold if one of the given size gets more.
func (b *Budget) totalLimit(size int64) int64 {
	if size > SmallBytes {
		return b.limit / allParts * largeParts
	}
	return b.limit
}

// ownerLimit is totalLimit for the bodies of one owner.
func (b *Budget) ownerLimit(size int64) int64 { return b.totalLimit(size) / ownerDivisor }

// evictFor evicts bodies, of one owner unless that is empty, until the missing bytes will be free. First come those that
// arrive too slowly, longest without progress first, then for a small body those that are at least twice as large, largest
// first.
func (b *Budget) evictFor(body *Body, missing int64, owner string, now time.Time) []*Body {
	var candidates []*Body
	for other := range b.bodies {
		switch {
		case other == body || other.arrived || other.held == 0 || (owner != "" && other.owner != owner):
		case other.evicted:
			missing -= other.held // on its way back
		case other.isStalled(now) || body.outranks(other):
			candidates = append(candidates, other)
		}
	}
	slices.SortFunc(candidates, func(x, y *Body) int {
		xStalled, yStalled := x.isStalled(now), y.isStalled(now)
		switch {
		case xStalled && yStalled:
			return x.progressAt.Compare(y.progressAt)
		case xStalled:
			return -1
		case yStalled:
			return 1
		default:
			return cmp.Or(cmp.Compare(y.held, x.held), cmp.Compare(x.order, y.order))
		}
	})
	var evicted []*Body
	for _, other := range candidates {
		if missing <= 0 {
			break
		}
		b.evict(other)
		missing -= other.held
		evicted = append(evicted, other)
	}
	return evicted
}

// isStalled reports whether the body arrives too slowly. One that waits for memory is not to blame.
func (b *Body) isStalled(now time.Time) bool {
	return b.wanted == 0 && now.Sub(b.progressAt) >= StallTimeout
}

// outranks reports whether a body is small and may take the memory of another one that is still arriving.
func (b *Body) outranks(other *Body) bool {
	size := b.held + b.wanted
	return size <= SmallBytes && other.held >= 2*size
}
