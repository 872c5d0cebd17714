// Package daemon runs an entry VM from its settings: it opens the ports, connects the
// node with the clients of its peers, and shuts everything down in order.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"encoding/hex"
	mathrand "math/rand"
	"net"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/caller"
	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/httpjson"
	"bergamotreel/internal/node"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/sendonce"
	"bergamotreel/internal/settings"
	"bergamotreel/internal/telemetry"
	"bergamotreel/operator"
	"bergamotreel/platformlog"
	"bergamotreel/service"
	"bergamotreel/vmlist"
	"bergamotreel/weightstore"
)

// Error is the class of all errors of this package.
var Error = errs.Class("daemon")

const (
	// balancerDelay is how long a leaving entry VM still accepts connections, so that the
	// balancer sees /readyz fail before a caller sees a closed port.
	balancerDelay = 2 * time.Second
	// stopTimeout bounds the last phase of a shutdown, in which the node writes to the log
	// and the operators' and metrics servers stop.
	stopTimeout = 10 * time.Second
	// dialTimeout bounds connecting to another entry VM.
	dialTimeout = time.Second
	// operatorReadTimeout bounds reading a request on the operators' port, operatorConnections the connections there.
	operatorReadTimeout = 10 * time.Second
	operatorConnections = 64
	// maxDedicatedStreams bounds the streams with a connection of their own, which shortens
	// the time to their first token. Each costs a third more processor time per token and
	// a file descriptor.
	maxDedicatedStreams = 32
	// incarnationBytes is the number of random bytes that identify a start of the process.
	incarnationBytes = 12
)

// Daemon is one entry VM with its listening ports.
type Daemon struct {
	settings *settings.Settings
	logger   *zap.Logger
	node     *node.Node
	peers    *entryvm.Client
	engines  *engine.HTTPClient
	callers  *caller.Server
	stopped  chan struct{}

	callersListener, peersListener     net.Listener
	operatorsListener, metricsListener net.Listener
	operatorsServer, metricsServer     *caller.Server
	// operatorsTLS is nil for plain HTTP.
	operatorsTLS *tls.Config
}

// New opens all ports and creates the node. It reports a port that is already in use as
// a problem of the settings.
func New(s *settings.Settings, version string, logger *zap.Logger) (*Daemon, error) {
	incarnation, random, err := newIncarnation()
	if err != nil {
		return nil, err
	}
	peers, err := entryvm.NewClient([]byte(s.Peers.Secret), dialTimeout, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d := &Daemon{settings: s, logger: logger.With(zap.String("vm", s.VM.ID)), peers: peers, stopped: make(chan struct{})}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.node = node.New(nodeConfig(s, incarnation, version, random, d.clients(), d.logger))
	if err := d.serveCallers(); err != nil {
		d.closeListeners()
		return nil, err
	}
	operators := operator.NewHandler(d.node.Operators(), s.Operators.TokenSHA256...)
	telemetry := telemetryHandler(d.node)
	if s.Metrics.Address == "" {
		operators = withTelemetry(telemetry, operators)
	}
	d.operatorsServer = caller.NewServer(operators, operatorLimits(), d.operatorsTLS)
	d.metricsServer = caller.NewProbeServer(telemetry)
	return d, nil
}

// newIncarnation returns a random ID of this start of the process and a seeded generator.
func newIncarnation() (string, *mathrand.Rand, error) {
	var seed [8]byte
	var name [incarnationBytes]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return "", nil, Error.Wrap(err)
	}
	if _, err := rand.Read(name[:]); err != nil {
		return "", nil, Error.Wrap(err)
	}
	source := mathrand.NewSource(int64(binary.LittleEndian.Uint64(seed[:])))
	return hex.EncodeToString(name[:]), mathrand.New(source), nil
}

func (d *Daemon) clients() node.Peers {
	// Calls that must not be repeated use a client that never repeats one and that knows
	// whether any byte of a call was sent.
	once := sendonce.NewClient()
	d.engines = engine.NewClient(once).WithMultiplexed(sendonce.NewMultiplexedClient(), maxDedicatedStreams)
	http := httpjson.DefaultClient()
	p := d.settings.Platform
	return node.Peers{
		Log:         platformlog.NewClient(p.LogURL, http).WithName(d.settings.VM.ID),
		VMList:      vmlist.NewClient(p.VMListURL, http),
		WeightStore: weightstore.NewClient(p.WeightStoreURL, http),
		Engines:     d.engines,
		Services:    service.NewClient(once),
		EntryVMs:    d.peers,
	}
}

func operatorLimits() caller.Limits {
	return caller.Limits{ReadTimeout: operatorReadTimeout, Connections: operatorConnections}
}

func (d *Daemon) serveCallers() error {
	s := d.settings
	limits := callerLimits(s.Limits, d.engines.SharedStreams)
	certificate, err := certificate(s.TLS.CallersCert, s.TLS.CallersKey)
	if err != nil {
		return s.NewProblem("tls", "callers_cert", "%v", err)
	}
	handler := caller.New(d.node, limits, caller.WithLogger(d.logger))
	d.callers = caller.NewServer(handler, limits, certificate)
	return nil
}

// certificate loads a TLS configuration. It returns nil if cert is empty.
func certificate(cert, key string) (*tls.Config, error) {
	if cert == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// Run serves until ctx ends and then shuts down gracefully: within the shutdown grace of
// the settings it cuts off no accepted request.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.stopped)
	heapFloorOnce.Do(keepHeapFloor)
	stopTracing, err := telemetry.SetupTracing(ctx, telemetry.TraceSettings{
		Endpoint: d.settings.Traces.OTLPEndpoint, Service: "bergamotreel", SampleRatio: d.settings.Traces.Sample,
		VM: d.settings.VM.ID, Domain: d.settings.VM.Domain,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	// workCtx outlives ctx: a shutdown needs the node and the peers' port until the last
	// request ended.
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group := newServers()
	group.Go(func() { d.node.Run(workCtx) })
	group.serve(func() error { return d.callers.Serve(d.callersListener) })
	group.serve(func() error {
		return entryvm.Serve(workCtx, d.peersListener, []byte(d.settings.Peers.Secret), d.node, nil, entryvm.WithLogger(d.logger))
	})
	group.serve(func() error { return d.operatorsServer.Serve(d.operatorsListener) })
	if d.metricsListener != nil {
		group.serve(func() error { return d.metricsServer.Serve(d.metricsListener) })
	}
	d.logger.Info("serving", zap.String("callers", d.settings.VM.CallersAddress))
	select {
	case <-ctx.Done():
		err = nil
	case <-d.node.Superseded():
		err = d.settings.NewProblem("vm", "id", "another process runs with this id")
	case err = <-group.failed:
	}
	d.shutdown()
	stopWork()
	group.Wait()
	_ = d.peers.Close()
	_ = stopTracing(context.WithoutCancel(ctx))
	return Error.Wrap(err)
}

// Stopped is closed once Run has returned.
func (d *Daemon) Stopped() <-chan struct{} { return d.stopped }

// shutdown stops gracefully: it first leaves the balancer's rotation, then refuses new
// connections, then waits for the open requests, then releases the engines.
func (d *Daemon) shutdown() {
	d.logger.Info("shutting down", zap.Int("open", d.node.OpenRequests()))
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Policy.ShutdownGrace)
	defer cancel()
	d.node.Leave()
	d.callers.Drain()
	pause.For(ctx, balancerDelay)
	shutDownCallers(ctx, d.callers, func() {}, d.node.OpenRequests, d.logger)
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	d.node.Stop(stop)
	_ = d.operatorsServer.Shutdown(stop)
	_ = d.metricsServer.Shutdown(stop)
	d.logger.Info("stopped")
}
