package testkit

import (
	"net"
	"sync/atomic"
)

// CountingListener counts the bytes read and written on the connections it accepts.
type CountingListener struct {
	net.Listener
	Bytes *atomic.Int64
}

// Accept waits for the next connection.
func (l CountingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.Bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
