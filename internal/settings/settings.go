// Package settings reads the settings of the entry daemon from an INI file. It applies
// types and defaults and validates all values at start, so that errors are reported
// then, with their line, and not as failures in operation. It does no network I/O.
package settings

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// ExitCode is the exit code of the process for invalid settings.
const ExitCode = 2

// Settings are the settings of one entry VM. They are not modified after Load returns
// them.
type Settings struct {
	// File is the path of the settings file and source its text, for messages.
	File      string
	source    string
	VM        VM
	Platform  Platform
	Peers     Peers
	Operators Operators
	TLS       TLS
	Limits    Limits
	Policy    Policy
	Log       Log
	Traces    Traces
	Metrics   Metrics
}

// VM holds the identity and the addresses of this entry VM. All addresses are IP:port.
type VM struct {
	// ID is the platform's name for the VM; a replacement VM has another one.
	ID string
	// Domain is the failure domain of the VM, and Region the region of the domain.
	Domain string
	Region string
	// CallersAddress serves callers, OperatorsAddress operators and
	// PeersAddress the other entry VMs.
	CallersAddress   string
	OperatorsAddress string
	PeersAddress     string
	// CallersAdvertise, OperatorsAdvertise and PeersAdvertise are the addresses that
	// others connect to.
	CallersAdvertise   string
	OperatorsAdvertise string
	PeersAdvertise     string
	// ReadyAddress serves the readiness checks of a hosting platform's load balancer.
	ReadyAddress string
	// FirstStart is whether the whole system is starting for the first time.
	FirstStart bool
}

// PlatformKind is the kind of platform, by the services it offers.
type PlatformKind string

const (
	// PlatformLog offers a log, a VM list and a weight store.
	PlatformLog PlatformKind = "log"
	// PlatformHosted offers a registry for configuration, backend servers and leases.
	PlatformHosted PlatformKind = "hosted"
)

// Platform holds the kind of platform and the addresses of its services.
type Platform struct {
	Kind PlatformKind
	// Registry is the IP:port of the registry, Customer the customer whose contract is
	// the platform's configuration, and Shards the number of shards of a failure
	// domain's engines. They apply to PlatformHosted.
	Registry string
	Customer string
	Shards   int
	// MinHandoverGap is the minimum time between the last order of one VM to an engine
	// and the first order of the next VM.
	MinHandoverGap time.Duration
	// MaxApplyDelay bounds the time until a new configuration takes effect,
	// MaxDrainDelay the time until a leaving backend server gets no new requests.
	MaxApplyDelay, MaxDrainDelay time.Duration
	// MaxConfigurationAge is the age of the newest known configuration from which
	// requests with API keys are refused, 0 for never.
	MaxConfigurationAge time.Duration
	LogURL              string
	// LogRetention is the minimum time that the log keeps a record.
	LogRetention   time.Duration
	VMListURL      string
	WeightStoreURL string
}

// Peers holds the settings for connections between entry VMs.
type Peers struct {
	// Secret is shared by all entry VMs, which authenticate each other with it.
	Secret string
	// Seeds are addresses of entry VMs; any of them may no longer exist.
	Seeds []string
	// Domains are all failure domains with entry VMs, empty if they are not known.
	Domains []string
}

// Operators holds the credentials of operators.
type Operators struct {
	// TokenSHA256 are the hashes of the accepted tokens in lower-case hexadecimal.
	// Several are allowed, so that a token can be replaced without an interruption.
	TokenSHA256 []string
}

// TLS holds the paths of certificate and key files in PEM format. Listeners without a
// certificate serve plain HTTP.
type TLS struct {
	CallersCert   string
	CallersKey    string
	OperatorsCert string
	OperatorsKey  string
}

// Limits bounds the resources that callers can occupy on the entry VM.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeldBytes bounds the total size of the bodies of all requests in flight,
	// AnswerBytes the size of a response that is assembled before it is sent.
	HeldBytes   int64
	AnswerBytes int64
	ReadTimeout time.Duration
	// WriteTimeout bounds a single write to a caller, IdleTimeout the life of a
	// connection without requests.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	Connections  int
	// Memory is the memory of this VM that the process may use, for PlatformHosted.
	Memory int64
	// Queue bounds the total number of waiting requests of all customers.
	Queue int
}

// Policy holds the deployment's trade-offs between latency, cost and waiting times.
type Policy struct {
	// ColdStartWeight, from 0.01 to 1, weighs the tail latency of cold starts against
	// idle accelerator hours.
	ColdStartWeight float64
	// KeepAliveMin and KeepAliveMax bound how long an idle replica stays.
	KeepAliveMin time.Duration
	KeepAliveMax time.Duration
	// Preload enables loading models ahead of expected demand.
	Preload bool
	// HeartbeatInterval is the time between two digests to a peer.
	HeartbeatInterval time.Duration
	// SessionTerm is how long a keeper's session lives without a renewal.
	SessionTerm time.Duration
	// MessageLifetime is the maximum time that a sent message can take to arrive.
	MessageLifetime time.Duration
	// ClaimTTL is how long an idempotency key is remembered.
	ClaimTTL time.Duration
	// ClaimShards is the number of streams over which claims are distributed.
	ClaimShards int
	// EnginePace, FairWorkspaces, BackendQueues, FleetAdmission and SpreadReturns
	// switch on parts of the scheduling under load.
	EnginePace, FairWorkspaces, BackendQueues, FleetAdmission, SpreadReturns bool
	// QuotaSlack is the number of units by which a workspace may briefly exceed its quota.
	QuotaSlack float64
	// RetryBudget is the maximum fraction of the traffic that may be retries.
	RetryBudget float64
	// RetrySlack is how many more retries all entry VMs together may make within RetryWindow.
	RetrySlack  float64
	RetryWindow time.Duration
	// ShutdownGrace bounds the duration of a graceful shutdown.
	ShutdownGrace time.Duration
}

// Log holds the settings of logging.
type Log struct {
	// Level is the minimum level logged: debug, info, warn or error.
	Level string
}

// Traces holds the settings of tracing.
type Traces struct {
	// OTLPEndpoint is the base URL of an OTLP collector; empty disables tracing.
	OTLPEndpoint string
	// Sample is the fraction of requests that is traced, from 0 to 1.
	Sample float64
}

// Metrics holds the settings of the listener for /metrics, /healthz and /readyz.
type Metrics struct {
	// Address is the IP:port of the listener; if it is empty, the paths are served on
	// the operators' address.
	Address string
}
