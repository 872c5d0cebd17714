package sendonce

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// repeatsByTransport counts the requests that net/http sent again by itself.
	repeatsByTransport = metrics.NewCounter("bergamotreel_requests_repeated_by_transport_total")
	// sameConnectionsClosed counts the connections that were closed because a request that they had
	// carried was about to be sent over them again.
	sameConnectionsClosed = metrics.NewCounter("bergamotreel_same_connections_closed_total")
)

// Sendings tracks over which connections one request was sent, in all of its sendings, so that no connection
// carries it twice. An answer names its request but not the sending, so a second answer to an earlier sending
// would be taken for the answer to the next one. The zero value is a request that wasn't sent yet. It is safe
// for concurrent use.
type Sendings struct {
	mu    sync.Mutex
	conns []*countingConn
	last  Sending
	// lastConn is the connection of the newest sending, nil before it has one.
	lastConn *countingConn
}

// Sending describes one sending of a request.
type Sending struct {
	// Kept is whether the connection had carried another request before.
	Kept bool
	// Closed is how many connections were closed as they had carried this request before.
	Closed int
	// Repeats is how often net/http sent the request again by itself.
	Repeats int
	// AnsweredAt is when the connection brought the first byte of its first answer, to this request or an earlier
	// one, zero before it did.
	AnsweredAt time.Time
}

// sendingsKey is the context key of a request's Sendings.
type sendingsKey struct{}

// WithSendings returns a context for the next sending of a request over a client of this package.
func WithSendings(ctx context.Context, s *Sendings) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last, s.lastConn = Sending{}, nil
	return context.WithValue(ctx, sendingsKey{}, s)
}

// sendingsOf returns the Sendings of a request's context, nil if it has none.
func sendingsOf(ctx context.Context) *Sendings {
	s, _ := ctx.Value(sendingsKey{}).(*Sendings)
	return s
}

// Last returns the newest sending.
func (s *Sendings) Last() Sending {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last
	if s.lastConn != nil {
		last.AnsweredAt = s.lastConn.firstAnswerAt()
	}
	return last
}

// HasConn reports whether the newest sending has a connection. Without one, nothing of it was sent yet.
func (s *Sendings) HasConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConn != nil
}

// addConn records that the request is about to go over a connection. It returns false if it must not, because
// that has carried it before. repeated is whether net/http had already sent the request over another one.
func (s *Sendings) addConn(conn *countingConn, info httptrace.GotConnInfo, repeated bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last.Kept = info.Reused
	if repeated {
		s.last.Repeats++
	}
	if slices.Contains(s.conns, conn) {
		s.last.Closed++
		sameConnectionsClosed.Inc()
		return false
	}
	s.conns, s.lastConn = append(s.conns, conn), conn
	return true
}
