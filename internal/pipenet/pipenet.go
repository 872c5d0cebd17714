// Package pipenet is a network of one address in memory, for tests in virtual
// time: a goroutine that waits on a pipe is idle for testing/synctest, one that
// waits on a socket is not. It carries what net/http and net/rpc carry over TCP;
// it has no buffers, so that a writer waits for the reader.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Listener is a net.Listener and at the same time the way to it. It is safe for
// concurrent use.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

var _ net.Listener = (*Listener)(nil)

// Listen opens the address.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// DialContext connects, whatever the address. It fails with ECONNREFUSED after
// Close, and with the context's error where nobody accepts in time.
func (l *Listener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener; connections live on.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
