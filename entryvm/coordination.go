package entryvm

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// coordinationName is the net/rpc service of entry VMs whose platform keeps
// configuration, backend servers and leases for them.
const coordinationName = "Coordination"

// Report is what such an entry VM tells the others of itself, a few times a second.
type Report struct {
	// VM, Address and Domain say who speaks; Address is IP:port of net/rpc.
	VM      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
	// Incarnation changes with each start; Sequence grows with each report of it.
	Incarnation string `cbor:"4,keyasint,omitempty"`
	Sequence    uint64 `cbor:"5,keyasint,omitempty"`
	// Capacity tells larger VMs from smaller ones, by their memory in bytes.
	Capacity int64 `cbor:"6,keyasint,omitempty"`
	// Full is whether Rates and Members are there: they change slowly and are the
	// larger part of a report. In any other one the last ones still hold.
	Full bool `cbor:"7,keyasint,omitempty"`
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// Keeps are the shards of the VM's domain to whose engines it may give orders.
	KeptShards []int `cbor:"9,keyasint,omitempty"`
	// Running is what runs on backend servers through this VM.
	Running []RunningCount `cbor:"10,keyasint,omitempty"`
	// Waiting is what waits here for a model or an adapter.
	Waiting []WaitingCount `cbor:"11,keyasint,omitempty"`
	// Rates are the requests for each model here, a second.
	Rates []ModelRate `cbor:"12,keyasint,omitempty"`
	// Failing are the backend servers that this VM finds failing.
	Failing []string `cbor:"13,keyasint,omitempty"`
	// Engines is news of the engines that this VM keeps.
	Engines []EngineUpdate `cbor:"14,keyasint,omitempty"`
	// Configuration is the version in force here.
	Configuration uint64 `cbor:"15,keyasint,omitempty"`
	// BackendsCursor is up to where this VM knows the changes of the registry's list of
	// backend servers, 0 while it knows no list.
	BackendsCursor uint64 `cbor:"16,keyasint,omitempty"`
	// Reads is whether this answer comes from the VM that reads the registry for the
	// asker's failure domain. Only then the ages say how long ago it knew all changes,
	// and Changes (gob) those between ChangesFrom and BackendsCursor.
	IsRegistryReader bool          `cbor:"17,keyasint,omitempty"`
	ConfigurationAge time.Duration `cbor:"18,keyasint,omitempty"`
	BackendsAge      time.Duration `cbor:"19,keyasint,omitempty"`
	ChangesFrom      uint64        `cbor:"20,keyasint,omitempty"`
	Changes          []byte        `cbor:"21,keyasint,omitempty"`
	// Planning is whether this VM plans for all. Only then StoreLoads is how many loads
	// the weight store was found to serve at once, 0 while that isn't known, and Coming
	// are the models that requests wait for, as far as it can tell when they are there.
	Planning       bool            `cbor:"22,keyasint,omitempty"`
	StoreLoads     int             `cbor:"23,keyasint,omitempty"`
	ReadyEstimates []ReadyEstimate `cbor:"24,keyasint,omitempty"`
	// Lacking are the engines that turned away a unit which they were thought to hold.
	EnginesMissingUnits []string `cbor:"25,keyasint,omitempty"`
	// Members are the entry VMs that this one hears: so that two which both know a
	// third meet each other. In a large fleet Overview tells it.
	Members []Member `cbor:"26,keyasint,omitempty"`
	// Overview is what a relay of a large fleet tells of the others, nil elsewhere.
	Overview *Overview `cbor:"27,keyasint,omitempty"`
	// Knows and Seen are what this VM has of the overviews of the one that it speaks to.
	KnownViews  []DomainVersion `cbor:"28,keyasint,omitempty"`
	UpdatesSeen LogPosition     `cbor:"29,keyasint,omitempty"`
	// AllEngines is whether Engines names all engines that this VM keeps.
	AllEngines bool `cbor:"30,keyasint,omitempty"`
	// Resend are the keepers whose news this VM does not have whole.
	ResendKeepers []string `cbor:"31,keyasint,omitempty"`
	// Suspects are requests that ran on backend servers as these ended: those that the VM
	// which the report goes to had not acknowledged. SuspectsNext is the speaker's version
	// up to which they go, SuspectsSeen what it has of the other one's.
	Suspects     []Suspect   `cbor:"32,keyasint,omitempty"`
	SuspectsNext uint64      `cbor:"33,keyasint,omitempty"`
	SuspectsSeen LogPosition `cbor:"34,keyasint,omitempty"`
	// Limits are the limits of backend servers in need, in full reports and for some time
	// after a change.
	Limits []BackendLimit `cbor:"35,keyasint,omitempty"`
	// LeavingBackends are the backend servers that said in an answer that they leave, as
	// often as Limits.
	LeavingBackends []LeavingBackend `cbor:"36,keyasint,omitempty"`
}

// LeavingBackend is a backend server that said that it leaves.
type LeavingBackend struct {
	Backend string `cbor:"1,keyasint"`
	// Started is the start that said so, 0 where that is unknown.
	Started int64 `cbor:"2,keyasint,omitempty"`
}

// Suspect is a request that may crash the backend servers that run it; the fields are
// those of quarantine.Suspect.
type Suspect struct {
	Request  uint64        `cbor:"1,keyasint,omitempty"`
	Backends []string      `cbor:"2,keyasint,omitempty"`
	Cleared  bool          `cbor:"3,keyasint,omitempty"`
	Age      time.Duration `cbor:"4,keyasint,omitempty"`
}

// Arrival is when a model should have its first replica, from the sending on.
type ReadyEstimate struct {
	Service string        `cbor:"1,keyasint,omitempty"`
	Model   string        `cbor:"2,keyasint,omitempty"`
	ReadyIn time.Duration `cbor:"3,keyasint,omitempty"`
}

// Member is an entry VM and its address.
type Member struct {
	VM      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
}

// Running counts requests for one unit on one backend server.
type RunningCount struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	Unit    string `cbor:"2,keyasint,omitempty"`
	Count   int    `cbor:"3,keyasint,omitempty"`
}

// Waiting counts requests that wait for a unit.
type WaitingCount struct {
	Unit  string `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	// Oldest is for how long the first of them has waited, at sending.
	Oldest time.Duration `cbor:"3,keyasint,omitempty"`
}

// ModelRate is the requests a second for the model of a service.
type ModelRate struct {
	Service string  `cbor:"1,keyasint,omitempty"`
	Model   string  `cbor:"2,keyasint,omitempty"`
	Rate    float32 `cbor:"3,keyasint,omitempty"`
}

// EngineNews is what the keeper of an engine knows of it.
type EngineUpdate struct {
	// ID names the engine, Started its start as in registry.Backend.
	ID      string `cbor:"1,keyasint,omitempty"`
	Started int64  `cbor:"2,keyasint,omitempty"`
	// Orders counts the orders that the engine has accepted.
	Orders uint64 `cbor:"3,keyasint,omitempty"`
	// Version grows with each change of the news at one keeper.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	// Swapping is whether models are being loaded or unloaded.
	Swapping bool `cbor:"5,keyasint,omitempty"`
	// ReservedBytes is the room that orders to an earlier start may still take.
	ReservedBytes int64 `cbor:"6,keyasint,omitempty"`
	// Models are those that take requests, with their adapters.
	Models []EngineModel `cbor:"7,keyasint,omitempty"`
	// Loading is the model that is being loaded, empty for none, LoadingFor how long that
	// should still take, and FromStore whether the weight store delivers it.
	Loading      string        `cbor:"8,keyasint,omitempty"`
	LoadTimeLeft time.Duration `cbor:"9,keyasint,omitempty"`
	FromStore    bool          `cbor:"10,keyasint,omitempty"`
}

// EngineModel is a model that takes requests on an engine.
type EngineModel struct {
	Model    string   `cbor:"1,keyasint,omitempty"`
	Adapters []string `cbor:"2,keyasint,omitempty"`
}

// SwapArgs asks an engine's keeper to change what it holds.
type SwapArgs struct {
	Engine string   `cbor:"1,keyasint,omitempty"`
	Unload []string `cbor:"2,keyasint,omitempty"`
	Load   string   `cbor:"3,keyasint,omitempty"`
	// Takes is how long the load should take.
	LoadTime time.Duration `cbor:"4,keyasint,omitempty"`
	// Copied is whether the engine has a copy of its own: then it takes just as long.
	HasLocalCopy bool `cbor:"5,keyasint,omitempty"`
	// Reason tells why, for the keeper's log.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// SwapReply tells whether the keeper has begun.
type SwapReply struct {
	Begun  bool   `cbor:"1,keyasint,omitempty"`
	Reason string `cbor:"2,keyasint,omitempty"`
	// Silent is whether the engine did not answer the keeper.
	Silent bool `cbor:"3,keyasint,omitempty"`
	// News is what the keeper knows of the engine, nil where that is nothing; Keeper
	// names the process that speaks.
	Update *EngineUpdate `cbor:"4,keyasint,omitempty"`
	Keeper string        `cbor:"5,keyasint,omitempty"`
}

// AdapterArgs asks an engine's keeper to load an adapter on a model it holds.
type AdapterArgs struct {
	Engine  string `cbor:"1,keyasint,omitempty"`
	Model   string `cbor:"2,keyasint,omitempty"`
	Adapter string `cbor:"3,keyasint,omitempty"`
}

// AdapterReply tells whether the adapter is loaded, and what the engine holds.
type AdapterReply struct {
	Loaded bool         `cbor:"1,keyasint,omitempty"`
	Reason string       `cbor:"2,keyasint,omitempty"`
	Update EngineUpdate `cbor:"3,keyasint,omitempty"`
}

// ReleaseArgs asks a former owner of a shard to stop its orders.
type ReleaseArgs struct {
	Group      string `cbor:"1,keyasint,omitempty"`
	Index      int    `cbor:"2,keyasint,omitempty"`
	Generation uint64 `cbor:"3,keyasint,omitempty"`
	// Settled is what the record of the owner that is asked says.
	Settled bool `cbor:"4,keyasint,omitempty"`
}

// ReleaseReply tells how long ago the last order was, negative where one is under
// way. Released is false where the VM asked can't tell, or holds the shard under a
// newer generation.
type ReleaseReply struct {
	Released  bool          `cbor:"1,keyasint,omitempty"`
	LastOrder time.Duration `cbor:"2,keyasint,omitempty"`
}

// KnowledgeReply is what a VM that can't reach the registry needs to start.
type KnowledgeReply struct {
	// Configuration is the newest one's source, nil where none is known.
	Configuration []byte `cbor:"1,keyasint,omitempty"`
	// Backends is the list of backend servers, encoded with encoding/gob.
	Backends []byte `cbor:"2,keyasint,omitempty"`
}

// None is a message without content.
type Empty struct{}

// Coordinator is what such an entry VM does with the messages of the others.
type Coordinator interface {
	Report(Report) Report
	Swap(SwapArgs) SwapReply
	Adapter(AdapterArgs) AdapterReply
	Release(ReleaseArgs) ReleaseReply
	Knowledge() KnowledgeReply
	Lease(LeaseArgs) LeaseReply
	Lend(LendArgs) LendReply
	Demand(DemandReport) DemandReport
	Permit(PermitArgs) PermitReply
}

// coordination is the net/rpc service over a Coordinator.
type coordination struct{ coordinator Coordinator }

// Report exchanges reports.
func (c *coordination) Report(args *Report, reply *Report) error {
	*reply = c.coordinator.Report(*args)
	return nil
}

// Swap asks for a swap.
func (c *coordination) Swap(args *SwapArgs, reply *SwapReply) error {
	*reply = c.coordinator.Swap(*args)
	return nil
}

// Adapter asks for an adapter.
func (c *coordination) Adapter(args *AdapterArgs, reply *AdapterReply) error {
	*reply = c.coordinator.Adapter(*args)
	return nil
}

// Release asks for a shard.
func (c *coordination) Release(args *ReleaseArgs, reply *ReleaseReply) error {
	*reply = c.coordinator.Release(*args)
	return nil
}

// Knowledge asks for what is known.
func (c *coordination) Knowledge(_ *Empty, reply *KnowledgeReply) error {
	*reply = c.coordinator.Knowledge()
	return nil
}

// ServeCoordination answers the other entry VMs on the listener until ctx ends, as
// Serve does.
func ServeCoordination(ctx context.Context, listener net.Listener, secret []byte, coordinator Coordinator, tlsConfig *tls.Config, options ...Option) error {
	return serve(ctx, listener, secret, coordinationName, &coordination{coordinator}, tlsConfig, options...)
}

// Report sends a report and returns the other's.
func (c *Client) Report(ctx context.Context, address string, report Report) (Report, error) {
	return call[Report](ctx, c, lineKey{address: address}, coordinationName+".Report", &report)
}

// Swap asks the keeper of an engine for a swap.
func (c *Client) Swap(ctx context.Context, address string, swap SwapArgs) (SwapReply, error) {
	return call[SwapReply](ctx, c, lineKey{address: address}, coordinationName+".Swap", &swap)
}

// Adapter asks the keeper of an engine for an adapter.
func (c *Client) Adapter(ctx context.Context, address string, adapter AdapterArgs) (AdapterReply, error) {
	return call[AdapterReply](ctx, c, lineKey{address: address}, coordinationName+".Adapter", &adapter)
}

// Release asks a former owner of a shard to stop its orders.
func (c *Client) Release(ctx context.Context, address string, release ReleaseArgs) (ReleaseReply, error) {
	return call[ReleaseReply](ctx, c, lineKey{address: address}, coordinationName+".Release", &release)
}

// Knowledge asks a VM for what it knows. It fails once nothing has come for a second, however
// long the whole takes.
func (c *Client) Knowledge(ctx context.Context, address string) (KnowledgeReply, error) {
	return call[KnowledgeReply](ctx, c, lineKey{address, laneKnowledge}, coordinationName+".Knowledge", &Empty{})
}
