package tcpdial_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"bergamotreel/internal/tcpdial"
	"bergamotreel/internal/testkit"
)

// maxSoundPause is for how long a sound peer may be silent and then go on.
const maxSoundPause = 1500 * time.Millisecond

// Guards against connections to a sound peer that break while it pauses. The kernel gives up
// sent bytes after TCP_USER_TIMEOUT, and an idle connection at the first keep-alive probe that is
// due TCP_USER_TIMEOUT after the last received byte, whatever the count of probes; the pause may
// begin just before the first probe.
func TestSoundPauseKeepsConnections(t *testing.T) {
	listener := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(t)
	defer listener.Close()
	conn := testkit.Value(tcpdial.Dialer.DialContext(t.Context(), "tcp", listener.Addr().String()))(t)
	defer conn.Close()
	raw := testkit.Value(conn.(*net.TCPConn).SyscallConn())(t)
	option := func(name int) (value int) {
		testkit.OK(t, raw.Control(func(fd uintptr) {
			var err error
			value, err = syscall.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			testkit.OK(t, err)
		}))
		return value
	}
	unacked := time.Duration(option(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle := time.Duration(option(unix.TCP_KEEPIDLE)) * time.Second
	interval := time.Duration(option(unix.TCP_KEEPINTVL)) * time.Second
	testkit.That(t, unacked > maxSoundPause, "sent bytes are given up after %s", unacked)
	closedAt := idle + interval
	for closedAt < unacked {
		closedAt += interval
	}
	testkit.That(t, closedAt-idle > maxSoundPause, "an idle connection is closed %s after its first probe", closedAt-idle)
	testkit.That(t, closedAt <= 4*time.Second, "an idle connection to a dead peer is closed after %s", closedAt)
}
