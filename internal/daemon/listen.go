package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"

	"bergamotreel/caller"
)

// listen opens the ports, so that one that is taken shows before anything runs.
func (d *Daemon) listen() error {
	s := d.settings
	ports := []struct {
		section, key, address string
		listener              *net.Listener
	}{
		{"vm", "callers_address", s.VM.CallersAddress, &d.callersListener},
		{"vm", "peers_address", s.VM.PeersAddress, &d.peersListener},
		{"vm", "operators_address", s.VM.OperatorsAddress, &d.operatorsListener},
		{"metrics", "address", s.Metrics.Address, &d.metricsListener},
	}
	for _, port := range ports {
		if port.address == "" {
			continue // the operators' port serves the metrics too
		}
		listener, err := caller.Listen(context.Background(), port.address)
		if err != nil {
			return s.Problem(port.section, port.key, "cannot listen on %s: %v", port.address, reasonOf(err))
		}
		*port.listener = listener
	}
	secure, err := certificate(s.TLS.OperatorsCert, s.TLS.OperatorsKey)
	if err != nil {
		return s.Problem("tls", "operators_cert", "%v", err)
	}
	if secure != nil {
		d.operatorsListener = tls.NewListener(d.operatorsListener, secure)
	}
	return nil
}

// reasonOf drops the address and the layers that the problem names already.
func reasonOf(err error) error {
	var system syscall.Errno
	if errors.As(err, &system) {
		return system
	}
	return err
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callersListener, d.peersListener, d.operatorsListener, d.metricsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
