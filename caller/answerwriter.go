package caller

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bergamotreel/service"
)

// maxWriteSize bounds the bytes written under one write deadline, so that a caller behind
// a slow link can read a long piece.
const maxWriteSize = 16 << 10

// answerWriter implements AnswerWriter over net/http.
type answerWriter struct {
	w      http.ResponseWriter
	limits Limits
	// conn is the caller's connection, nil if it is shared by requests or isn't known.
	conn *limitedConn
	// supportsChunks is whether the caller's protocol can mark the end of a body whose length
	// isn't known in advance.
	supportsChunks bool
	begun          bool
	// begunAt is the time at which the head was sent.
	begunAt time.Time
	status  int
	// remaining is the number of body bytes not yet written, -1 if the length is unknown.
	remaining int64
	// deadline is the current write deadline.
	deadline time.Time
	// endRequest ends the request's context. callerLeft is whether HasCallerLeft did so.
	endRequest context.CancelFunc
	callerLeft bool
}

func newAnswerWriter(w http.ResponseWriter, r *http.Request, limits Limits) answerWriter {
	a := answerWriter{w: w, limits: limits, supportsChunks: r.ProtoAtLeast(1, 1)}
	if r.ProtoMajor == 1 {
		a.conn = connectionOf(r.Context())
	}
	return a
}

// WriteHead implements AnswerWriter.
func (a *answerWriter) WriteHead(status int, header http.Header, length int64) {
	a.begun = true
	a.begunAt = time.Now()
	a.status = status
	a.remaining = length
	out := a.w.Header()
	closing := out.Get("Connection") != ""
	maps.Copy(out, header)
	service.StripHopByHopHeaders(out)
	if closing {
		out.Set("Connection", "close")
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		out.Del("Content-Length") // may be in the backend server's header
	}
	if length == service.LengthUntilClose {
		out.Set("Transfer-Encoding", "identity") // makes net/http end the answer with the connection
	}
	if length == service.LengthUntilClose || (length < 0 && !a.supportsChunks) {
		a.conn.setResetOnClose(true)
	}
	if out.Get("Content-Type") == "" {
		out["Content-Type"] = nil // keeps net/http from guessing one
	}
	a.extendDeadline()
	a.w.WriteHeader(status)
}

// Write implements AnswerWriter.
func (a *answerWriter) Write(piece []byte) error {
	for part := range slices.Chunk(piece, maxWriteSize) {
		a.extendDeadline()
		if _, err := a.w.Write(part); err != nil {
			return Error.Wrap(err)
		}
	}
	if a.remaining >= 0 {
		a.remaining -= int64(len(piece))
		if a.remaining <= 0 {
			return nil // net/http sends the last piece together with the end of the answer
		}
	}
	return Error.Wrap(http.NewResponseController(a.w).Flush())
}

// complete prepares the end of the answer, which net/http sends next.
func (a *answerWriter) complete() {
	a.extendDeadline()
	a.conn.setResetOnClose(false)
}

// HasBegun implements AnswerWriter.
func (a *answerWriter) HasBegun() bool { return a.begun }

// HasCallerLeft implements AnswerWriter.
func (a *answerWriter) HasCallerLeft() bool {
	if !a.callerLeft && a.conn.isClosedByPeer() {
		a.callerLeft = true
		a.endRequest()
	}
	return a.callerLeft
}

// extendDeadline keeps the write deadline between half a WriteTimeout and a whole
// one ahead. Without it a caller that stops reading would occupy its engine until the
// route's timeout. The deadline is not moved on every write because resetting its
// timer is expensive.
func (a *answerWriter) extendDeadline() {
	now := time.Now()
	if a.deadline.Sub(now) > a.limits.WriteTimeout/2 {
		return
	}
	a.deadline = now.Add(a.limits.WriteTimeout)
	// The error is ignored: writers of tests don't support deadlines.
	_ = http.NewResponseController(a.w).SetWriteDeadline(a.deadline)
}
