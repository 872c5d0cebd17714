package caller

import "time"

// Limits bound the resources that callers can use on the entry VM. A field that is
// zero or negative takes its default.
type Limits struct {
	// HeaderBytes and BodyBytes bound the header and the body of one request.
	HeaderBytes int
	BodyBytes   int64
	// HeldBytes bounds the total size of the bodies of all requests in flight.
	HeldBytes int64
	// AnswerBytes bounds the chunks of one answer that is assembled before it is
	// sent (stream false).
	AnswerBytes int64
	// ReadTimeout bounds the time to read a request, from the first byte of its
	// header to the last byte of its body.
	ReadTimeout time.Duration
	// WriteTimeout bounds how long one write may block on a caller that does not
	// read.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an idle keep-alive connection is closed.
	IdleTimeout time.Duration
	// Connections bounds the number of open connections. A Server lowers it to what
	// the process's limit on open files allows.
	Connections int
	// SharedStreams returns how many streams share a connection to their engine at
	// present and therefore need fewer files. Nil means none.
	SharedStreams func() int
}

// Defaults of Limits. A prompt for the longest context in use (about 128k tokens)
// takes less than 1 MiB of JSON; 4 MiB allows for scripts that need more bytes per
// token. 128 MiB hold the bodies of 10,000 streams with a prompt of 12 KiB each.
const (
	defaultHeaderBytes  = 16 << 10
	defaultBodyBytes    = 4 << 20
	defaultHeldBytes    = 128 << 20
	defaultAnswerBytes  = 16 << 20
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 10 * time.Second
	defaultIdleTimeout  = 60 * time.Second
	defaultConnections  = 20_000
)

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// withDefaults replaces zero and negative fields by their defaults.
func (l Limits) withDefaults() Limits {
	l.HeaderBytes = orDefault(l.HeaderBytes, defaultHeaderBytes)
	l.BodyBytes = orDefault(l.BodyBytes, defaultBodyBytes)
	l.HeldBytes = orDefault(l.HeldBytes, defaultHeldBytes)
	l.AnswerBytes = orDefault(l.AnswerBytes, defaultAnswerBytes)
	l.ReadTimeout = orDefault(l.ReadTimeout, defaultReadTimeout)
	l.WriteTimeout = orDefault(l.WriteTimeout, defaultWriteTimeout)
	l.IdleTimeout = orDefault(l.IdleTimeout, defaultIdleTimeout)
	l.Connections = orDefault(l.Connections, defaultConnections)
	return l
}
