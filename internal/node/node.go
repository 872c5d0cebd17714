// Package node joins the parts of one entry VM: it owns their duties and gives
// each part what it needs of the others. The decisions are in the parts.
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

// Peers are the outside systems, each behind its interface.
type Peers struct {
	Log         platformlog.Log
	VMList      vmlist.Lister
	WeightStore weightstore.Store
	Engines     engine.Client
	Services    service.Client
	EntryVMs    entryvm.Peer
}

// Config is what an entry VM needs.
type Config struct {
	// VM is the platform's name of this VM, PeersAddress where it serves others.
	VM, Domain, Region, PeersAddress string
	// Incarnation is unique to this start of the process.
	Incarnation string
	Version     string
	Peers       Peers
	Logger      *zap.Logger
	// Rand draws the router's choices.
	Rand *rand.Rand

	Lease     lease.Config
	Placement placement.Config
	Admission admission.Config
	// RetryShare is admission.RetryBudget's Share.
	RetryShare float64
	// Heartbeat is the time between two digests to a peer; HeardFor is how long a
	// VM counts as live after its newest one.
	Heartbeat, HeardFor time.Duration
	// Claims is how long an idempotency key is remembered.
	Claims time.Duration
	// ClaimShards is the number of streams that claims are spread over, the same on
	// all VMs for all time. 0 and 1 mean one that every VM holds.
	ClaimShards int
	// SnapshotMaxAge must be well under the log's retention.
	SnapshotMaxAge time.Duration
}

const (
	// defaultHeartbeat costs 9 VMs little and shows a cut within seconds.
	defaultHeartbeat = 500 * time.Millisecond
	// defaultHeardFor is six heartbeats: a lost exchange or a long pause of the
	// garbage collector must not look like a death.
	defaultHeardFor = 3 * time.Second
	// defaultClaims is how long an idempotency key is remembered.
	defaultClaims = 24 * time.Hour
)

// Node is one entry VM. Its methods may be called from any goroutine.
type Node struct {
	config  Config
	started time.Time
	control *control.Control
	claims  claimDuty
	holders holders
	fleet   *fleet.Fleet
	gossip  *gossip.Gossip
	keeper  *keeper.Keeper
	planner *planner.Planner
	serving *serving.Server
	store   storeWatch
	uses    *uses
	shares  *shares
	kept    keepIndex
	// parcels are the histories to be told, untold counts those not sent yet.
	parcels chan parcel
	untold  atomic.Int64
	refused *refusals
	roster  *roster
	// peerRefused are the refusals of the other entry VMs.
	peerRefused *peerRefusals
	expected    *expectations

	// agreed is how far controlChanged has read the changes of the state.
	agreed state.Cursor

	mu       sync.Mutex
	stopping bool
	// superseded is closed, by conceded, once this process gives way to a rival.
	superseded chan struct{}
	conceded   sync.Once
	// version is the newest contract version that admission knows.
	version state.Revision
}

// New makes an entry VM; Run must be started for it to work.
func New(config Config) *Node {
	setDefault(&config.Heartbeat, defaultHeartbeat)
	setDefault(&config.HeardFor, defaultHeardFor)
	setDefault(&config.Claims, defaultClaims)
	n := &Node{config: config, started: time.Now(), uses: newUses(), refused: newRefusals(), roster: newRoster(config.VM),
		peerRefused: newPeerRefusals(), expected: newExpectations(), superseded: make(chan struct{}),
	}
	n.parcels = make(chan parcel, parcelsQueued)
	n.shares = newShares(config.VM, func() []gossip.Peer { return n.gossip.Present() }, n.isStopping)
	n.control = control.New(control.Config{
		Log: config.Peers.Log, Logger: config.Logger, Incarnation: config.Incarnation,
		WritesSnapshots: n.writesSnapshots, SnapshotMaxAge: config.SnapshotMaxAge, OnChange: n.controlChanged,
		RequestRecords: n.askReader,
	})
	n.fleet = fleet.New(fleet.Config{
		Lister: config.Peers.VMList, Engine: config.Peers.Engines, Log: config.Logger,
		Gone:     func(address string) { n.serving.Forget(address) },
		TrustFor: min(maxTrust, keeper.IdlePollInterval+trustHeartbeats*config.Heartbeat),
		Turns:    n.askTurns, Drains: func() { n.gossip.Tell() },
	}, n.fleetChanged, n.listed)
	n.gossip = gossip.New(gossip.Config{
		VM: config.VM, Domain: config.Domain, Region: config.Region, Peer: config.Peers.EntryVMs,
		Every: config.Heartbeat, HeardFor: config.HeardFor, Logger: config.Logger,
		Self: n.digest, Listed: func() []vmlist.VM { return n.fleet.VMs(vmlist.KindEntry) }, Heard: n.heard,
	})
	n.holders = holders{
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
		Logger:    n.config.Logger, RetryShare: n.config.RetryShare,
	})
}

func (n *Node) newKeeper() *keeper.Keeper {
	return keeper.New(keeper.Config{
		VM: n.config.VM, Incarnation: n.config.Incarnation, Domain: n.config.Domain,
		Control: n.control, Engines: n.config.Peers.Engines, Logger: n.config.Logger,
		Lease: n.config.Lease, MessageLifetime: n.config.Lease.MessageLifetime,
		AssignedEngines: n.keeps, OutageDemand: n.stranded, ShouldSettle: n.isChosen, UsesRelay: n.renewalsCollected, RequestedRenewals: n.renewalsAsked, DomainOf: n.domainOf, RecordStatus: n.fleet.Saw,
	})
}

func (n *Node) newPlanner() *planner.Planner {
	return planner.New(planner.Config{
		Domain: n.config.Domain, Control: n.control, Policy: placement.NewPlanner(n.config.Placement),
		Logger: n.config.Logger, ChangedEngines: n.fleet.Changes, LookupEngine: n.fleet.Engine, Demand: n.demand, Share: n.shares.share,
		RunningRequests: n.running, UnavailableEngines: n.sick, StoreStatus: n.store.limits, SetReadyTime: n.expect, SendHistories: n.handOver,
	})
}

// Run does all duties until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	for _, duty := range []func(context.Context){
		n.control.Follow, n.control.Commit, n.control.WriteSnapshots,
		n.claims.Run,
		n.fleet.Run, n.gossip.Run, n.keeper.Run, n.planner.Run, n.serving.Run,
		n.catchUp, n.tellHistories, n.tellAdmission, n.watchStore, n.watchPlanned, n.watchRival,
	} {
		duties.Go(func() { duty(ctx) })
	}
}

// Ready tells whether new requests are taken, and if not, why.
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

// Leave begins a graceful shutdown: peers and the balancer are told, and what
// is open goes on.
func (n *Node) Leave() {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.gossip.Tell()
	n.planner.HandOverHistories(time.Now())
}

// Stop ends the duties of a shutdown that need the log: engines are given back
// and answers recorded. Call it once no request is open, before Run's end.
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

// Open tells how many requests wait or run.
func (n *Node) Open() int { return n.serving.OpenRequests() }

// controlChanged takes a batch of folded records, one call at a time. Planner and
// queue are left alone by those that change no engine and no contract: most
// records of an idle fleet are renewals of sessions.
func (n *Node) controlChanged() {
	n.refreshContracts()
	n.keeper.Wake()
	var changes state.Changes
	n.control.View(func(s *state.State) { changes, n.agreed = s.ChangesSince(n.agreed) })
	if !changes.All && len(changes.Engines)+len(changes.Customers) == 0 {
		return
	}
	n.planner.Wake()
	n.serving.Wake()
}

// fleetChanged wakes the planner for news only: an answer of each engine every
// other second would have it plan all the time. Likewise the queue, where no
// request is open that an engine with less load could take.
func (n *Node) fleetChanged(news bool) {
	if news {
		n.planner.Wake()
	}
	if news || n.serving.OpenRequests() > 0 {
		n.serving.Wake()
	}
}

// refreshContracts gives admission the contracts in force after a change. It is
// called after each batch of records, one call at a time.
func (n *Node) refreshContracts() {
	n.mu.Lock()
	known := n.version
	n.mu.Unlock()
	contracts, version := n.contractsSince(known)
	if contracts == nil {
		return
	}
	n.mu.Lock()
	n.version = version
	n.mu.Unlock()
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) { a.SetContracts(contracts) })
}
