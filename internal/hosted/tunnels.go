package hosted

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/service"
)

const (
	// maxTunnels bounds the tunnels that this VM has open for others. Each takes two
	// connections and some 20 KB.
	maxTunnels = 256
	// tunnelPollInterval is the interval at which a stopping VM checks whether all its tunnels
	// are closed.
	tunnelPollInterval = 20 * time.Millisecond
)

// DialBackend implements entryvm.BackendDialer. It connects directly only, so that a request
// passes one gateway at most.
func (n *Node) DialBackend(ctx context.Context, address string) (net.Conn, error) {
	if err := n.beginTunnel(address); err != nil {
		return nil, err
	}
	conn, err := n.config.Peers.Connector.Connect(ctx, service.Target{Address: address})
	if err != nil {
		n.tunnels.Add(-1)
		if errors.Is(err, service.ErrConnectionRefused) {
			err = fmt.Errorf("%w: %w", entryvm.ErrBackendRefused, err)
		}
		return nil, fmt.Errorf("%w: %w", entryvm.ErrBackendUnreachable, err)
	}
	return &tunneledConn{Conn: conn, end: sync.OnceFunc(func() { n.tunnels.Add(-1) })}, nil
}

// beginTunnel counts a tunnel to the backend server at an address, or returns why this VM
// opens none.
func (n *Node) beginTunnel(address string) error {
	b, listed := n.backends.findByAddress(address)
	switch {
	case n.stopping.Load():
		return fmt.Errorf("%w: %w", entryvm.ErrTunnelRefused, errStopping)
	case !listed:
		return fmt.Errorf("%w: no backend server is listed at %s", entryvm.ErrTunnelRefused, address)
	case b.probeBackoff > 0 && b.refused:
		return fmt.Errorf("%w: %w: %s", entryvm.ErrBackendUnreachable, entryvm.ErrBackendRefused, b.ID)
	case b.probeBackoff > 0:
		return fmt.Errorf("%w: %s accepts no connection of this entry VM either", entryvm.ErrBackendUnreachable, b.ID)
	}
	if n.tunnels.Add(1) > maxTunnels {
		n.tunnels.Add(-1)
		return fmt.Errorf("%w: %d tunnels are open", entryvm.ErrTunnelRefused, maxTunnels)
	}
	return nil
}

// WaitForTunnels waits until the tunnels of other VMs are closed or ctx ends. They carry
// requests whose callers are served by those VMs.
func (n *Node) WaitForTunnels(ctx context.Context) {
	if open := n.tunnels.Load(); open > 0 {
		n.config.Logger.Info("waiting for tunnels of other entry VMs", zap.Int32("open", open))
	}
	for n.tunnels.Load() > 0 && pause.For(ctx, tunnelPollInterval) {
	}
}

// tunneledConn is the connection to a backend server at the end of a tunnel.
type tunneledConn struct {
	net.Conn
	end func()
}

// Close implements net.Conn.
func (c *tunneledConn) Close() error {
	c.end()
	return c.Conn.Close()
}
