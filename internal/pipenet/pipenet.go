// Package pipenet provides an in-memory network with a single address, for tests in virtual
// time: testing/synctest treats a goroutine that waits on a pipe as durably blocked, but not
// one that waits on a socket. net/http and net/rpc work over it as over TCP. Connections are
// unbuffered, so a writer waits for the reader.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Listener is a net.Listener that also dials itself. It is safe for concurrent use.
type Listener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

var _ net.Listener = (*Listener)(nil)

// Listen opens a listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// DialContext connects to the listener; the address is ignored. It fails with ECONNREFUSED
// after Close, and with the context's error if the connection isn't accepted in time.
func (l *Listener) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
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

// Close implements net.Listener. Established connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
