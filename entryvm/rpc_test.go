package entryvm

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/testkit"
)

func TestMessagesOverTCP(t *testing.T) {
	for name, config := range map[string]*tls.Config{"plain": nil, "TLS": selfSigned(t)} {
		t.Run(name, func(t *testing.T) {
			listener := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(t)
			handler := &recorder{records: Records{
				Records:  []Record{{Offset: 7, Time: time.UnixMilli(5).UTC(), Data: []byte("r")}},
				Snapshot: [][]byte{[]byte("s")},
			}}
			stop := startServer(t, listener, handler, config)
			client := testkit.Value(NewClient(fleetSecret, 0, config))(t)
			checkMessages(t, client, listener.Addr().String(), handler)
			client.Close()
			stop()
		})
	}
}

// checkMessages sends one message of each kind.
func checkMessages(t *testing.T, peer Peer, address string, handler *recorder) {
	sent := []Digest{{VM: "a", Sequence: 3, InFlight: map[string]int{"e": 1}, RecentUses: []Use{{"m", time.Second}}}}
	testkit.NoDiff(t, []Digest{{VM: "callee"}}, testkit.Value(peer.Exchange(t.Context(), address, sent))(t))
	testkit.NoDiff(t, [][]Digest{sent}, handler.digests)
	demand := []Demand{{Unit: "m", Customer: "c", Waiting: 2, Deadline: time.Second, Priority: 1}}
	testkit.OK(t, peer.Want(t.Context(), address, "a", demand))
	testkit.NoDiff(t, demand, handler.demand)
	histories := []UnitHistory{{Unit: "m", LastAgo: time.Second, Gaps: []float32{0, 2}, Bins: map[int16]float64{7: 1}}}
	testkit.OK(t, peer.Histories(t.Context(), address, histories))
	testkit.NoDiff(t, histories, handler.histories)
	testkit.NoDiff(t, handler.records, testkit.Value(peer.Records(t.Context(), address, 7, 0))(t))
	testkit.WantError(t, "an error of the peer", testkit.Err(peer.Records(t.Context(), address, 0, 0)), ErrRefused)
	claim := ClaimCall{Shard: 3, Shards: 4, Record: []byte("claim")}
	if result, err := peer.Claim(t.Context(), address, claim); err != nil || result.State != ClaimPending ||
		string(result.Answer) != "claim" || result.Applied != 3 {
		t.Errorf("claim: %+v, %v", result, err)
	}
	testkit.Equal(t, "settled", testkit.Value(peer.Settle(t.Context(), address, claim))(t), true)
	reply := testkit.Value(peer.Claimed(t.Context(), address, ClaimQuery{Customer: "c", Key: "k", Shard: 4}))(t)
	testkit.NoDiff(t, ClaimReply{Applied: 4, Held: true}, reply)
}

// A party without the fleet secret calls a VM or answers in place of one: with another
// secret, by reflecting the caller's proof, without answering, or as a relay between two TLS
// sessions. Neither side may accept a message from it.
func TestUnauthenticatedPeersAreRejected(t *testing.T) {
	config := selfSigned(t)
	otherSecret := []byte("another secret of enough length!!")
	cases := map[string]struct {
		secret   []byte
		config   *tls.Config
		attacker func(network *pipenet.Listener, ours net.Conn)
		// sendsProof is whether the attacker answers the server's challenge with a wrong proof.
		sendsProof bool
	}{
		"caller with another secret": {secret: otherSecret, sendsProof: true},
		"callee with another secret": {fleetSecret, nil, func(_ *pipenet.Listener, conn net.Conn) {
			_, _ = serverHandshake(conn, otherSecret)
		}, false},
		"callee reflects the proof": {fleetSecret, nil, func(_ *pipenet.Listener, conn net.Conn) { _, _ = io.Copy(conn, conn) }, false},
		"callee stays silent":       {fleetSecret, nil, func(_ *pipenet.Listener, conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }, false},
		"callee speaks HTTP": {fleetSecret, nil, func(_ *pipenet.Listener, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
		}, false},
		"relay between TLS sessions": {fleetSecret, config, func(network *pipenet.Listener, conn net.Conn) {
			onward, err := network.DialContext(context.Background(), "", "")
			if err != nil {
				return
			}
			relay(tls.Server(conn, config), tls.Client(onward, config))
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, handler := pipenet.Listen(), &recorder{}
				core, logged := observer.New(zap.WarnLevel)
				stop := startServer(t, network, handler, c.config, WithLogger(zap.New(core)))
				defer stop()
				client := newTestClient(t, network, c.secret, c.config)
				defer client.Close()
				if c.attacker != nil {
					client.dialTCP = func(context.Context, string, string) (net.Conn, error) {
						ours, theirs := net.Pipe()
						go func() {
							defer theirs.Close()
							c.attacker(network, theirs)
						}()
						return ours, nil
					}
				}
				testkit.WantError(t, name, testkit.Err(client.Exchange(t.Context(), "vm", []Digest{{VM: "a"}})), ErrUnreachable)
				testkit.Equal(t, "messages that arrived", len(handler.digests), 0)
				// A fleet with two secrets must be visible in the log, but not with a line
				// per call.
				_, _ = client.Exchange(t.Context(), "vm", nil)
				testkit.Equal(t, "unauthenticated peers logged", logged.Len(), map[bool]int{true: 1}[c.sendsProof])
			})
		})
	}
}

// relay copies in both directions until one side ends.
func relay(a, b net.Conn) {
	var both sync.WaitGroup
	copyTo := func(to, from net.Conn) {
		_, _ = io.Copy(to, from)
		a.Close()
		b.Close()
	}
	both.Go(func() { copyTo(a, b) })
	both.Go(func() { copyTo(b, a) })
	both.Wait()
}

// breakable is a connection whose writes fail once broken is set.
type breakable struct {
	net.Conn
	broken bool
}

func (b *breakable) Write(p []byte) (int, error) {
	if b.broken {
		return 0, net.ErrClosed
	}
	return b.Conn.Write(p)
}

// The connection breaks during a call, the peer closes it when idle, or the peer restarts. In
// each case the call must succeed over a fresh connection.
func TestCallsReconnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, handler := pipenet.Listen(), &recorder{}
		client := newTestClient(t, network, fleetSecret, nil)
		exchange := func(when string) {
			t.Helper()
			testkit.WantError(t, when, testkit.Err(client.Exchange(t.Context(), "vm", nil)), nil)
		}
		var current *breakable
		client.dialTCP = func(ctx context.Context, _, _ string) (net.Conn, error) {
			conn, err := network.DialContext(ctx, "", "")
			current = &breakable{Conn: conn}
			return current, err
		}
		stop := startServer(t, network, handler, nil)
		exchange("at first")
		current.broken = true
		exchange("over a broken connection")
		time.Sleep(2 * serverIdleTimeout)
		exchange("after the idle timeout")
		stop()
		restarted := pipenet.Listen()
		client.dialTCP = restarted.DialContext
		stop = startServer(t, restarted, handler, nil)
		exchange("after the restart")
		stop()
		testkit.WantError(t, "after the end", testkit.Err(client.Exchange(t.Context(), "vm", nil)), ErrUnreachable)
		synctest.Wait()
		testkit.Equal(t, "connections still held", len(client.conns), 0)
		client.Close()
	})
}

// The peer stops answering after a call has connected, without closing the connection. The
// call must end at its own deadline, and the next call must not use the same connection.
func TestTimedOutCallClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.Listen()
		stop := startServer(t, network, &recorder{}, nil)
		defer stop()
		client := newTestClient(t, network, fleetSecret, nil)
		defer client.Close()
		client.dialTCP = func(context.Context, string, string) (net.Conn, error) {
			client.dialTCP = network.DialContext
			ours, theirs := net.Pipe()
			go func() {
				_, _ = serverHandshake(theirs, fleetSecret)
				_, _ = io.Copy(io.Discard, theirs)
			}()
			return ours, nil
		}
		begin := time.Now()
		for _, want := range []error{context.DeadlineExceeded, nil} {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := client.Exchange(ctx, "vm", nil)
			if !errors.Is(err, want) || errors.Is(err, ErrUnreachable) != (want != nil) {
				t.Errorf("got %v, want %v", err, want)
			}
			testkit.Equal(t, "took", time.Since(begin), 300*time.Millisecond)
		}
	})
}

// dialRaw connects without a Client.
func dialRaw(t *testing.T, network *pipenet.Listener) net.Conn {
	conn := testkit.Value(network.DialContext(t.Context(), "", ""))(t)
	return conn
}

// wantClosed checks that the server closes the connection immediately without sending another
// byte.
func wantClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	begin := time.Now()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v", n, err)
	}
	testkit.Equal(t, "closed after", time.Since(begin), 0)
}

// A client that can't prove that it knows the secret must not receive the server's proof,
// against which it could test candidate secrets.
func TestServerWithholdsProofFromUnauthenticatedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.Listen()
		stop := startServer(t, network, &recorder{}, nil)
		defer stop()
		conn := dialRaw(t, network)
		testkit.Value(sendHello(conn, purposeCalls))(t)
		_, _, err := readHello(conn)
		testkit.OK(t, err)
		testkit.Value(conn.Write(make([]byte, 32)))(t)
		wantClosed(t, conn)
	})
}

// A peer announces a message of 4 GB, or sends a snapshot above the bound. The receiver must
// not allocate the announced size, and the sender must return an error.
func TestMessagesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.Listen()
		handler := &recorder{records: Records{Snapshot: [][]byte{make([]byte, MaxMessageBytes)}}}
		stop := startServer(t, network, handler, nil)
		defer stop()
		client := newTestClient(t, network, fleetSecret, nil)
		defer client.Close()
		testkit.WantError(t, "snapshot beyond the bound", testkit.Err(client.Records(t.Context(), "vm", 1, 0)), ErrRefused)
		conn := dialRaw(t, network)
		testkit.OK(t, clientHandshake(conn, fleetSecret, purposeCalls))
		testkit.Value(conn.Write([]byte{0xff, 0xff, 0xff, 0xff}))(t)
		wantClosed(t, conn)
	})
}

func TestRecordsAreTruncatedToOneMessage(t *testing.T) {
	half := Record{Data: make([]byte, maxRecordsBytes/2)}
	huge := Record{Data: make([]byte, maxRecordsBytes+1)}
	cases := map[string]struct {
		records []Record
		want    int
	}{
		"none": {nil, 0},
		"fit":  {[]Record{half, half}, 2},
		"cut":  {[]Record{half, half, half}, 2},
		"one":  {[]Record{huge, half}, 1},
	}
	for name, c := range cases {
		testkit.Equal(t, name+": records", len(truncateRecords(c.records)), c.want)
	}
}

// The interface page must name each message and the fields of its argument.
func TestPageNamesMessages(t *testing.T) {
	page := testkit.Value(os.ReadFile("../docs/interfaces/entryvm.md"))(t)
	messages := reflect.TypeFor[*service]()
	for i := range messages.NumMethod() {
		method := messages.Method(i)
		_, row, _ := strings.Cut(string(page), "| `"+serviceName+"."+method.Name+"` |")
		row, _, found := strings.Cut(row, "\n")
		if !found {
			t.Errorf("the page doesn't name %s", method.Name)
		}
		arguments := method.Type.In(1).Elem()
		for j := range arguments.NumField() {
			field := arguments.Field(j).Name
			if !strings.Contains(row, "`"+field+"`") && !strings.Contains(row, "the same") {
				t.Errorf("the page doesn't name %s of %s", field, method.Name)
			}
		}
	}
}

func TestShortSecretsAreRefused(t *testing.T) {
	if _, err := NewClient([]byte("short"), 0, nil); err == nil {
		t.Error("client took a short secret")
	}
	if err := Serve(t.Context(), pipenet.Listen(), []byte("short"), &recorder{}, nil); err == nil {
		t.Error("server took a short secret")
	}
}
