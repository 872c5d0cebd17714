package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// Guards against heads of many short fields, which take much more memory than their text, also if they come pipelined.
func TestHeadsAreBounded(t *testing.T) {
	limits := Limits{HeaderBytes: 4 << 10, HeldBytes: 1 << 20}.withDefaults()
	all := newConnections(maxHeadBytes(limits))
	var fields strings.Builder
	for i := 0; fields.Len() < 4<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	var conns []*limitedConn
	for range 100 {
		near, far := net.Pipe()
		defer far.Close()
		conn := &limitedConn{Conn: near, all: all, host: "a", phaseSince: time.Now()}
		conn.release = func() { all.remove(conn) }
		all.add(conn)
		conns = append(conns, conn)
		all.addHead(conn, conn.endRead([]byte(fields.String())))
		testkit.That(t, all.headBytes <= all.maxHeadBytes, "heads take %d bytes of %d", all.headBytes, all.maxHeadBytes)
	}
	evicted := 0
	for _, conn := range conns {
		if conn.evicted {
			evicted++
			continue
		}
		all.addHead(conn, conn.changeState(0)) // StateNew changes nothing
	}
	testkit.That(t, evicted > 0 && evicted < 100, "%d of 100 are evicted", evicted)
	ordinary := &limitedConn{all: all, host: "b"}
	all.add(ordinary)
	all.addHead(ordinary, ordinary.endRead([]byte("GET / HTTP/1.1\r\n"+strings.Repeat("Name: value\r\n", 40)+"\r\n")))
	testkit.That(t, !ordinary.evicted && all.heads[ordinary] == 0, "an ordinary head counts %d bytes", all.heads[ordinary])
}

// Guards against a request that is closed because its connection waited for long before it.
func TestConnectionsWithRequestsAreNotEvicted(t *testing.T) {
	all := newConnections(1 << 20)
	old := time.Now().Add(-time.Hour)
	for _, p := range []phase{phaseAnswer, phaseAnswer, phaseWaiting, phaseHead, phaseBody, phaseLingering} {
		near, far := net.Pipe()
		defer far.Close()
		conn := &limitedConn{Conn: near, all: all, host: "a", phase: p, phaseSince: old}
		conn.release = func() { all.remove(conn) }
		all.add(conn)
		old = old.Add(time.Second)
	}
	for range 4 {
		testkit.That(t, all.evictOne(time.Now()), "nothing is evicted")
	}
	testkit.That(t, !all.evictOne(time.Now()) && len(all.open) == 2, "a connection with a request is evicted")
	for conn := range all.open {
		testkit.Equal(t, "phase", conn.phase, phaseAnswer)
	}
}

// Guards against one address that keeps others out by connecting again and again: its own connections are evicted first.
func TestAddressWithMostConnectionsYields(t *testing.T) {
	all := newConnections(1 << 20)
	old := time.Now().Add(-time.Hour)
	for i, host := range []string{"b", "a", "a", "c"} {
		near, far := net.Pipe()
		defer far.Close()
		conn := &limitedConn{Conn: near, all: all, host: host, phaseSince: old.Add(time.Duration(i) * time.Second)}
		conn.release = func() { all.remove(conn) }
		all.add(conn)
	}
	testkit.That(t, all.evictOne(time.Now()) && all.byHost["a"] == 1, "evicted one of another address: %v", all.byHost)
	testkit.That(t, all.evictOne(time.Now()) && all.byHost["b"] == 0, "not the longest waiting: %v", all.byHost)
}

// Guards against probes that find no connection because of others whose bodies never arrive.
func TestProbesAreAnsweredBesideUnsentBodies(t *testing.T) {
	server := NewProbeServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	listener := testkit.Value(Listen(t.Context(), "127.0.0.1:0"))(t)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	address := listener.Addr().String()
	for range 2 * probeConnections {
		conn := testkit.Value(net.Dial("tcp", address))(t)
		defer conn.Close()
		_, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n")
		testkit.OK(t, err)
		status, err := bufio.NewReader(conn).ReadString('\n')
		testkit.That(t, err == nil && strings.Contains(status, " 204 "), "%q, %v", status, err)
		time.Sleep(minEvictionAge / probeConnections * 2)
	}
	got := exchangeRaw(t, address, "GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	testkit.That(t, strings.HasPrefix(got, "HTTP/1.1 204 "), "got %q", got)
}
