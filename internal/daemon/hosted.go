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
	"bergamotreel/admission/stopping"
	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/internal/boottime"
	"bergamotreel/internal/hosted"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
	"bergamotreel/lease"
	"bergamotreel/service"
)

const (
	// hostedBalancerDelay is how long a leaving VM still accepts connections: the hosting
	// platform's balancer probes once a second and removes the VM after two failed probes.
	hostedBalancerDelay = 2500 * time.Millisecond
	// minGrace is what a VM keeps of its shutdown grace if it was suspended as the stop was requested, because
	// nobody knows when within the suspension that was.
	minGrace = time.Second
	// joinTTL is how long a VM acts on an assignment without a new answer from the
	// registry, so that registry outages of up to 9 s interrupt no model. A VM that fails
	// for good and can't be asked delays the orders to its engines by the same time; a VM
	// that restarts doesn't.
	joinTTL = 9500 * time.Millisecond
	// maxOrderDelay is the maximum time from sending an order to its arrival.
	maxOrderDelay = time.Second
	// handoverGapMargin is added to the platform's minimum time between orders of two
	// different VMs, to allow for clock drift.
	handoverGapMargin = 200 * time.Millisecond
	// hostedReportInterval is the interval of the reports to each other VM.
	hostedReportInterval = 400 * time.Millisecond
	// heapParts / memoryParts is the share of the VM's memory that Go may use. The
	// remainder is for memory that Go doesn't count, such as kernel buffers.
	heapParts, memoryParts = 3, 4
	// heldDivisor makes what bodies of requests may take at most a quarter of the VM's memory. Until they are collected, bodies
	// of ended requests can take as much again.
	heldDivisor = 4
	// connectionBytes is the memory of a connection with a request beside the bodies of request and answer. All connections may
	// take the VM's memory divided by connectionsDivisor.
	connectionBytes    = 64 << 10
	connectionsDivisor = 2
	// readyPath is the path that the platform's balancer probes.
	readyPath = "/ready"
)

// HostedPeers holds the clients of a hosting platform and the dialect of its callers.
type HostedPeers struct {
	// Peers has all clients but EntryVMs and those of the backend servers.
	hosted.Peers
	// NewBackends returns the client of the backend servers. It connects through gateways with
	// the dialer.
	NewBackends func(service.GatewayDialer) Backends
	Dialect     caller.Dialect
}

// Backends is the client of the backend servers.
type Backends interface {
	service.Forwarder
	service.Connector
	service.StartReader
}

// Hosted is one entry VM on a hosting platform, with its listening ports.
type Hosted struct {
	settings *settings.Settings
	logger   *zap.Logger
	level    zap.AtomicLevel
	node     *hosted.Node
	peers    *entryvm.Client
	callers  *caller.Server
	relay    *caller.RelayHandler

	callersListener, peersListener, readyListener, metricsListener net.Listener
	readyServer, metricsServer                                     *caller.Server
}

// NewHosted opens all ports and creates the node. It reports a port that is already in
// use as a problem of the settings.
func NewHosted(s *settings.Settings, version string, clients HostedPeers, logger *zap.Logger, level zap.AtomicLevel) (*Hosted, error) {
	incarnation, random, err := newIncarnation()
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
	backends := clients.NewBackends(peers)
	clients.EntryVMs, clients.Backends, clients.Connector, clients.Starts = peers, backends, backends, backends
	h.node = hosted.New(hosted.Config{
		VM: s.VM.ID, Address: s.VM.PeersAdvertise, Domain: s.VM.Domain, Domains: len(s.Peers.Domains), Incarnation: incarnation,
		Capacity: s.Limits.Memory, Seeds: s.Peers.Seeds, FirstStart: s.VM.FirstStart, Shards: s.Platform.Shards,
		Peers: clients.Peers, Logger: h.logger, Rand: random,
		Admission: admission.Config{MaxQueued: s.Limits.Queue}, RetryShare: retryShare(s.Policy.RetryBudget), RetrySlack: s.Policy.RetrySlack, RetryWindow: s.Policy.RetryWindow,
		Lease:          lease.ShardConfig{JoinTTL: joinTTL, MinHandoverGap: s.Platform.MinHandoverGap + handoverGapMargin, MaxOrderDelay: maxOrderDelay},
		ReportInterval: hostedReportInterval, BootClock: boottime.Now,
		MaxApplyDelay: s.Platform.MaxApplyDelay, MaxDrainDelay: s.Platform.MaxDrainDelay,
		MaxConfigurationAge: s.Platform.MaxConfigurationAge, QuotaSlack: s.Policy.QuotaSlack,
		Load: hosted.LoadPolicies{
			EnginePace: s.Policy.EnginePace, FairWorkspaces: s.Policy.FairWorkspaces,
			BackendQueues: s.Policy.BackendQueues, FleetAdmission: s.Policy.FleetAdmission, SpreadReturns: s.Policy.SpreadReturns,
		},
	})
	limits := hostedLimits(s.Limits)
	h.relay = caller.NewRelayHandler(h.node, clients.Dialect, limits, h.logger)
	h.callers = caller.NewServer(h.relay, limits, nil)
	h.readyServer = caller.NewProbeServer(h.readyHandler())
	h.metricsServer = caller.NewProbeServer(telemetry.MetricsHandler())
	h.logger.Info("starting", zap.String("version", version), zap.String("incarnation", incarnation),
		zap.String("domain", s.VM.Domain), zap.Bool("first_start", s.VM.FirstStart), zap.Strings("seeds", s.Peers.Seeds))
	return h, nil
}

// hostedLimits returns the limits on callers with what the VM's memory allows.
func hostedLimits(l settings.Limits) caller.Limits {
	limits := callerLimits(l, nil)
	limits.HeldBytes = min(limits.HeldBytes, l.Memory/heldDivisor)
	limits.Connections = int(min(int64(limits.Connections), l.Memory/connectionsDivisor/connectionBytes))
	return limits
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

// readyHandler answers the readiness probes of the platform's balancer.
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

// Run serves until ctx ends and then shuts down gracefully. Each value received from
// reload makes it read the settings file again.
func (h *Hosted) Run(ctx context.Context, reload <-chan os.Signal) error {
	// A process that exceeds its VM's memory is killed and loses all its requests. More
	// frequent collections cost processor time, which is less scarce on a VM.
	debug.SetMemoryLimit(h.settings.Limits.Memory / memoryParts * heapParts)
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group := newServers()
	group.Go(func() { h.node.Run(workCtx) })
	group.Go(func() { h.reloadOn(workCtx, reload) })
	group.serve(func() error { return h.callers.Serve(h.callersListener) })
	group.serve(func() error {
		return entryvm.ServeCoordination(workCtx, h.peersListener, []byte(h.settings.Peers.Secret), h.node, nil,
			entryvm.WithLogger(h.logger), entryvm.WithTunnels(h.node))
	})
	group.serve(func() error { return h.readyServer.Serve(h.readyListener) })
	if h.metricsListener != nil {
		group.serve(func() error { return h.metricsServer.Serve(h.metricsListener) })
	}
	h.logger.Info("serving", zap.String("callers", h.settings.VM.CallersAddress))
	age, err := awaitStop(ctx, group.failed)
	h.shutdown(age)
	stopWork()
	_ = h.readyServer.Close()
	_ = h.metricsServer.Close()
	group.Wait()
	_ = h.peers.Close()
	return Error.Wrap(err)
}

// awaitStop waits until ctx ends or a server fails. It returns how long ago the stop may have been requested.
func awaitStop(ctx context.Context, failed <-chan error) (age time.Duration, err error) {
	watch := stopping.NewWatch(boottime.Now())
	ticker := time.NewTicker(stopping.WatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			watch.Tick(boottime.Now())
		case <-ctx.Done():
			return watch.RequestAge(boottime.Now()), nil
		case err := <-failed:
			return 0, err
		}
	}
}

// shutdown stops gracefully: it first leaves the balancer's rotation, then refuses new
// connections, then waits for the open requests. The platform ends the process a fixed time after it
// requested the stop, which was the given time ago.
func (h *Hosted) shutdown(age time.Duration) {
	grace := h.settings.Policy.ShutdownGrace
	start := time.Now().Add(-min(age, max(grace-minGrace, 0)))
	h.logger.Info("shutting down", zap.Int("open", h.node.OpenRequests()), zap.Duration("requested_before", age))
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace))
	defer cancel()
	h.callers.Drain()
	h.node.BeginShutdown(ctx, stopping.Schedule{TakesUntil: start.Add(hostedBalancerDelay), EndsAt: start.Add(grace)})
	pause.For(ctx, hostedBalancerDelay-time.Since(start))
	h.node.RefuseWaiting()
	shutDownCallers(ctx, h.callers, h.relay.EndRequests, h.node.OpenRequests, h.logger)
	h.node.WaitForTunnels(ctx)
	h.logger.Info("stopped", zap.Duration("took", time.Since(start)))
}

// reloadOn reads the settings file again at each signal. It applies the settings that can
// change without a restart, and logs whether others changed.
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
		h.logger.Error("settings not reloaded, keeping the previous ones", telemetry.Reason(err))
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
