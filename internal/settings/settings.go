// Package settings reads the settings of the entry daemon: an INI file, typed,
// defaulted and checked at start, so that a mistake is one clear line and not a
// failure at night. It does no network I/O.
package settings

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("settings")

// ExitCode is the process's exit code for a mistake in the settings.
const ExitCode = 2

// Settings are the settings of one entry VM. Load fills them; nothing changes
// them afterwards.
type Settings struct {
	// File is where they were read from, and source its text, for messages.
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

// VM says who this entry VM is and where it listens. All addresses are IP:port.
type VM struct {
	// ID is the platform's name of the VM; a replacement has another one.
	ID string
	// Domain is the failure domain and Region groups domains.
	Domain string
	Region string
	// CallersAddress serves callers, OperatorsAddress operators and
	// PeersAddress the other entry VMs.
	CallersAddress   string
	OperatorsAddress string
	PeersAddress     string
	// CallersAdvertise, OperatorsAdvertise and PeersAdvertise are what others
	// are told to connect to.
	CallersAdvertise   string
	OperatorsAdvertise string
	PeersAdvertise     string
	// ReadyAddress is where a hosting platform's balancer asks for readiness.
	ReadyAddress string
	// FirstStart is whether the whole system starts for the first time.
	FirstStart bool
}

// PlatformKind is what a platform offers.
type PlatformKind string

const (
	// PlatformLog offers a log, a VM list and a weight store.
	PlatformLog PlatformKind = "log"
	// PlatformHosted keeps configuration, backend servers and leases in a registry.
	PlatformHosted PlatformKind = "hosted"
)

// Platform tells where the platform's services are.
type Platform struct {
	Kind PlatformKind
	// Registry is IP:port, Customer the contract's customer that the platform's
	// configuration is for, Shards how many shards a domain's engines are spread
	// over; for PlatformHosted.
	Registry string
	Customer string
	Shards   int
	// OrderQuiet is the least time between two VMs' orders to one engine.
	MinHandoverGap time.Duration
	// ApplyWithin is how soon a configuration must be in force, DrainWithin how soon a
	// leaving backend server must get no new work.
	MaxApplyDelay, MaxDrainDelay time.Duration
	// RefuseUnsureAfter is the age of the newest known configuration from which requests
	// with API keys are refused, 0 for never.
	MaxConfigurationAge time.Duration
	LogURL              string
	// LogRetention is the least time that the log keeps a record.
	LogRetention   time.Duration
	VMListURL      string
	WeightStoreURL string
}

// Peers holds what entry VMs need to trust each other.
type Peers struct {
	// Secret is shared by the whole fleet.
	Secret string
	// Seeds are addresses of entry VMs, of which any may be gone.
	Seeds []string
	// Domains are all failure domains with entry VMs, empty where they are not known.
	Domains []string
}

// Operators holds what operators need to get in.
type Operators struct {
	// TokenSHA256 are the lower-case hex hashes of the accepted tokens; two at
	// once let a token be replaced without a gap.
	TokenSHA256 []string
}

// TLS names certificate and key files (PEM). Empty: plain HTTP.
type TLS struct {
	CallersCert   string
	CallersKey    string
	OperatorsCert string
	OperatorsKey  string
}

// Limits bound what callers can make the entry VM hold.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeldBytes bounds the bodies of all requests under way, AnswerBytes one
	// answer that is put together before it is sent.
	HeldBytes   int64
	AnswerBytes int64
	ReadTimeout time.Duration
	// WriteTimeout bounds one write to a caller, IdleTimeout a connection
	// without requests.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	Connections  int
	// Memory bounds the process's memory, 0 for no bound.
	Memory int64
	// Queue bounds the waiting requests of all customers.
	Queue int
}

// Policy is the deployment's choice between speed, cost and patience.
type Policy struct {
	// ColdStartWeight from 0 to 1 weighs the tail of cold starts against idle
	// accelerator hours.
	ColdStartWeight float64
	// KeepAliveMin and KeepAliveMax bound how long an idle replica stays.
	KeepAliveMin time.Duration
	KeepAliveMax time.Duration
	// Preload turns loading ahead of expected demand on.
	Preload bool
	// Heartbeat is the time between two digests to a peer.
	HeartbeatInterval time.Duration
	// SessionTerm is how long a keeper's session lives without a renewal.
	SessionTerm time.Duration
	// MessageLifetime is the longest time a sent message can take to arrive.
	MessageLifetime time.Duration
	// ClaimWindow is how long an idempotency key is remembered.
	ClaimTTL time.Duration
	// ClaimShards is the number of streams that claims are spread over.
	ClaimShards int
	// QuotaSlack is how many units beyond its quota a workspace may use for a short time.
	QuotaSlack float64
	// RetryBudget is the share of the traffic that may be retries.
	RetryBudget float64
	// ShutdownGrace bounds a graceful shutdown.
	ShutdownGrace time.Duration
}

// Log says how much is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}

// Traces says where spans go.
type Traces struct {
	// OTLPEndpoint is the base URL of an OTLP collector; empty turns traces off.
	OTLPEndpoint string
	// Sample is the share of requests that is traced, from 0 to 1.
	Sample float64
}

// Metrics says where /metrics, /healthz and /readyz are served.
type Metrics struct {
	// Address is IP:port.
	Address string
}
