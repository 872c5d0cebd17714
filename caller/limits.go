package caller

import "time"

// Limits bound what a caller can make the entry VM hold. A zero field takes
// its default.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int
	BodyBytes   int64
	// HeldBytes bounds the bodies of all requests under way.
	HeldBytes int64
	// AnswerBytes bounds the content of one answer that is put together before
	// it is sent (stream false).
	AnswerBytes int64
	// ReadTimeout bounds reading a request, first byte of its header to last of
	// its body.
	ReadTimeout time.Duration
	// WriteTimeout bounds how long one write may wait for a caller that does
	// not read.
	WriteTimeout time.Duration
	// IdleTimeout ends a keep-alive connection without requests.
	IdleTimeout time.Duration
	// Connections bounds open connections; a Server lowers it to what the
	// process's limit of open files allows.
	Connections int
	// SharedStreams tells how many streams now share a connection to their engine, so
	// that they need fewer files; nil is none.
	SharedStreams func() int
}

// Defaults of Limits. A prompt of the longest context in use (some 128k tokens)
// takes less than 1 MiB of JSON; 4 MiB leaves room for other scripts. 128 MiB
// hold 10,000 streams with 12 KiB of prompt each.
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

// withDefaults replaces zero (and negative) fields.
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
