package caller

import (
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
