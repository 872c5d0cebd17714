// Package node assembles the components of one entry VM. It runs their background
// tasks and connects them to each other; the components make the decisions.
package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/control"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/gossip"
	"bergamotreel/internal/keeper"
	"bergamotreel/internal/planner"
	"bergamotreel/internal/serving"
	"bergamotreel/lease"
	"bergamotreel/placement"
	"bergamotreel/platformlog"
	"bergamotreel/routing"
	"bergamotreel/service"
	"bergamotreel/state"
	"bergamotreel/vmlist"
	"bergamotreel/weightstore"

	"math/rand"
)

// Error is the class of all errors of this package.
var Error = errs.Class("node")

// Peers holds the clients of the external systems that an entry VM talks to.
type Peers struct {
	Log         platformlog.Log
	VMList      vmlist.Lister
	WeightStore weightstore.Store
	Engines     engine.Client
	Services    service.Client
	EntryVMs    entryvm.Peer
}

// Config holds the settings and dependencies of an entry VM.
type Config struct {
	// VM is the platform's ID of this VM. PeersAddress is the address at which it
	// serves other entry VMs.
	VM, Domain, Region, PeersAddress string
	// Incarnation is unique to this start of the process.
	Incarnation string
	Version     string
	Peers       Peers
	Logger      *zap.Logger
	// Rand is the router's source of randomness.
	Rand *rand.Rand

	Lease     lease.Config
	Placement placement.Config
	Admission admission.Config
	// RetryShare and RetryWindow set admission.RetryBudget's Share and Window.
	RetryShare  float64
	RetryWindow time.Duration
	// RetrySlack is how many retries beyond RetryShare all entry VMs together may make within
	// RetryWindow.
	RetrySlack float64
	// HeartbeatInterval is the time between two digests to a peer. A VM counts as
	// live until PeerTimeout after its last digest.
	HeartbeatInterval, PeerTimeout time.Duration
	// ClaimTTL is how long an idempotency key is remembered.
	ClaimTTL time.Duration
	// ClaimShards is the number of streams that claims are distributed over. It must
	// be the same on all VMs and never change. With 0 or 1 there is a single stream
	// that every VM holds.
	ClaimShards int
	// SnapshotMaxAge must be much shorter than the log's retention.
	SnapshotMaxAge time.Duration
}

const (
	// defaultHeartbeatInterval detects a network partition within seconds and causes
	// little traffic among 9 VMs.
	defaultHeartbeatInterval = 500 * time.Millisecond
	// defaultPeerTimeout is six heartbeat intervals, so that a lost exchange or a long
	// garbage collection pause does not make a VM look dead.
	defaultPeerTimeout = 3 * time.Second
	defaultClaimTTL    = 24 * time.Hour
)

// Node is one entry VM. Its methods may be called from any goroutine.
type Node struct {
	config      Config
	started     time.Time
	control     *control.Control
	claims      claimManager
	holders     holderTable
	fleet       *fleet.Fleet
	gossip      *gossip.Gossip
	keeper      *keeper.Keeper
	planner     *planner.Planner
	serving     *serving.Server
	store       storePoller
	recentUses  *recentUses
	planners    *plannerTable
	assignments assignmentCache
	// historyMessages queues histories for other VMs. unsentMessages counts those that
	// are queued or being sent.
	historyMessages chan historyMessage
	unsentMessages  atomic.Int64
	refusalCounts   *refusalCounts
	roster          *roster
	// peerRefusals holds the refusal counts of the other entry VMs.
	peerRefusals   *peerRefusals
	readyEstimates *readyEstimates

	// changesCursor is the position up to which controlChanged has read the state's
	// changes.
	changesCursor state.Cursor

	mu       sync.Mutex
	stopping bool
	// superseded is closed, through supersedeOnce, when this process stops in favor of
	// another process with the same VM ID.
	superseded    chan struct{}
	supersedeOnce sync.Once
	// contractsVersion is the newest contract version that admission has received.
	contractsVersion state.Revision
}

// New returns an entry VM that does nothing until Run is called.
func New(config Config) *Node {
	setDefault(&config.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&config.PeerTimeout, defaultPeerTimeout)
	setDefault(&config.ClaimTTL, defaultClaimTTL)
	n := &Node{config: config, started: time.Now(), recentUses: newRecentUses(), refusalCounts: newRefusalCounts(), roster: newRoster(config.VM),
		peerRefusals: newPeerRefusals(), readyEstimates: newReadyEstimates(), superseded: make(chan struct{}),
	}
	n.historyMessages = make(chan historyMessage, maxQueuedHistoryMessages)
	n.planners = newPlannerTable(config.VM, func() []gossip.Peer { return n.gossip.ActivePeers() }, n.isStopping)
	n.control = control.New(control.Config{
		Log: config.Peers.Log, Logger: config.Logger, Incarnation: config.Incarnation,
		WritesSnapshots: n.writesSnapshots, SnapshotMaxAge: config.SnapshotMaxAge, OnChange: n.controlChanged,
		RequestRecords: n.requestFromReader,
	})
	n.fleet = fleet.New(fleet.Config{
		Lister: config.Peers.VMList, Engine: config.Peers.Engines, Logger: config.Logger,
		OnStateLost:       func(address string) { n.serving.Forget(address) },
		KeeperReportTTL:   min(maxKeeperReportTTL, keeper.IdlePollInterval+keeperReportGraceHeartbeats*config.HeartbeatInterval),
		MaxRemotePollRate: n.remotePollRate, OnDraining: func() { n.gossip.ExchangeNow() },
	}, n.fleetChanged, n.applyVMList)
	n.gossip = gossip.New(gossip.Config{
		VM: config.VM, Domain: config.Domain, Region: config.Region, Peer: config.Peers.EntryVMs,
		HeartbeatInterval: config.HeartbeatInterval, PeerTimeout: config.PeerTimeout, Logger: config.Logger,
		MakeDigest: n.buildDigest, ListedVMs: func() []vmlist.VM { return n.fleet.VMs(vmlist.KindEntry) }, OnNewDigests: n.applyDigests,
	})
	n.holders = holderTable{
		self:   vmlist.VM{ID: config.VM, Kind: vmlist.KindEntry, Address: config.PeersAddress, Domain: config.Domain, Region: config.Region},
		listed: func() []vmlist.VM { return n.fleet.VMs(vmlist.KindEntry) }, listedAt: n.fleet.ListedAt,
	}
	n.claims = n.newClaims()
	n.serving = n.newServing()
	n.keeper = n.newKeeper()
	n.planner = n.newPlanner()
	n.store.store = config.Peers.WeightStore
	return n
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

func (n *Node) newServing() *serving.Server {
	return serving.New(serving.Config{
		Domain: n.config.Domain, Directory: n,
		Engines: n.config.Peers.Engines, Services: n.config.Peers.Services, Claims: n.claims,
		Admission: admission.New(n.config.Admission),
		Router:    routing.New(routing.Config{}, n.config.Rand),
		Logger:    n.config.Logger, RetryShare: n.config.RetryShare, RetryWindow: n.config.RetryWindow, RetrySlack: n.retrySlack,
	})
}

// retrySlack returns this VM's part of the retries beyond RetryShare.
func (n *Node) retrySlack() float64 {
	return n.config.RetrySlack / float64(max(1, len(n.fleet.VMs(vmlist.KindEntry))))
}

func (n *Node) newKeeper() *keeper.Keeper {
	return keeper.New(keeper.Config{
		VM: n.config.VM, Incarnation: n.config.Incarnation, Domain: n.config.Domain,
		Control: n.control, Engines: n.config.Peers.Engines, Logger: n.config.Logger,
		Lease: n.config.Lease, MessageLifetime: n.config.Lease.MessageLifetime,
		AssignedEngines: n.assignedEngines, OutageDemand: n.outageDemand, ShouldSettle: n.isChosen, UsesRelay: n.usesRelay, RequestedRenewals: n.requestedRenewals, DomainOf: n.domainOf, RecordStatus: n.fleet.RecordStatus,
	})
}

func (n *Node) newPlanner() *planner.Planner {
	return planner.New(planner.Config{
		Domain: n.config.Domain, Control: n.control, Policy: placement.NewPlanner(n.config.Placement),
		Logger: n.config.Logger, ChangedEngines: n.fleet.ChangedEngines, LookupEngine: n.fleet.Engine, Demand: n.fleetDemand, Share: n.planners.currentShare,
		RunningRequests: n.runningRequests, UnavailableEngines: n.unavailableEngines, StoreStatus: n.store.limits, SetReadyTime: n.setReadyTime, SendHistories: n.queueHistories,
	})
}

// Run runs all background tasks until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, task := range []func(context.Context){
		n.control.Follow, n.control.Commit, n.control.WriteSnapshots,
		n.claims.Run,
		n.fleet.Run, n.gossip.Run, n.keeper.Run, n.planner.Run, n.serving.Run,
		n.catchUp, n.sendHistories, n.updateAdmission, n.pollStore, n.watchPlannedEngines, n.watchDuplicate,
	} {
		tasks.Go(func() { task(ctx) })
	}
}

// Ready returns nil if this VM accepts new requests, or an error with the reason why
// it does not.
func (n *Node) Ready() error {
	n.mu.Lock()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping {
		return errStopping
	}
	select {
	case <-n.control.Ready():
	default:
		return errNoState
	}
	if n.fleet.ListedAt().IsZero() {
		return errNoList
	}
	return nil
}

var (
	errStopping = errors.New("this entry VM is stopping")
	errNoState  = errors.New("the control stream has not been read yet")
	errNoList   = errors.New("the VM list has not been read yet")
)

// Leave begins a graceful shutdown: it notifies the peers, and Ready reports to the
// balancer that this VM is stopping. Open requests continue.
func (n *Node) Leave() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.gossip.ExchangeNow()
	n.planner.HandOverHistories(time.Now())
}

// Stop does the work of a shutdown that needs the log: it releases engines and
// records answers. Call it once no request is open and while Run still runs.
func (n *Node) Stop(ctx context.Context) {
	n.keeper.Stop(ctx)
	n.claims.Drain()
	n.flushHistories(ctx)
}

func (n *Node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// OpenRequests returns how many requests wait or run.
func (n *Node) OpenRequests() int { return n.serving.OpenRequests() }

// controlChanged is called after each applied batch of control records, one call at
// a time. It does not wake the planner and the queue for batches that change no
// engine and no contract: in an idle fleet most records renew sessions.
func (n *Node) controlChanged() {
	n.refreshContracts()
	n.keeper.WakeChangedWorkers()
	var changes state.Changes
	n.control.View(func(s *state.State) { changes, n.changesCursor = s.ChangesSince(n.changesCursor) })
	if !changes.All && len(changes.Engines)+len(changes.Customers) == 0 {
		return
	}
	n.planner.Wake()
	n.serving.Wake()
}

// fleetChanged wakes the planner only if something other than the load changed.
// Each engine answers every other second, so waking the planner for every answer
// would make it plan all the time. The queue is woken for a mere load change only if
// requests are open, since an engine with less load could then take one.
func (n *Node) fleetChanged(changed bool) {
	if changed {
		n.planner.Wake()
	}
	if changed || n.serving.OpenRequests() > 0 {
		n.serving.Wake()
	}
}

// refreshContracts passes the contracts in force to admission if any has changed.
// It is called after each applied batch of records, one call at a time.
func (n *Node) refreshContracts() {
	n.mu.Lock()
	known := n.contractsVersion
	n.mu.Unlock()
	contracts, version := n.contractsSince(known)
	if contracts == nil {
		return
	}
	n.mu.Lock()
	n.contractsVersion = version
	n.mu.Unlock()
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) { a.SetContracts(contracts) })
}
