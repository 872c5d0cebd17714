package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/internal/boottime"
	"bergamotreel/internal/hosted"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
	"bergamotreel/lease"
)

const (
	// hostedRotation is how long a leaving VM goes on taking connections: a hosting
	// platform's balancer asks once a second and stops after two misses.
	hostedRotation = 2500 * time.Millisecond
	// leaseHold is how long an assignment is acted on without a new answer of the
	// registry: its outages of up to 9 s pass without a model being missed. A VM that
	// is gone for good and can't be asked delays the orders to its engines by as much;
	// one that restarts does not.
	leaseHold = 9500 * time.Millisecond
	// orderInFlight is the longest time from the sending of an order to its arrival.
	orderInFlight = time.Second
	// quietMargin is added to the platform's least time between two VMs' orders, for
	// clocks that run apart.
	quietMargin = 200 * time.Millisecond
	// hostedReport is the time between two reports to another VM.
	hostedReport = 400 * time.Millisecond
	// memoryUsed of memoryParts of the VM's memory are for Go's heap; the rest is for
	// what it does not count, such as the kernel's buffers.
	memoryUsed, memoryParts = 3, 4
	// readyPath is where the platform's balancer asks.
	readyPath = "/ready"
)

// HostedPeers are the clients of a hosting platform, and the dialect of its callers.
type HostedPeers struct {
	hosted.Peers
	Dialect caller.Dialect
}

// Hosted is one entry VM on a hosting platform, with its ports.
type Hosted struct {
	settings *settings.Settings
	logger   *zap.Logger
	level    zap.AtomicLevel
	node     *hosted.Node
	peers    *entryvm.Client
	callers  *caller.Server

	callersListener, peersListener, readyListener, metricsListener net.Listener
	readyServer, metricsServer                                     *http.Server
}

// NewHosted opens all ports and makes the node. A port that is taken is a problem of
// the settings.
func NewHosted(s *settings.Settings, version string, clients HostedPeers, logger *zap.Logger, level zap.AtomicLevel) (*Hosted, error) {
	incarnation, random, err := draw()
	if err != nil {
		return nil, err
	}
	peers, err := entryvm.NewClient([]byte(s.Peers.Secret), dialTimeout, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	h := &Hosted{settings: s, logger: logger.With(zap.String("vm", s.VM.ID)), level: level, peers: peers}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	clients.EntryVMs = peers
	h.node = hosted.New(hosted.Config{
		VM: s.VM.ID, Address: s.VM.PeersAdvertise, Domain: s.VM.Domain, Domains: len(s.Peers.Domains), Incarnation: incarnation,
		Capacity: s.Limits.Memory, Seeds: s.Peers.Seeds, FirstStart: s.VM.FirstStart, Shards: s.Platform.Shards,
		Peers: clients.Peers, Logger: h.logger, Rand: random,
		Admission: admission.Config{MaxQueued: s.Limits.Queue}, RetryShare: retryShare(s.Policy.RetryBudget),
		Lease:          lease.ShardConfig{JoinTTL: leaseHold, MinHandoverGap: s.Platform.OrderQuiet + quietMargin, MaxOrderDelay: orderInFlight},
		ReportInterval: hostedReport, BootClock: boottime.Now,
		MaxApplyDelay: s.Platform.ApplyWithin, MaxDrainDelay: s.Platform.DrainWithin,
		MaxConfigurationAge: s.Platform.RefuseUnsureAfter, QuotaSlack: s.Policy.QuotaSlack,
	})
	limits := callerLimits(s.Limits, nil)
	h.callers = caller.NewServer(caller.NewRelay(h.node, clients.Dialect, limits, h.logger), limits, nil)
	h.readyServer = &http.Server{Handler: h.readyHandler(), ReadHeaderTimeout: headerTimeout}
	h.metricsServer = &http.Server{Handler: telemetry.MetricsHandler(), ReadHeaderTimeout: headerTimeout}
	h.logger.Info("starting", zap.String("version", version), zap.String("incarnation", incarnation),
		zap.String("domain", s.VM.Domain), zap.Bool("first_start", s.VM.FirstStart), zap.Strings("seeds", s.Peers.Seeds))
	return h, nil
}

func (h *Hosted) listen() error {
	s := h.settings
	return openPorts(s,
		port{"vm", "callers_address", s.VM.CallersAddress, &h.callersListener},
		port{"vm", "peers_address", s.VM.PeersAddress, &h.peersListener},
		port{"vm", "ready_address", s.VM.ReadyAddress, &h.readyListener},
		port{"metrics", "address", s.Metrics.Address, &h.metricsListener},
	)
}

func (h *Hosted) closeListeners() {
	for _, l := range []net.Listener{h.callersListener, h.peersListener, h.readyListener, h.metricsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// readyHandler answers the platform's balancer.
func (h *Hosted) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if err := h.node.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// Run serves until ctx ends and then shuts down gracefully. Each value on reload has
// the settings file read again.
func (h *Hosted) Run(ctx context.Context, reload <-chan os.Signal) error {
	// A process over its VM's memory is killed, with all its requests. Collecting more
	// often costs processor time, which the VM has more of.
	debug.SetMemoryLimit(h.settings.Limits.Memory / memoryParts * memoryUsed)
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	group := newServers()
	group.Go(func() { h.node.Run(duties) })
	group.Go(func() { h.reloadOn(duties, reload) })
	group.serve(func() error { return h.callers.Serve(h.callersListener) })
	group.serve(func() error {
		return entryvm.ServeCoordination(duties, h.peersListener, []byte(h.settings.Peers.Secret), h.node, nil, entryvm.WithLogger(h.logger))
	})
	group.serve(func() error { return serveHTTP(h.readyServer, h.readyListener) })
	if h.metricsListener != nil {
		group.serve(func() error { return serveHTTP(h.metricsServer, h.metricsListener) })
	}
	h.logger.Info("serving", zap.String("callers", h.settings.VM.CallersAddress))
	var err error
	select {
	case <-ctx.Done():
	case err = <-group.failed:
	}
	h.shutdown()
	endDuties()
	_ = h.readyServer.Close()
	_ = h.metricsServer.Close()
	group.Wait()
	_ = h.peers.Close()
	return Error.Wrap(err)
}

// shutdown is the graceful way down: out of the rotation, then no new connections,
// then the last requests.
func (h *Hosted) shutdown() {
	begun := time.Now()
	h.logger.Info("shutting down", zap.Int("open", h.node.OpenRequests()))
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.Policy.ShutdownGrace)
	defer cancel()
	h.callers.Drain()
	h.node.BeginShutdown(ctx)
	pause.For(ctx, hostedRotation-time.Since(begun))
	h.node.RefuseWaiting()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.logger.Warn("requests cut off after the grace", zap.Int("open", h.node.OpenRequests()), telemetry.Reason(err))
		_ = h.callers.Close()
	}
	h.logger.Info("stopped", zap.Duration("took", time.Since(begun)))
}

// reloadOn reads the settings file again at each signal. What can change without a
// restart is taken over; the rest is told.
func (h *Hosted) reloadOn(ctx context.Context, reload <-chan os.Signal) {
	for {
		select {
		case <-reload:
			h.reload()
		case <-ctx.Done():
			return
		}
	}
}

func (h *Hosted) reload() {
	next, err := settings.Load(h.settings.File)
	if err != nil {
		h.logger.Error("settings not reloaded, the former ones stay", telemetry.Reason(err))
		return
	}
	if err := h.level.UnmarshalText([]byte(next.Log.Level)); err != nil {
		h.logger.Error("log level not changed", telemetry.Reason(err))
	}
	h.node.AddPeers(next.Peers.Seeds)
	restart := next.VM != h.settings.VM || next.Platform != h.settings.Platform || next.Limits != h.settings.Limits ||
		next.Policy != h.settings.Policy
	h.logger.Info("settings reloaded", zap.String("level", next.Log.Level), zap.Strings("seeds", next.Peers.Seeds),
		zap.Bool("seeds_changed", !slices.Equal(next.Peers.Seeds, h.settings.Peers.Seeds)),
		zap.Bool("restart_needed", restart))
}
