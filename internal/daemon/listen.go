package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"

	"bergamotreel/caller"
	"bergamotreel/internal/settings"
)

// port is a listening port of the daemon: the section and key of its address in the
// settings, the address, and where to store the listener.
type port struct {
	section, key, address string
	listener              *net.Listener
}

// openPorts opens all ports that have an address, so that a port that is already in use
// is reported before anything runs.
func openPorts(s *settings.Settings, ports ...port) error {
	for _, port := range ports {
		if port.address == "" {
			continue // another port serves the same paths, or the port is disabled
		}
		listener, err := caller.Listen(context.Background(), port.address)
		if err != nil {
			return s.NewProblem(port.section, port.key, "cannot listen on %s: %v", port.address, reasonOf(err))
		}
		*port.listener = listener
	}
	return nil
}

func (d *Daemon) listen() error {
	s := d.settings
	if err := openPorts(s,
		port{"vm", "callers_address", s.VM.CallersAddress, &d.callersListener},
		port{"vm", "peers_address", s.VM.PeersAddress, &d.peersListener},
		port{"vm", "operators_address", s.VM.OperatorsAddress, &d.operatorsListener},
		port{"metrics", "address", s.Metrics.Address, &d.metricsListener},
	); err != nil {
		return err
	}
	secure, err := certificate(s.TLS.OperatorsCert, s.TLS.OperatorsKey)
	if err != nil {
		return s.NewProblem("tls", "operators_cert", "%v", err)
	}
	d.operatorsTLS = secure
	return nil
}

// reasonOf returns the system's error without the address and the operation, which the
// problem already names.
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
