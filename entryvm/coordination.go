package entryvm

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// coordinationServiceName is the net/rpc service of entry VMs that use the platform's
// registry for configuration, the list of backend servers and group membership.
const coordinationServiceName = "Coordination"

// Report is the status that such an entry VM sends to others several times a second.
type Report struct {
	// VM, Address and Domain identify the sender; Address is the IP:port of its net/rpc
	// server.
	VM      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
	// Incarnation changes with each start of the VM. Sequence increases with each report of
	// an incarnation.
	Incarnation string `cbor:"4,keyasint,omitempty"`
	Sequence    uint64 `cbor:"5,keyasint,omitempty"`
	// Capacity is the VM's memory in bytes, a measure of its size.
	Capacity int64 `cbor:"6,keyasint,omitempty"`
	// Full is whether Rates and Members are set. They change slowly and are the larger part
	// of a report, so other reports omit them and the last values remain valid.
	Full bool `cbor:"7,keyasint,omitempty"`
	// Leaving is set from the start of a graceful shutdown.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// KeptShards are the shards of the VM's domain whose engines it may send orders to.
	KeptShards []int `cbor:"9,keyasint,omitempty"`
	// Running counts the requests that run on backend servers through this VM.
	Running []RunningCount `cbor:"10,keyasint,omitempty"`
	// Waiting counts the requests that wait on this VM for a model or an adapter.
	Waiting []WaitingCount `cbor:"11,keyasint,omitempty"`
	// Rates are the requests per second for each model on this VM.
	Rates []ModelRate `cbor:"12,keyasint,omitempty"`
	// Failing are the backend servers that this VM considers failing.
	Failing []string `cbor:"13,keyasint,omitempty"`
	// Engines are updates on the engines that this VM keeps.
	Engines []EngineUpdate `cbor:"14,keyasint,omitempty"`
	// Configuration is the configuration version in force on this VM.
	Configuration uint64 `cbor:"15,keyasint,omitempty"`
	// BackendsCursor is the position in the changes of the registry's list of backend servers
	// up to which this VM has applied them, 0 while it has no list.
	BackendsCursor uint64 `cbor:"16,keyasint,omitempty"`
	// IsRegistryReader is whether this answer comes from the VM that reads the registry for
	// the caller's failure domain. Only then ConfigurationAge and BackendsAge say how long
	// ago that VM knew all changes, and Changes holds those between ChangesFrom and
	// BackendsCursor, encoded with encoding/gob.
	IsRegistryReader bool          `cbor:"17,keyasint,omitempty"`
	ConfigurationAge time.Duration `cbor:"18,keyasint,omitempty"`
	BackendsAge      time.Duration `cbor:"19,keyasint,omitempty"`
	ChangesFrom      uint64        `cbor:"20,keyasint,omitempty"`
	Changes          []byte        `cbor:"21,keyasint,omitempty"`
	// Planning is whether this VM plans for the fleet. Only then StoreLoads is the measured
	// number of loads that the weight store serves concurrently, 0 while unknown, and
	// ReadyEstimates covers the models that requests wait for, as far as their ready times
	// can be estimated.
	Planning       bool            `cbor:"22,keyasint,omitempty"`
	StoreLoads     int             `cbor:"23,keyasint,omitempty"`
	ReadyEstimates []ReadyEstimate `cbor:"24,keyasint,omitempty"`
	// EnginesMissingUnits are the engines that rejected a request for a unit that they were
	// believed to hold.
	EnginesMissingUnits []string `cbor:"25,keyasint,omitempty"`
	// Members are the entry VMs that this one receives reports from, so that two VMs that
	// both know a third discover each other. In a large fleet Overview carries this
	// information.
	Members []Member `cbor:"26,keyasint,omitempty"`
	// Overview is a relay's view of the other VMs of a large fleet, nil elsewhere.
	Overview *Overview `cbor:"27,keyasint,omitempty"`
	// KnownViews and UpdatesSeen state what the sender already has of the receiver's
	// overviews.
	KnownViews  []DomainVersion `cbor:"28,keyasint,omitempty"`
	UpdatesSeen PeerPosition    `cbor:"29,keyasint,omitempty"`
	// AllEngines is whether Engines covers all engines that this VM keeps.
	AllEngines bool `cbor:"30,keyasint,omitempty"`
	// ResendKeepers are the keepers whose updates this VM has only in part and requests
	// again.
	ResendKeepers []string `cbor:"31,keyasint,omitempty"`
	// Suspects are the requests that were running on backend servers when these ended and
	// that the receiver hasn't acknowledged yet. SuspectsFrom is the position in the sender's
	// suspects that they continue, as the receiver has named it, SuspectsNext the one after
	// them. SuspectsSeen is the position up to which the sender has the
	// receiver's suspects.
	Suspects     []Suspect    `cbor:"32,keyasint,omitempty"`
	SuspectsFrom uint64       `cbor:"42,keyasint,omitempty"`
	SuspectsNext uint64       `cbor:"33,keyasint,omitempty"`
	SuspectsSeen PeerPosition `cbor:"34,keyasint,omitempty"`
	// Limits are the request rate limits that overloaded backend servers have named. They are
	// sent in full reports and for some time after a change.
	Limits []BackendLimit `cbor:"35,keyasint,omitempty"`
	// LeavingBackends are the backend servers that announced in an answer that they are
	// leaving. They are sent as often as Limits.
	LeavingBackends []LeavingBackend `cbor:"36,keyasint,omitempty"`
	// LostPaths is whether the VM has lost its paths to the backend servers of a service, so
	// that it is no gateway to them.
	LostPaths bool `cbor:"37,keyasint,omitempty"`
	// Fragile are the backend servers that crash if they reject many requests. They are sent as
	// often as Limits.
	Fragile []FragileBackend `cbor:"38,keyasint,omitempty"`
	// Signals are the sender's signals, nil if the last ones remain valid.
	Signals *LoadSignals `cbor:"39,keyasint,omitempty"`
	// RecordedVMs counts the entry VMs in the registry. It is sent within a failure domain, nil
	// while the sender has no count.
	RecordedVMs *RecordedVMs `cbor:"40,keyasint,omitempty"`
	// BackendStarts are the starts that backend servers reported themselves a moment ago.
	BackendStarts []BackendStart `cbor:"41,keyasint,omitempty"`
}

// RecordedVMs counts the records of entry VMs in the registry.
type RecordedVMs struct {
	// ByDomain is the number of VMs in each failure domain that renew their records, LapsedByDomain of
	// those that have stopped.
	ByDomain map[string]int `cbor:"1,keyasint,omitempty"`
	// Age is the time since the records were read.
	Age            time.Duration  `cbor:"2,keyasint,omitempty"`
	LapsedByDomain map[string]int `cbor:"3,keyasint,omitempty"`
}

// LeavingBackend is a backend server that announced that it is leaving.
type LeavingBackend struct {
	Backend string `cbor:"1,keyasint"`
	// Started identifies the start of the backend server that announced it, 0 if unknown.
	Started int64 `cbor:"2,keyasint,omitempty"`
}

// BackendStart is the start of a backend server that has restarted under its ID.
type BackendStart struct {
	Backend string `cbor:"1,keyasint"`
	// Started identifies the start by its time, in Unix milliseconds.
	Started int64 `cbor:"2,keyasint"`
}

// Suspect is a request, or a part of prompts, that may crash the backend servers that run it. Its
// fields correspond to those of quarantine.Suspect.
type Suspect struct {
	// Request is the fingerprint of the request or the part.
	Request uint64 `cbor:"1,keyasint,omitempty"`
	// Backends are the backend server instances whose crashes count, CrashAges the times since
	// these. A VM of an older version sends no ages.
	Backends   []string        `cbor:"2,keyasint,omitempty"`
	Age        time.Duration   `cbor:"4,keyasint,omitempty"`
	PromptPart bool            `cbor:"5,keyasint,omitempty"`
	CrashAges  []time.Duration `cbor:"6,keyasint,omitempty"`
	// ClearedBackends are those whose crashes don't count any more.
	ClearedBackends []string `cbor:"7,keyasint,omitempty"`
	// Answered is whether the subject was answered since a crash, AnswerAge the time since
	// the newest such answer. A VM of an older version sends neither.
	Answered  bool          `cbor:"8,keyasint,omitempty"`
	AnswerAge time.Duration `cbor:"9,keyasint,omitempty"`
	// Details tell variants of a request apart, none for a part. VariantAnswers are the newest answers to other variants.
	Details        []uint32        `cbor:"10,keyasint,omitempty"`
	VariantAnswers []VariantAnswer `cbor:"11,keyasint,omitempty"`
}

// VariantAnswer is an answer to a request that agrees with a suspect in some fields. It corresponds to
// quarantine.VariantAnswer.
type VariantAnswer struct {
	Agreed uint8         `cbor:"1,keyasint,omitempty"`
	Age    time.Duration `cbor:"2,keyasint,omitempty"`
}

// ReadyEstimate is when a model is expected to have its first ready replica, relative to the
// sending of the message.
type ReadyEstimate struct {
	Service string        `cbor:"1,keyasint,omitempty"`
	Model   string        `cbor:"2,keyasint,omitempty"`
	ReadyIn time.Duration `cbor:"3,keyasint,omitempty"`
}

// Member identifies an entry VM and its address.
type Member struct {
	VM      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Domain  string `cbor:"3,keyasint,omitempty"`
}

// RunningCount counts the requests for a unit that run on a backend server.
type RunningCount struct {
	Backend string `cbor:"1,keyasint,omitempty"`
	Unit    string `cbor:"2,keyasint,omitempty"`
	Count   int    `cbor:"3,keyasint,omitempty"`
}

// WaitingCount counts the requests that wait for a unit.
type WaitingCount struct {
	Unit  string `cbor:"1,keyasint,omitempty"`
	Count int    `cbor:"2,keyasint,omitempty"`
	// Oldest is how long the oldest of them had waited when the message was sent.
	Oldest time.Duration `cbor:"3,keyasint,omitempty"`
}

// ModelRate is the number of requests per second for a model of a service.
type ModelRate struct {
	Service string  `cbor:"1,keyasint,omitempty"`
	Model   string  `cbor:"2,keyasint,omitempty"`
	Rate    float32 `cbor:"3,keyasint,omitempty"`
}

// EngineUpdate is the status of an engine as its keeper knows it.
type EngineUpdate struct {
	// ID identifies the engine, and Started its start; see registry.Backend.
	ID      string `cbor:"1,keyasint,omitempty"`
	Started int64  `cbor:"2,keyasint,omitempty"`
	// Orders counts the orders that the engine has accepted.
	Orders uint64 `cbor:"3,keyasint,omitempty"`
	// Version increases with each change of the status at one keeper.
	Version uint64 `cbor:"4,keyasint,omitempty"`
	// Swapping is whether models are being loaded or unloaded.
	Swapping bool `cbor:"5,keyasint,omitempty"`
	// ReservedBytes is the memory that orders to an earlier start of the engine may still
	// take.
	ReservedBytes int64 `cbor:"6,keyasint,omitempty"`
	// Models are the models that accept requests, with their adapters.
	Models []EngineModel `cbor:"7,keyasint,omitempty"`
	// Loading is the model that is being loaded, empty if there is none. LoadTimeLeft is the
	// expected time until it is loaded, and FromStore is whether the weight store delivers
	// it.
	Loading      string        `cbor:"8,keyasint,omitempty"`
	LoadTimeLeft time.Duration `cbor:"9,keyasint,omitempty"`
	FromStore    bool          `cbor:"10,keyasint,omitempty"`
}

// EngineModel is a model that accepts requests on an engine.
type EngineModel struct {
	Model    string   `cbor:"1,keyasint,omitempty"`
	Adapters []string `cbor:"2,keyasint,omitempty"`
}

// SwapArgs requests that an engine's keeper unload and load models.
type SwapArgs struct {
	Engine string   `cbor:"1,keyasint,omitempty"`
	Unload []string `cbor:"2,keyasint,omitempty"`
	Load   string   `cbor:"3,keyasint,omitempty"`
	// LoadTime is the expected duration of the load.
	LoadTime time.Duration `cbor:"4,keyasint,omitempty"`
	// HasLocalCopy is whether the engine has a copy of the weights. Its load time is then
	// predictable and equals LoadTime.
	HasLocalCopy bool `cbor:"5,keyasint,omitempty"`
	// Reason is why the swap is requested, for the keeper's log.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// SwapReply reports whether the keeper has begun the swap.
type SwapReply struct {
	Begun  bool   `cbor:"1,keyasint,omitempty"`
	Reason string `cbor:"2,keyasint,omitempty"`
	// Silent is whether the engine did not answer the keeper.
	Silent bool `cbor:"3,keyasint,omitempty"`
	// Update is the keeper's status of the engine, nil if it has none. Keeper names the
	// keeper's process.
	Update *EngineUpdate `cbor:"4,keyasint,omitempty"`
	Keeper string        `cbor:"5,keyasint,omitempty"`
}

// AdapterArgs requests that an engine's keeper load an adapter for a model that the engine
// holds.
type AdapterArgs struct {
	Engine  string `cbor:"1,keyasint,omitempty"`
	Model   string `cbor:"2,keyasint,omitempty"`
	Adapter string `cbor:"3,keyasint,omitempty"`
}

// AdapterReply reports whether the adapter is loaded, and the status of the engine.
type AdapterReply struct {
	Loaded bool         `cbor:"1,keyasint,omitempty"`
	Reason string       `cbor:"2,keyasint,omitempty"`
	Update EngineUpdate `cbor:"3,keyasint,omitempty"`
}

// ReleaseArgs requests that a former owner of a shard stop sending orders.
type ReleaseArgs struct {
	Group      string `cbor:"1,keyasint,omitempty"`
	Index      int    `cbor:"2,keyasint,omitempty"`
	Generation uint64 `cbor:"3,keyasint,omitempty"`
	// Settled is the Settled field of the receiver's ownership record.
	Settled bool `cbor:"4,keyasint,omitempty"`
}

// ReleaseReply reports how long ago the last order was sent, negative if one is in flight.
// Released is false if the VM can't tell, or holds the shard under a newer generation.
type ReleaseReply struct {
	Released  bool          `cbor:"1,keyasint,omitempty"`
	LastOrder time.Duration `cbor:"2,keyasint,omitempty"`
}

// KnowledgeArgs say what a VM needs. The zero value, which VMs of an older version send, requests
// everything, uncompressed.
type KnowledgeArgs struct {
	// ForFeed requests what the registry listed up to a position from which the caller can go on
	// reading changes, compressed with gzip.
	ForFeed bool `cbor:"1,keyasint,omitempty"`
	// Configuration is the version that the caller has in force, 0 for none. With ForFeed, only a newer
	// one is sent.
	Configuration uint64 `cbor:"2,keyasint,omitempty"`
	// WithoutBackends omits the list of backend servers.
	WithoutBackends bool `cbor:"3,keyasint,omitempty"`
	// BackendsCursor is up to where the caller knows the list, 0 for nothing. With ForFeed, only a newer
	// list is sent.
	BackendsCursor uint64 `cbor:"4,keyasint,omitempty"`
}

// KnowledgeReply is what a VM needs to start, or a configuration that it lacks.
type KnowledgeReply struct {
	// Configuration is the source of the newest configuration, nil if none is known.
	Configuration []byte `cbor:"1,keyasint,omitempty"`
	// Backends is the list of backend servers, encoded with encoding/gob.
	Backends []byte `cbor:"2,keyasint,omitempty"`
	// ConfigurationPosition and BackendsPosition are set for a caller that asked ForFeed if this VM has
	// the topic.
	ConfigurationPosition *FeedPosition `cbor:"3,keyasint,omitempty"`
	BackendsPosition      *FeedPosition `cbor:"4,keyasint,omitempty"`
}

// FeedPosition says up to where a VM has read a topic of the registry.
type FeedPosition struct {
	// Cursor is where the changes begin that the VM doesn't have.
	Cursor uint64 `cbor:"1,keyasint,omitempty"`
	// Age is the time since it last knew all changes.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
	// Version is the version of the configuration in force.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// Empty is a message without content.
type Empty struct{}

// Coordinator handles the messages of other entry VMs that use the platform's registry.
type Coordinator interface {
	Report(Report) Report
	Swap(SwapArgs) SwapReply
	Adapter(AdapterArgs) AdapterReply
	Release(ReleaseArgs) ReleaseReply
	Knowledge(KnowledgeArgs) KnowledgeReply
	Lease(LeaseArgs) LeaseReply
	Lend(LendArgs) LendReply
	Demand(DemandReport) DemandReport
	Permit(PermitArgs) PermitReply
	Room(RoomArgs) RoomReply
	StreamVersions(StreamVersionsArgs)
	FindStream(FindStreamArgs) FindStreamReply
}

// coordination is the net/rpc receiver that calls a Coordinator.
type coordination struct{ coordinator Coordinator }

// Report answers Coordination.Report.
func (c *coordination) Report(args *Report, reply *Report) error {
	*reply = c.coordinator.Report(*args)
	return nil
}

// Swap answers Coordination.Swap.
func (c *coordination) Swap(args *SwapArgs, reply *SwapReply) error {
	*reply = c.coordinator.Swap(*args)
	return nil
}

// Adapter answers Coordination.Adapter.
func (c *coordination) Adapter(args *AdapterArgs, reply *AdapterReply) error {
	*reply = c.coordinator.Adapter(*args)
	return nil
}

// Release answers Coordination.Release.
func (c *coordination) Release(args *ReleaseArgs, reply *ReleaseReply) error {
	*reply = c.coordinator.Release(*args)
	return nil
}

// Knowledge answers Coordination.Knowledge.
func (c *coordination) Knowledge(args *KnowledgeArgs, reply *KnowledgeReply) error {
	*reply = c.coordinator.Knowledge(*args)
	return nil
}

// ServeCoordination answers other entry VMs on the listener until ctx ends, like Serve.
func ServeCoordination(ctx context.Context, listener net.Listener, secret []byte, coordinator Coordinator, tlsConfig *tls.Config, options ...Option) error {
	return serve(ctx, listener, secret, coordinationServiceName, &coordination{coordinator}, tlsConfig, options...)
}

// Report sends a report and returns the peer's report.
func (c *Client) Report(ctx context.Context, address string, report Report) (Report, error) {
	return call[Report](ctx, c, connKey{address: address}, coordinationServiceName+".Report", &report)
}

// Swap requests a swap from the keeper of an engine.
func (c *Client) Swap(ctx context.Context, address string, swap SwapArgs) (SwapReply, error) {
	return call[SwapReply](ctx, c, connKey{address: address}, coordinationServiceName+".Swap", &swap)
}

// Adapter requests an adapter from the keeper of an engine.
func (c *Client) Adapter(ctx context.Context, address string, adapter AdapterArgs) (AdapterReply, error) {
	return call[AdapterReply](ctx, c, connKey{address: address}, coordinationServiceName+".Adapter", &adapter)
}

// Release requests that a former owner of a shard stop sending orders.
func (c *Client) Release(ctx context.Context, address string, release ReleaseArgs) (ReleaseReply, error) {
	return call[ReleaseReply](ctx, c, connKey{address: address}, coordinationServiceName+".Release", &release)
}

// Knowledge fetches the configuration and the list of backend servers from another VM. The
// answer may take any time up to the call's deadline, but fails once no byte has arrived for
// knowledgeStallTimeout.
func (c *Client) Knowledge(ctx context.Context, address string, args KnowledgeArgs) (KnowledgeReply, error) {
	return call[KnowledgeReply](ctx, c, connKey{address, classKnowledge}, coordinationServiceName+".Knowledge", &args)
}
