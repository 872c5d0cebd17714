package entryvm

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/testkit"
)

// backendDialerFunc implements BackendDialer.
type backendDialerFunc func(ctx context.Context, address string) (net.Conn, error)

func (f backendDialerFunc) DialBackend(ctx context.Context, address string) (net.Conn, error) {
	return f(ctx, address)
}

// withTunnel runs a test with both ends of a tunnel to a backend server: the client's and the
// backend server's.
func withTunnel(t *testing.T, run func(client, backend net.Conn, stopGateway func())) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.Listen()
		near, far := net.Pipe()
		dialer := backendDialerFunc(func(_ context.Context, address string) (net.Conn, error) {
			testkit.Equal(t, "address", address, "backend:1")
			return near, nil
		})
		stop := sync.OnceFunc(startServer(t, network, &recorder{}, nil, WithTunnels(dialer)))
		client := newTunnelClient(t, network, fleetSecret)
		conn := testkit.Value(client.DialBackend(t.Context(), "gateway", "backend:1"))(t)
		run(conn, far, stop)
		conn.Close()
		far.Close()
		stop()
	})
}

func newTunnelClient(t *testing.T, network *pipenet.Listener, secret []byte) *Client {
	client := newTestClient(t, network, secret, nil)
	client.dialTunnel = network.DialContext
	return client
}

// Bytes arrive unchanged in both directions, and the end of the backend server's connection
// arrives after its last byte.
func TestTunnelForwardsBytes(t *testing.T) {
	withTunnel(t, func(client, backend net.Conn, _ func()) {
		request, answer := make([]byte, 3*tunnelBufferBytes+5), make([]byte, 5*tunnelBufferBytes+7)
		for i := range answer {
			answer[i] = byte(i * 7)
		}
		copy(request, answer[9:])
		go func() { _, _ = client.Write(request) }()
		received := make([]byte, len(request))
		testkit.Value(io.ReadFull(backend, received))(t)
		testkit.Equal(t, "request", string(received), string(request))
		go func() {
			_, _ = backend.Write(answer)
			backend.Close()
		}()
		testkit.Equal(t, "answer", string(testkit.Value(io.ReadAll(client))(t)), string(answer))
	})
}

// Guards against a truncated answer that looks complete: an answer without a length ends with
// its connection, and the end of the gateway's process closes that connection too.
func TestEndOfGatewayIsNotEndOfAnswer(t *testing.T) {
	withTunnel(t, func(client, backend net.Conn, stopGateway func()) {
		go func() { _, _ = backend.Write([]byte("half an ans")) }()
		half := make([]byte, len("half an ans"))
		testkit.Value(io.ReadFull(client, half))(t)
		go stopGateway()
		_, err := client.Read(half)
		testkit.That(t, err != nil && !errors.Is(err, io.EOF), "the answer ended with %v", err)
		backend.Close()
	})
}

// failingConn is a connection whose reads fail once reset is closed.
type failingConn struct {
	net.Conn
	reset chan struct{}
}

func (c failingConn) Read([]byte) (int, error) {
	<-c.reset
	return 0, errors.New("connection reset by peer")
}

// Guards against a truncated answer that looks complete because the gateway closes the tunnel
// properly after the backend server has reset its connection.
func TestResetOfBackendIsNotEndOfAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.Listen()
		near, far := net.Pipe()
		defer far.Close()
		reset := make(chan struct{})
		dialer := backendDialerFunc(func(context.Context, string) (net.Conn, error) { return failingConn{near, reset}, nil })
		stop := startServer(t, network, &recorder{}, nil, WithTunnels(dialer))
		conn := testkit.Value(newTunnelClient(t, network, fleetSecret).DialBackend(t.Context(), "gateway", "backend:1"))(t)
		close(reset)
		_, err := conn.Read(make([]byte, 1))
		testkit.That(t, err != nil && !errors.Is(err, io.EOF), "the answer ended with %v", err)
		conn.Close()
		stop()
	})
}

// Guards against a backend server that works on for a caller that has left.
func TestClosedTunnelClosesBackendConnection(t *testing.T) {
	withTunnel(t, func(client, backend net.Conn, _ func()) {
		client.Close()
		_, err := backend.Read(make([]byte, 1))
		testkit.That(t, errors.Is(err, io.EOF), "read: %v", err)
	})
}

// Guards against a request that reaches a backend server although the VM that sent it had closed the
// tunnel before the gateway read it.
func TestRequestOfClosedTunnelIsDropped(t *testing.T) {
	listener := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(t)
	defer listener.Close()
	client := testkit.Value(net.Dial("tcp", listener.Addr().String()))(t)
	conn := testkit.Value(listener.Accept())(t)
	testkit.Value(client.Write([]byte("request")))(t)
	client.Close()
	near, far := net.Pipe()
	opened := &tunnel{client: conn, raw: conn, fromClient: bufio.NewReader(conn), backend: near}
	go opened.forward()
	received, err := io.ReadAll(far)
	testkit.That(t, len(received) == 0 && err == nil, "the backend server received %q, %v", received, err)
}

// Guards against an answer that is lost because the backend server closes its connection
// without having read the whole request, and against its end that looks like that of a whole one.
func TestAnswerBeforeEndOfRequest(t *testing.T) {
	withTunnel(t, func(client, backend net.Conn, _ func()) {
		go func() { _, _ = client.Write(make([]byte, 3*tunnelBufferBytes)) }()
		synctest.Wait() // the write is under way
		go func() {
			_, _ = backend.Write([]byte("too large"))
			backend.Close()
		}()
		answer, err := io.ReadAll(client)
		testkit.Equal(t, "answer", string(answer), "too large")
		testkit.WantError(t, "end", err, io.ErrUnexpectedEOF)
	})
}

// The end of an answer to a request that was sent as a whole is that of a whole one.
func TestAnswerAfterEndOfRequest(t *testing.T) {
	withTunnel(t, func(client, backend net.Conn, _ func()) {
		request := make([]byte, 3*tunnelBufferBytes)
		go func() { _, _ = client.Write(request) }()
		_, err := io.ReadFull(backend, request)
		testkit.NoError(t, err)
		go func() {
			_, _ = backend.Write([]byte("whole"))
			backend.Close()
		}()
		testkit.Equal(t, "answer", string(testkit.Value(io.ReadAll(client))(t)), "whole")
	})
}

// A client must be able to tell a backend server that the gateway can't reach from a gateway
// that doesn't help.
func TestFailuresToOpenTunnel(t *testing.T) {
	for name, c := range map[string]struct {
		dial   error
		secret []byte
		want   error
	}{
		"backend unreachable": {wrapError(ErrBackendUnreachable, errors.New("timeout")), fleetSecret, ErrBackendUnreachable},
		"too many tunnels":    {wrapError(ErrTunnelRefused, errors.New("256 are open")), fleetSecret, ErrTunnelRefused},
		"wrong secret":        {nil, []byte("fedcba9876543210fedcba9876543210"), ErrUnreachable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := pipenet.Listen()
				dialer := backendDialerFunc(func(context.Context, string) (net.Conn, error) { return nil, c.dial })
				stop := startServer(t, network, &recorder{}, nil, WithTunnels(dialer))
				_, err := newTunnelClient(t, network, c.secret).DialBackend(t.Context(), "gateway", "backend:1")
				testkit.WantError(t, "opened", err, c.want)
				stop()
			})
		})
	}
}

// Guards against a request that waits for a silent gateway.
func TestSilentGatewayTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipenet.Listen()
		dialer := backendDialerFunc(func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		stop := startServer(t, network, &recorder{}, nil, WithTunnels(dialer))
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := newTunnelClient(t, network, fleetSecret).DialBackend(ctx, "gateway", "backend:1")
		testkit.WantError(t, "opened", err, ErrUnreachable)
		stop()
	})
}
