package caller

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"bergamotreel/service"
)

// relayAnswer implements RelayAnswer over net/http.
type relayAnswer struct {
	w      http.ResponseWriter
	limits Limits
	begun  bool
	// begunAt is when the head was sent.
	begunAt time.Time
	status  int
	// left is how much of a body of known length is to come, -1 if unknown.
	left int64
	// deadline is the write deadline in force.
	deadline time.Time
}

// WriteHead implements RelayAnswer.
func (a *relayAnswer) WriteHead(status int, header http.Header, length int64) {
	a.begun = true
	a.begunAt = time.Now()
	a.status = status
	a.left = length
	out := a.w.Header()
	closes := out.Get("Connection") != ""
	maps.Copy(out, header)
	service.StripHop(out)
	if closes {
		out.Set("Connection", "close")
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if out.Get("Content-Type") == "" {
		out["Content-Type"] = nil // net/http would guess one
	}
	a.boundWriting()
	a.w.WriteHeader(status)
}

// Write implements RelayAnswer.
func (a *relayAnswer) Write(piece []byte) error {
	a.boundWriting()
	if _, err := a.w.Write(piece); err != nil {
		return Error.Wrap(err)
	}
	if a.left >= 0 {
		a.left -= int64(len(piece))
		if a.left <= 0 {
			return nil // net/http sends the end of the answer together with its last piece
		}
	}
	return Error.Wrap(http.NewResponseController(a.w).Flush())
}

// HasBegun implements RelayAnswer.
func (a *relayAnswer) HasBegun() bool { return a.begun }

// boundWriting ends the connection of a caller that stops reading: else it would
// hold its engine for as long as the route allows. The deadline is moved at most
// a few times in each WriteTimeout, as that costs a timer.
func (a *relayAnswer) boundWriting() {
	now := time.Now()
	if a.deadline.Sub(now) > a.limits.WriteTimeout/2 {
		return
	}
	a.deadline = now.Add(a.limits.WriteTimeout)
	// Writers without deadlines (tests) go without.
	_ = http.NewResponseController(a.w).SetWriteDeadline(a.deadline)
}
