// Package hosted implements an entry VM on a platform that stores the configuration,
// the list of backend servers and the leases (package registry). Package node is the
// counterpart for a platform that offers only a log, from which it derives that state
// itself. Both use the same decision packages: admission, routing, placement, lease.
package hosted

import (
	"context"
	"errors"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/fairshare"
	"bergamotreel/admission/stopping"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/crash"
	"bergamotreel/internal/feed"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/startchecks"
	"bergamotreel/internal/streamversions"
	"bergamotreel/internal/telemetry"
	"bergamotreel/lease"
	"bergamotreel/refusal"
	"bergamotreel/registry"
	"bergamotreel/routing"
	"bergamotreel/routing/pace"
	"bergamotreel/service"
)

// Error is the error class of this package.
var Error = errs.Class("hosted")

// Peers holds the clients of the external systems that an entry VM uses.
type Peers struct {
	Registry registry.Registry
	Engines  engine.Manager
	Backends service.Forwarder
	// Connector connects to backend servers for other entry VMs.
	Connector service.Connector
	// Starts may be nil: then Engines is asked, which has no paths through gateways.
	Starts   service.StartReader
	EntryVMs EntryVMs
}

// EntryVMs calls other entry VMs by address.
type EntryVMs interface {
	Report(ctx context.Context, address string, report entryvm.Report) (entryvm.Report, error)
	Swap(ctx context.Context, address string, swap entryvm.SwapArgs) (entryvm.SwapReply, error)
	Adapter(ctx context.Context, address string, adapter entryvm.AdapterArgs) (entryvm.AdapterReply, error)
	Release(ctx context.Context, address string, release entryvm.ReleaseArgs) (entryvm.ReleaseReply, error)
	Knowledge(ctx context.Context, address string, args entryvm.KnowledgeArgs) (entryvm.KnowledgeReply, error)
	Lease(ctx context.Context, address string, lease entryvm.LeaseArgs) (entryvm.LeaseReply, error)
	Lend(ctx context.Context, address string, lend entryvm.LendArgs) (entryvm.LendReply, error)
	Demand(ctx context.Context, address string, report entryvm.DemandReport) (entryvm.DemandReport, error)
	Permit(ctx context.Context, address string, args entryvm.PermitArgs) (entryvm.PermitReply, error)
	Room(ctx context.Context, address string, args entryvm.RoomArgs) (entryvm.RoomReply, error)
	StreamVersions(ctx context.Context, address string, args entryvm.StreamVersionsArgs) error
	FindStream(ctx context.Context, address string, args entryvm.FindStreamArgs) (entryvm.FindStreamReply, error)
}

// Config holds the settings and dependencies of a Node.
type Config struct {
	// VM is the platform's name of this VM, Address the address at which other entry VMs
	// reach it and Domain its failure domain.
	VM, Address, Domain string
	// Domains is the number of failure domains, 0 if unknown.
	Domains int
	// Incarnation identifies this start of the process.
	Incarnation string
	// Capacity is the memory of the VM in bytes. The largest VMs take the roles that
	// communicate with all others.
	Capacity int64
	// Seeds are addresses of some entry VMs; any of these VMs may no longer exist.
	Seeds []string
	// FirstStart is whether the whole system starts for the first time, so that no VM
	// can have sent orders before.
	FirstStart bool
	// Shards is the number of shards that the engines of a failure domain are divided into.
	Shards int
	Peers  Peers
	Logger *zap.Logger
	// Rand is the router's source of randomness.
	Rand      *rand.Rand
	Admission admission.Config
	// RetryShare is the maximum share of the requests for a service that all VMs together may
	// retry within RetryWindow, RetrySlack how many retries they may make beyond it.
	RetryShare, RetrySlack float64
	RetryWindow            time.Duration
	// Lease configures the leases on shards.
	Lease lease.ShardConfig
	// ReportInterval is the interval between reports to another VM.
	ReportInterval time.Duration
	// MaxApplyDelay is the time within which a new configuration must be in force,
	// MaxDrainDelay the time within which a leaving backend server must stop receiving
	// new requests.
	MaxApplyDelay, MaxDrainDelay time.Duration
	// MaxConfigurationAge is the age of the newest known configuration from which requests
	// with API keys are refused, because their keys may have been revoked. 0 means that
	// the known configuration is used whatever its age.
	MaxConfigurationAge time.Duration
	// QuotaSlack is the number of units by which a workspace may exceed its quota for a
	// short time.
	QuotaSlack float64
	// Load switches on parts of the scheduling under load.
	Load LoadPolicies
	// BootClock reads a clock that keeps running while the machine is suspended.
	BootClock func() time.Duration
}

// LoadPolicies are the parts of the scheduling under load that operators switch on.
type LoadPolicies struct {
	// EnginePace shares how fast engines write streams, and sends streams where their routes'
	// target gap can be kept.
	EnginePace bool
	// FairWorkspaces shares pools fairly between workspaces over all VMs.
	FairWorkspaces bool
	// BackendQueues lets plain services with fewer places than VMs queue requests themselves.
	BackendQueues bool
	// FleetAdmission refuses requests that the whole fleet can't serve in time.
	FleetAdmission bool
	// SpreadReturns gives requests beyond a workspace's quota retry times that spread their returns.
	SpreadReturns bool
}

// Node is one entry VM. It is safe for concurrent use.
type Node struct {
	config Config
	// startedAt is the reading of the boot clock when the node was created.
	startedAt       time.Duration
	backends        *backendTable
	members         *members
	keeper          *keeper
	planner         *planner
	serving         *serving.Server
	fleetAdmission  *fleetAdmission
	demand          *demandMeter
	adapterRequests *adapterLoader
	quotas          *quotas
	readyEstimates  *readyEstimates
	crashes         *crash.Detector
	limits          *backendLimits
	rooms           *backendRooms
	issuers         *permitIssuers
	fleetSize       *fleetSize
	paths           *backendPaths
	startChecks     *startchecks.Checker
	streamVersions  *streamversions.Finder
	backendQueues   *backendQueues // nil if not switched on
	// paces is the pace of engines, nil if Config.Load.EnginePace is off.
	paces    *pace.Table
	registry reachability
	// configurationFeed and backendsFeed track the registry's topics.
	configurationFeed, backendsFeed feed.State
	snapshots                       *snapshots

	// active is the configuration in force, nil before the first one.
	active  atomic.Pointer[activeConfiguration]
	applyMu sync.Mutex

	shardsMu sync.Mutex
	shards   *lease.Shards
	// firstEpoch is the registry's epoch at this VM's first join.
	firstEpoch uint64
	// settleSignal makes recordSettledUntil record the shards whose former owners can send
	// no more orders.
	settleSignal chan struct{}

	stopping atomic.Bool
	// tunnels counts the tunnels that this VM has open for others.
	tunnels atomic.Int32
}

// activeConfiguration is a configuration with the indexes that each request looks up.
type activeConfiguration struct {
	*registry.Configuration
	routes     *contract.RouteTable
	workspaces *contract.Workspaces
	// hasQuotas is whether any workspace has a quota.
	hasQuotas bool
}

// New returns an entry VM that does nothing until Run is called.
func New(config Config) *Node {
	config.Admission.FairWorkspaces = config.Load.FairWorkspaces
	n := &Node{config: config, startedAt: config.BootClock(), shards: lease.NewShards(config.Lease), settleSignal: make(chan struct{}, 1)}
	n.registry = reachability{name: "registry", logger: config.Logger}
	n.configurationFeed.MaxDelay, n.configurationFeed.ConfirmIntervals = config.MaxApplyDelay, configurationConfirmIntervals
	n.backendsFeed.MaxDelay, n.backendsFeed.ConfirmIntervals = config.MaxDrainDelay, backendsConfirmIntervals
	n.backends = newBackendTable(config.Logger)
	n.snapshots = newSnapshots(n)
	n.demand = newDemandMeter()
	n.adapterRequests = newAdapterLoader(n)
	n.readyEstimates = newReadyEstimates(n)
	n.crashes = crash.New(crash.Config{Fleet: crashFleet{n}, Engines: config.Peers.Engines, Registry: config.Peers.Registry, Incarnation: config.Incarnation, Logger: config.Logger})
	n.limits = newBackendLimits(n)
	n.rooms = newBackendRooms(n)
	n.issuers = newPermitIssuers(n)
	n.paths = newBackendPaths(n)
	n.startChecks = startchecks.New(startchecks.Config{Ask: n.askStart, RecordStart: crashFleet{n}.RecordStart})
	n.streamVersions = streamversions.New(streamversions.Config{VM: config.VM, Domain: config.Domain, FirstStart: config.FirstStart, Fleet: streamFleet{n},
		VMs: config.Peers.EntryVMs, Registry: config.Peers.Registry, Logger: config.Logger})
	n.members = newMembers(n)
	n.quotas = newQuotas(n)
	n.fleetSize = newFleetSize(n)
	n.backendQueues = newBackendQueues(n)
	n.keeper = newKeeper(n)
	n.planner = newPlanner(n)
	n.fleetAdmission = newFleetAdmission(n)
	n.serving = serving.New(serving.Config{
		Domain: config.Domain, Directory: n, ForwardDirectory: n, Forwarder: config.Peers.Backends,
		Admission: admission.New(n.fleetAdmission.admissionConfig(config.Admission)), Router: routing.New(routing.Config{}, config.Rand),
		Logger: config.Logger, RetryShare: sustainedRetryShare * config.RetryShare, RetryWindow: config.RetryWindow, RetrySlack: n.retrySlack, Quarantine: n.crashes,
		BackendQueues: n.backendQueues.forServing(),
		Pace:          n.newPaceRecorder(),
	})
	return n
}

// Run runs all background tasks until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	n.snapshots.request()
	for _, task := range []func(context.Context){
		n.snapshots.run, n.followConfiguration, n.followBackends, n.fetchFromPeers, n.sweep, n.probeUnreachable,
		n.paths.run, n.crashes.Run, n.crashes.SyncRecords, n.members.run, n.quotas.run, n.fleetSize.run, n.streamVersions.Run, n.maintainShards, n.planner.run, n.serving.Run,
	} {
		tasks.Go(func() { task(ctx) })
	}
}

var (
	errStopping        = errors.New("this entry VM is stopping")
	errNoConfiguration = errors.New("no configuration has been read yet")
	errNoBackends      = errors.New("the list of backend servers has not been read yet")
)

// Ready returns nil if the VM accepts new requests, otherwise the reason why it doesn't.
func (n *Node) Ready() error {
	switch {
	case n.stopping.Load():
		return errStopping
	case n.active.Load() == nil:
		return errNoConfiguration
	case !n.backends.hasList():
		return errNoBackends
	}
	return nil
}

// AddPeers adds addresses at which other entry VMs may be reachable.
func (n *Node) AddPeers(addresses []string) { n.members.addAddresses(addresses) }

// OpenRequests returns the number of requests that wait or run.
func (n *Node) OpenRequests() int { return n.serving.OpenRequests() }

// BeginShutdown begins a graceful shutdown: it notifies the peers and the load balancer
// and stops sending orders. Open requests continue, and new ones are served while the schedule has time for them.
func (n *Node) BeginShutdown(ctx context.Context, schedule stopping.Schedule) {
	n.stopping.Store(true)
	n.serving.BeginStop(schedule)
	n.members.notifyAll()
	n.leaveShards(ctx)
}

// RefuseWaiting refuses all requests that wait or would have to later, before connections are closed.
func (n *Node) RefuseWaiting() { n.serving.RefuseWaiting() }

// unreadyRetryAfter is the retry delay given to callers while the VM is starting.
const unreadyRetryAfter = 300 * time.Millisecond

// Relay implements caller.RelayBackend.
func (n *Node) Relay(ctx context.Context, r caller.RelayRequest, answer caller.AnswerWriter) error {
	used, err := n.quotas.admit(ctx, &r)
	if err == nil {
		err = n.forward(ctx, r, answer)
	}
	if refused := (*refusal.Refusal)(nil); errors.As(err, &refused) && refused.Ran == refusal.RanNo {
		n.quotas.returnCredit(used)
	}
	return err
}

// forward records the demand for the request's model and forwards the request.
func (n *Node) forward(ctx context.Context, r caller.RelayRequest, answer caller.AnswerWriter) error {
	if r.Model != "" {
		n.demand.recordRequest(r.Arrived, modelKey{r.Service, r.Model})
		n.readyEstimates.clearIfLoaded(r.Service, r.Model)
	}
	return n.serving.Forward(ctx, r, answer)
}

// applyConfiguration puts a configuration in force unless the current one is as new.
func (n *Node) applyConfiguration(c *registry.Configuration, from string) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	if current := n.active.Load(); current != nil && current.Version >= c.Version {
		return
	}
	next := &activeConfiguration{Configuration: c, routes: contract.NewRouteTable(c.Contract.Routes)}
	if c.Contract.Workspaces != nil {
		workspaces, err := contract.NewWorkspaces(c.Contract.Workspaces)
		if err != nil {
			n.config.Logger.Error("configuration not used", zap.Uint64("version", c.Version), telemetry.Reason(err))
			return
		}
		next.workspaces = workspaces
		next.hasQuotas = slices.ContainsFunc(c.Contract.Workspaces, func(w contract.Workspace) bool { return w.Quota.IsLimited() })
	}
	n.active.Store(next)
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) {
		a.SetContracts(map[string]*contract.Contract{c.Contract.Customer: c.Contract})
		a.SetWorkspaceWeights(fairshare.Weights(c.Contract.Workspaces))
	})
	n.config.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.String("from", from),
		zap.Int("routes", len(c.Contract.Routes)), zap.Int("pools", len(c.Contract.Pools)),
		zap.Int("workspaces", len(c.Contract.Workspaces)))
	n.serving.Wake()
	n.planner.wakeUp()
}

// findPool returns the engine pool of a service, nil for a plain service or before the first
// configuration.
func (n *Node) findPool(service string) *contract.EnginePool {
	current := n.active.Load()
	if current == nil {
		return nil
	}
	return current.Contract.FindPool(service)
}

var (
	_ caller.RelayBackend      = (*Node)(nil)
	_ serving.ForwardDirectory = (*Node)(nil)
	_ entryvm.Coordinator      = (*Node)(nil)
	_ entryvm.BackendDialer    = (*Node)(nil)
	_ EntryVMs                 = (*entryvm.Client)(nil)
)
