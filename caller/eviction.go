package caller

import (
	"bytes"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// evictedConnectionsTotal counts the connections that were closed because new ones needed their place.
var evictedConnectionsTotal = metrics.NewCounter(`bergamotreel_caller_evicted_connections_total`)

// phase is what a connection is doing, by who has to go on.
type phase int

const (
	// phaseWaiting is that of a connection of which no byte of a next request was read.
	phaseWaiting phase = iota
	// phaseHead and phaseBody are those of a connection whose request is arriving.
	phaseHead
	phaseBody
	// phaseAnswer is that of a connection whose request is being handled.
	phaseAnswer
	// phaseLingering is that of a connection whose request was refused and that is read to let the refusal arrive.
	phaseLingering
)

// minEvictionAge is how long a connection may be in a phase before it can be evicted: a caller sends its request at once
// after it has connected.
const minEvictionAge = 50 * time.Millisecond

// setPhase records what the connection is doing. The caller holds c.mu.
func (c *limitedConn) setPhase(p phase, now time.Time) { c.phase, c.phaseSince = p, now }

// enterPhase is setPhase for a nil connection as well.
func (c *limitedConn) enterPhase(p phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(p, time.Now())
}

// canEvict reports whether the connection waits for its caller, and since when.
func (c *limitedConn) canEvict() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phaseSince, c.phase != phaseAnswer && !c.evicted
}

// evict closes the connection unless it has a request by now.
func (c *limitedConn) evict() bool {
	c.mu.Lock()
	if c.phase == phaseAnswer || c.evicted {
		c.mu.Unlock()
		return false
	}
	c.evicted = true
	c.mu.Unlock()
	evictedConnectionsTotal.Inc()
	_ = c.Conn.Close() // net/http notices and ends its goroutine
	c.release()
	return true
}

// evictOne closes the connection within the limit that has waited for its caller longest, at first among those of the address with the most
// connections. It returns false if all connections have a request or began to wait just now.
func (c *connections) evictOne(now time.Time) bool {
	for {
		victim := c.longestWaiting(now)
		if victim == nil {
			return false
		}
		if victim.evict() {
			return true
		}
	}
}

func (c *connections) longestWaiting(now time.Time) *limitedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim *limitedConn
	var victimSince time.Time
	for conn := range c.open {
		since, ok := conn.canEvict()
		if !ok || conn.overLimit || now.Sub(since) < minEvictionAge {
			continue
		}
		difference := 0
		if victim != nil {
			difference = c.byHost[conn.host] - c.byHost[victim.host]
		}
		if victim == nil || difference > 0 || (difference == 0 && since.Before(victimSince)) {
			victim, victimSince = conn, since
		}
	}
	return victim
}

// hostOf returns the address of the caller without the port.
func hostOf(conn net.Conn) string {
	address := conn.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}

const (
	// fieldBytes is the memory that a parsed header field takes beyond its text.
	fieldBytes = 128
	// freeHeadBytes is the memory of a head that doesn't count toward the limit on all heads. Ordinary heads take less, and
	// the limit on connections bounds their sum.
	freeHeadBytes = 16 << 10
	// readAheadBytes is the size of net/http's buffer for a connection, in which the next request may begin.
	readAheadBytes = 4 << 10
	// headBytesDivisor makes the limit on all heads a part of that on all bodies.
	headBytesDivisor = 4
	// minFieldLength is the length of the shortest field with its line's end.
	minFieldLength = 4
)

// maxHeadBytes returns the limit on the memory of all heads that are larger than ordinary ones. A single one always fits.
func maxHeadBytes(limits Limits) int64 {
	maxText := int64(limits.HeaderBytes) + readAheadBytes
	maxHead := maxText + maxText/minFieldLength*fieldBytes
	return max(limits.HeldBytes/headBytesDivisor, maxHead)
}

// headSize returns the memory that text takes when it is parsed as a part of a head.
func headSize(text []byte) int64 {
	return int64(len(text)) + int64(bytes.Count(text, []byte("\n")))*fieldBytes
}

// countHead records what was read, and returns how much larger the connection's share of the memory of heads is now. The size of
// bytes with which the next request may start is kept until that request starts.
func (c *limitedConn) countHead(text []byte) (grown int64) {
	before := c.heldHead()
	body := text
	if c.phase == phaseHead {
		head, rest, ended := bytes.Cut(text, []byte("\r\n\r\n"))
		c.headSize += headSize(head)
		body = rest
		if !ended {
			body = nil
		}
	}
	if len(text) > 1 { // a single byte may be one that net/http reads beside its buffer while a handler runs
		c.readAheadSize = 0
	}
	if len(body) <= readAheadBytes { // larger reads bypass the buffer
		c.readAheadSize += headSize(body)
	}
	return c.heldHead() - before
}

// heldHead returns the part of the head's memory that counts toward the limit. The caller holds c.mu.
func (c *limitedConn) heldHead() int64 { return max(0, c.headSize-freeHeadBytes) }

// addHead adds to the memory of all heads. While it is over the limit, it closes the connection with the largest head whose
// request is still arriving, which may be conn.
func (c *connections) addHead(conn *limitedConn, bytes int64) {
	if bytes == 0 {
		return
	}
	c.mu.Lock()
	if _, ok := c.open[conn]; !ok {
		c.mu.Unlock()
		return // its memory was given back
	}
	c.heads[conn] += bytes
	c.headBytes += bytes
	if c.heads[conn] == 0 {
		delete(c.heads, conn)
	}
	over := c.headBytes > c.maxHeadBytes
	c.mu.Unlock()
	for over {
		victim := c.largestHead()
		over = victim != nil && (!victim.evict() || c.isOverHeadLimit())
	}
}

func (c *connections) isOverHeadLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes > c.maxHeadBytes
}

// largestHead returns the connection with the largest head among those whose request is still arriving, nil if there is
// none.
func (c *connections) largestHead() *limitedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var victim *limitedConn
	for conn, bytes := range c.heads {
		if _, ok := conn.canEvict(); ok && (victim == nil || bytes > c.heads[victim]) {
			victim = conn
		}
	}
	return victim
}
