package entryvm

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/pipenet"
	"bergamotreel/internal/testkit"
)

// knowledgeServer is a Coordinator with a large answer to Knowledge.
type knowledgeServer struct {
	Coordinator
	bytes int
}

func (k knowledgeServer) Knowledge(KnowledgeArgs) KnowledgeReply {
	return KnowledgeReply{Configuration: make([]byte, k.bytes)}
}

// slowConn passes on bytesPerSecond, and nothing after the first silentAfter bytes.
type slowConn struct {
	net.Conn
	bytesPerSecond, silentAfter, read int
}

func (c *slowConn) Read(p []byte) (int, error) {
	const piece = 4 << 10
	n, err := c.Conn.Read(p[:min(len(p), piece)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	if c.read += n; c.read <= c.silentAfter {
		return n, err
	}
	for err == nil {
		_, err = c.Conn.Read(p)
	}
	return 0, err
}

// An answer that still arrives over a slow link must not be abandoned, and a call must not
// wait for an answer of which no more bytes arrive.
func TestKnowledgeOverSlowLink(t *testing.T) {
	const size, perSecond = 1_000_000, 200_000
	for _, link := range []struct {
		name        string
		silentAfter int
		want        error
		within      time.Duration
	}{
		{"slow", 2 * size, nil, 6 * time.Second},
		{"falls silent", size / 4, ErrUnreachable, 4 * time.Second},
	} {
		t.Run(link.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := pipenet.Listen()
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- ServeCoordination(ctx, listener, fleetSecret, knowledgeServer{bytes: size}, nil) }()
				client := testkit.Value(NewClient(fleetSecret, 0, nil))(t)
				client.dialTCP = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := listener.DialContext(ctx, network, address)
					return &slowConn{Conn: conn, bytesPerSecond: perSecond, silentAfter: link.silentAfter}, err
				}
				begun := time.Now()
				reply, err := client.Knowledge(t.Context(), "a", KnowledgeArgs{})
				testkit.WantError(t, "the call", err, link.want)
				testkit.That(t, err != nil || len(reply.Configuration) == size, "%d bytes came", len(reply.Configuration))
				testkit.That(t, time.Since(begun) < link.within, "it took %s", time.Since(begun))
				client.Close()
				cancel()
				testkit.OK(t, <-ended)
			})
		})
	}
}
