package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"bergamotreel/caller"
	"bergamotreel/internal/settings"
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
			return &settings.Problem{File: s.File, Section: port.section, Key: port.key, Reason: err.Error()}
		}
		*port.listener = listener
	}
	secure, err := certificate(s.TLS.OperatorsCert, s.TLS.OperatorsKey)
	if err != nil {
		return &settings.Problem{File: s.File, Section: "tls", Key: "operators_cert", Reason: err.Error()}
	}
	if secure != nil {
		d.operatorsListener = tls.NewListener(d.operatorsListener, secure)
	}
	return nil
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
