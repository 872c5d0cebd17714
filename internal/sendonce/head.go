package sendonce

import (
	"fmt"
	"net"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// scannedConn checks the head of each answer, with the interim answers before it, as its bytes are read. net/http accepts
// heads that other readers understand otherwise, such as a name with a blank behind it, and takes other bytes for the body
// than their sender meant.
type scannedConn struct {
	net.Conn
	// begins is whether the next byte is the first one of an answer.
	begins atomic.Bool
	// scanner is used only by the goroutine that reads.
	scanner headScanner
}

// beginAnswer has the next byte count as the first one of an answer.
func (c *scannedConn) beginAnswer() { c.begins.Store(true) }

// Read implements net.Conn. It fails with ErrInvalidAnswer.
func (c *scannedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.begins.Swap(false) {
		c.scanner = headScanner{active: true}
	}
	if reason := c.scanner.scan(p[:n]); reason != "" {
		return 0, fmt.Errorf("%w: %s", ErrInvalidAnswer, reason)
	}
	return n, err
}

// place is a headScanner's place within a head.
type place int

const (
	inStatusLine place = iota
	atLineStart
	inName
	inValue
	// afterCR is behind a CR, which must end its line.
	afterCR
	// afterLastCR is behind the CR of the empty line that ends a head.
	afterLastCR
)

// A status line begins with statusPrefix, the minor version, a blank, a status of three digits and, if it goes on, a blank.
const (
	statusPrefix    = "HTTP/1."
	statusLineBytes = len(statusPrefix) + len("1 200")
)

// The names of the fields that frame a body, in lower case.
const (
	nameLength       = "content-length"
	nameEncoding     = "transfer-encoding"
	maxFramingLength = len(nameEncoding)
)

// headScanner reads the heads of one answer byte by byte: names are tokens and end with their colon, lines are not folded,
// values have no control bytes (RFC 9110, 5.1, 5.5; RFC 9112, 5), the version is HTTP/1.x, and a body has one frame.
type headScanner struct {
	active bool
	place  place
	// line holds the start of the status line or of a field's name in lower case, length how long that is.
	line   [maxFramingLength + 1]byte
	length int
	// isInterim is whether the head is that of an interim answer, isOld whether its version is HTTP/1.0.
	isInterim, isOld       bool
	hasLength, hasEncoding bool
}

// scan reads bytes of an answer. It returns what is wrong with them, or nothing.
func (s *headScanner) scan(text []byte) (reason string) {
	for _, c := range text {
		if !s.active {
			return ""
		}
		if reason := s.next(c); reason != "" {
			s.active = false
			return reason
		}
	}
	return ""
}

func (s *headScanner) next(c byte) (reason string) {
	switch s.place {
	case inStatusLine:
		return s.nextOfStatusLine(c)
	case atLineStart:
		return s.beginLine(c)
	case inName:
		return s.nextOfName(c)
	case inValue:
		return s.nextOfValue(c)
	case afterCR:
		if c != '\n' {
			return "CR within a line"
		}
		s.beginNextLine()
	case afterLastCR:
		if c != '\n' {
			return "CR within a line"
		}
		return s.endHead()
	}
	return ""
}

func (s *headScanner) nextOfStatusLine(c byte) (reason string) {
	if c != '\r' && c != '\n' {
		if s.length < statusLineBytes {
			s.line[s.length] = c
		} else if s.length == statusLineBytes && c != ' ' {
			return "malformed status line"
		} else if isControl(c) {
			return "control byte in the status line"
		}
		s.length = min(s.length+1, statusLineBytes+1)
		return ""
	}
	if !isStatusLine(s.line[:min(s.length, statusLineBytes)]) {
		return "malformed status line"
	}
	s.isOld = s.line[len(statusPrefix)] == '0'
	s.isInterim = s.line[statusLineBytes-3] == '1'
	s.endLine(c)
	return ""
}

// isStatusLine reports whether a line begins with a version and a status.
func isStatusLine(line []byte) bool {
	if len(line) != statusLineBytes || string(line[:len(statusPrefix)]) != statusPrefix || line[len(statusPrefix)+1] != ' ' {
		return false
	}
	for _, i := range []int{len(statusPrefix), statusLineBytes - 3, statusLineBytes - 2, statusLineBytes - 1} {
		if line[i] < '0' || line[i] > '9' {
			return false
		}
	}
	return true
}

func (s *headScanner) beginLine(c byte) (reason string) {
	switch {
	case c == '\r':
		s.place = afterLastCR
		return ""
	case c == '\n':
		return s.endHead()
	case c == ' ' || c == '\t':
		return "folded line"
	case c == ':':
		return "field without a name"
	}
	s.place, s.length = inName, 0
	return s.nextOfName(c)
}

func (s *headScanner) nextOfName(c byte) (reason string) {
	switch {
	case c == ':':
		s.endName()
	case !httpguts.IsTokenRune(rune(c)):
		return "malformed name of a field"
	case s.length < len(s.line):
		s.line[s.length] = lower(c)
		s.length++
	}
	return ""
}

func (s *headScanner) endName() {
	switch string(s.line[:s.length]) {
	case nameLength:
		s.hasLength = true
	case nameEncoding:
		s.hasEncoding = true
	}
	s.place = inValue
}

func (s *headScanner) nextOfValue(c byte) (reason string) {
	switch {
	case c == '\r' || c == '\n':
		s.endLine(c)
	case isControl(c):
		return "control byte in a field's value"
	}
	return ""
}

// endLine goes on behind the CR or LF that ends a line.
func (s *headScanner) endLine(c byte) {
	if c == '\r' {
		s.place = afterCR
		return
	}
	s.beginNextLine()
}

func (s *headScanner) beginNextLine() { s.place = atLineStart }

// endHead checks the head as a whole. Another one follows if it is that of an interim answer.
func (s *headScanner) endHead() (reason string) {
	switch {
	case s.hasEncoding && s.hasLength:
		return "a length beside a transfer encoding"
	case s.hasEncoding && s.isOld:
		return "a transfer encoding in HTTP/1.0"
	}
	*s = headScanner{active: s.isInterim}
	return ""
}

// isControl reports whether a value may not contain c.
func isControl(c byte) bool { return (c < ' ' && c != '\t') || c == 0x7f }

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
