// Package hosted joins the parts of an entry VM whose platform keeps the
// configuration, the list of backend servers and the leases (package registry).
// Package node is its sibling for a platform that offers a log only, and folds all
// of that itself. Both share the decisions: admission, routing, placement, lease.
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
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/telemetry"
	"bergamotreel/lease"
	"bergamotreel/refusal"
	"bergamotreel/registry"
	"bergamotreel/routing"
	"bergamotreel/service"
)

// Error is the class of all errors of this package.
var Error = errs.Class("hosted")

// Peers are the outside systems, each behind its interface.
type Peers struct {
	Registry registry.Registry
	Engines  engine.Manager
	Backends service.Forwarder
	EntryVMs EntryVMs
}

// EntryVMs reaches the other entry VMs by their address.
type EntryVMs interface {
	Report(ctx context.Context, address string, report entryvm.Report) (entryvm.Report, error)
	Swap(ctx context.Context, address string, swap entryvm.SwapArgs) (entryvm.SwapReply, error)
	Adapter(ctx context.Context, address string, adapter entryvm.AdapterArgs) (entryvm.AdapterReply, error)
	Release(ctx context.Context, address string, release entryvm.ReleaseArgs) (entryvm.ReleaseReply, error)
	Knowledge(ctx context.Context, address string) (entryvm.KnowledgeReply, error)
	Lease(ctx context.Context, address string, lease entryvm.LeaseArgs) (entryvm.LeaseReply, error)
	Lend(ctx context.Context, address string, lend entryvm.LendArgs) (entryvm.LendReply, error)
	Demand(ctx context.Context, address string, report entryvm.DemandReport) (entryvm.DemandReport, error)
	Permit(ctx context.Context, address string, args entryvm.PermitArgs) (entryvm.PermitReply, error)
}

// Config is what an entry VM needs.
type Config struct {
	// VM is the platform's name of this VM, Address where it serves the others.
	VM, Address, Domain string
	// Domains is the number of failure domains, 0 where that is not known.
	Domains int
	// Incarnation is unique to this start of the process.
	Incarnation string
	// Capacity tells larger VMs from smaller ones, by their memory in bytes: the largest
	// take the duties that talk to all others.
	Capacity int64
	// Seeds are addresses of some entry VMs; any may be gone.
	Seeds []string
	// FirstStart is whether the whole system starts for the first time, so that
	// nobody can have given orders before.
	FirstStart bool
	// Shards is how many shards the engines of a failure domain are spread over.
	Shards int
	Peers  Peers
	Logger *zap.Logger
	// Rand draws the router's choices.
	Rand       *rand.Rand
	Admission  admission.Config
	RetryShare float64
	// Lease holds the times of the leases on shards.
	Lease lease.ShardConfig
	// Report is the time between two reports to another VM.
	Report time.Duration
	// ApplyWithin is how soon a configuration must be in force, DrainWithin how soon a
	// leaving backend server must get no new work.
	ApplyWithin, DrainWithin time.Duration
	// RefuseUnsureAfter is the age of the newest known configuration from which requests
	// with API keys are refused, as their keys may be gone; 0 to go on by what is known.
	RefuseUnsureAfter time.Duration
	// QuotaSlack is how many units beyond its quota a workspace may use for a short time.
	QuotaSlack float64
	// Boot reads a clock that goes on while the machine is suspended.
	Boot func() time.Duration
}

// Node is one entry VM. Its methods may be called from any goroutine.
type Node struct {
	config   Config
	started  time.Duration
	backends *backendTable
	members  *members
	keeper   *keeper
	planner  *planner
	serving  *serving.Server
	demand   *demand
	adapters *adapterLoader
	quotas   *quotas
	arrivals *arrivals
	crashes  *crashes
	limits   *limits
	registry reachability
	// configurations and changes are what is known of the registry's topics.
	configurations, changes feed

	// inForce is the newest configuration, nil before the first.
	inForce  atomic.Pointer[inForce]
	applying sync.Mutex

	shardsMu sync.Mutex
	shards   *lease.Shards
	// firstEpoch is the registry's at this VM's first join.
	firstEpoch uint64
	// settle has holdShards record the shards whose former owners are settled.
	settle chan struct{}

	stopping atomic.Bool
}

// inForce is a configuration with what is looked up in it at each request.
type inForce struct {
	*registry.Configuration
	routes     *contract.RouteTable
	workspaces *contract.Workspaces
	// limited is whether a workspace has a quota.
	limited bool
}

// New makes an entry VM; Run must be started for it to work.
func New(config Config) *Node {
	n := &Node{config: config, started: config.Boot(), shards: lease.NewShards(config.Lease), settle: make(chan struct{}, 1)}
	n.registry = reachability{name: "registry", logger: config.Logger}
	n.configurations.bound, n.configurations.renewed = config.ApplyWithin, configurationsRenewed
	n.changes.bound, n.changes.renewed = config.DrainWithin, backendsRenewed
	n.backends = newBackendTable(config.Logger)
	n.demand = newDemand()
	n.adapters = newAdapterLoader(n)
	n.arrivals = newArrivals(n)
	n.crashes = newCrashes(n)
	n.limits = newLimits(n)
	n.members = newMembers(n)
	n.quotas = newQuotas(n)
	n.keeper = newKeeper(n)
	n.planner = newPlanner(n)
	n.serving = serving.New(serving.Config{
		Domain: config.Domain, Directory: n, Forwards: n, Forwarder: config.Peers.Backends,
		Admission: admission.New(config.Admission), Router: routing.New(routing.Config{}, config.Rand),
		Logger: config.Logger, RetryShare: config.RetryShare, Quarantine: n.crashes,
	})
	return n
}

// Run does all duties until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	for _, duty := range []func(context.Context){
		n.followConfiguration, n.followBackends, n.learnFromPeers, n.sweep, n.probe,
		n.crashes.run, n.crashes.keepRecords, n.members.run, n.quotas.run, n.holdShards, n.planner.run, n.serving.Run,
	} {
		duties.Go(func() { duty(ctx) })
	}
}

var (
	errStopping        = errors.New("this entry VM is stopping")
	errNoConfiguration = errors.New("no configuration has been read yet")
	errNoBackends      = errors.New("the list of backend servers has not been read yet")
)

// Ready tells whether new requests are taken, and if not, why.
func (n *Node) Ready() error {
	switch {
	case n.stopping.Load():
		return errStopping
	case n.inForce.Load() == nil:
		return errNoConfiguration
	case !n.backends.known():
		return errNoBackends
	}
	return nil
}

// Learn takes addresses at which other entry VMs may be.
func (n *Node) Learn(addresses []string) { n.members.learn(addresses) }

// Open tells how many requests wait or run.
func (n *Node) Open() int { return n.serving.Open() }

// Leave begins a graceful shutdown: peers and the balancer are told, orders end,
// and what is open goes on.
func (n *Node) Leave(ctx context.Context) {
	n.stopping.Store(true)
	n.members.notifyAll()
	n.leaveShards(ctx)
}

// RefuseWaiting refuses the requests that wait, now and from now on: the last step of
// a graceful shutdown before connections end.
func (n *Node) RefuseWaiting() { n.serving.RefuseWaiting() }

// comeBackUnready is when to come back to an entry VM that has just started.
const comeBackUnready = 300 * time.Millisecond

// Relay implements caller.RelayBackend.
func (n *Node) Relay(ctx context.Context, r caller.RelayRequest, answer caller.RelayAnswer) error {
	used, err := n.quotas.admit(ctx, &r)
	if err == nil {
		err = n.forward(ctx, r, answer)
	}
	if refused := (*refusal.Refusal)(nil); errors.As(err, &refused) && refused.Ran == refusal.RanNo {
		n.quotas.returnCredit(used)
	}
	return err
}

// forward notes what a request asks for and passes it on.
func (n *Node) forward(ctx context.Context, r caller.RelayRequest, answer caller.RelayAnswer) error {
	if r.Model != "" {
		n.demand.arrived(r.Arrived, modelKey{r.Service, r.Model})
		n.arrivals.arrived(r.Service, r.Model)
	}
	return n.serving.Forward(ctx, r, answer)
}

// apply puts a configuration in force unless a newer one is.
func (n *Node) apply(c *registry.Configuration, from string) {
	n.applying.Lock()
	defer n.applying.Unlock()
	if current := n.inForce.Load(); current != nil && current.Version >= c.Version {
		return
	}
	next := &inForce{Configuration: c, routes: contract.NewRouteTable(c.Contract.Routes)}
	if c.Contract.Workspaces != nil {
		workspaces, err := contract.NewWorkspaces(c.Contract.Workspaces)
		if err != nil {
			n.config.Logger.Error("configuration not used", zap.Uint64("version", c.Version), telemetry.Reason(err))
			return
		}
		next.workspaces = workspaces
		next.limited = slices.ContainsFunc(c.Contract.Workspaces, func(w contract.Workspace) bool { return w.Quota.Limited() })
	}
	n.inForce.Store(next)
	n.serving.Decide(func(a *admission.Controller, _ *routing.Router) {
		a.SetContracts(map[string]*contract.Contract{c.Contract.Customer: c.Contract})
	})
	n.config.Logger.Info("configuration in force", zap.Uint64("version", c.Version), zap.String("from", from),
		zap.Int("routes", len(c.Contract.Routes)), zap.Int("pools", len(c.Contract.Pools)),
		zap.Int("workspaces", len(c.Contract.Workspaces)))
	n.serving.Wake()
	n.planner.wakeUp()
}

// pool returns the engine pool of a service, nil for a plain service.
func (n *Node) pool(service string) *contract.EnginePool {
	current := n.inForce.Load()
	if current == nil {
		return nil
	}
	return current.Contract.FindPool(service)
}

var (
	_ caller.RelayBackend      = (*Node)(nil)
	_ serving.ForwardDirectory = (*Node)(nil)
	_ entryvm.Coordinator      = (*Node)(nil)
	_ EntryVMs                 = (*entryvm.Client)(nil)
)
