// Package tcpdial makes TCP connections that detect a silent peer within seconds.
package tcpdial

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Timeout bounds connecting. Machines of one region answer within milliseconds; one that
	// has lost power doesn't answer at all.
	Timeout = 500 * time.Millisecond
	// unackedTimeout bounds how long sent bytes may stay unacknowledged, and an idle connection
	// fails at the first keep-alive probe that is due so long after the last received byte.
	// Without it a connection to a peer behind a network partition hangs for many minutes. A
	// sound peer may pause for a second or so.
	unackedTimeout = 2500 * time.Millisecond
	// Keep-alive probes start after keepAliveIdle and repeat at keepAliveInterval. The
	// connection fails after keepAliveCount unanswered probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// KeepAlive makes a connection fail about 3 s after its peer's last byte.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dialer connects with limits on how long the peer may be silent.
var Dialer = net.Dialer{
	Timeout:         Timeout,
	KeepAliveConfig: KeepAlive,
	Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sockErr
	},
}

// DialDiscardOnClose connects with Dialer, and with DiscardOnClose in effect.
func DialDiscardOnClose(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := DiscardOnClose(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// DiscardOnClose makes closing a TCP connection reset it and discard what has not left this machine. Otherwise
// what a network partition holds up arrives when the partition heals, although its sender has given it up. A
// stopped peer reads what its kernel has received when it goes on, also after the reset. DiscardOnClose leaves
// other connections alone, and fails if the connection is broken.
func DiscardOnClose(conn net.Conn) error {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return tcp.SetLinger(0)
	}
	return nil
}

// IsClosedByPeer reports whether the peer has closed or reset a TCP connection, also if bytes that it
// sent before are unread. It doesn't wait for a Read in another goroutine. Other connections count as
// open.
func IsClosedByPeer(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		closed = err == nil && n > 0
	})
	return closed || errors.Is(err, net.ErrClosed)
}
