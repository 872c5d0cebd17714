package settings

import (
	"strings"
	"time"
)

// maxClaimShards is sufficient for 10,000 appends per second at 40 per stream for all its
// writers together. It is bounded because each holder does work for each of its shards.
const maxClaimShards = 256

// fields lists all keys, in the order of the sample.
var fields = []field{
	{
		section: "vm", key: "id", required: true, example: "entry-1",
		help: "the platform's name of this VM; a replacement gets another one",
		set:  nameSetter(func(s *Settings) *string { return &s.VM.ID }),
	},
	{
		section: "vm", key: "domain", required: true, example: "port-of-spain-a",
		help: "failure domain of this VM, as the VM list spells it",
		set:  nameSetter(func(s *Settings) *string { return &s.VM.Domain }),
	},
	{
		section: "vm", key: "region", defaultValue: "main",
		help: "region of the failure domain; one name is enough where there is one region",
		set:  nameSetter(func(s *Settings) *string { return &s.VM.Region }),
	},
	{
		section: "vm", key: "callers_address", required: true, example: "10.0.1.7:8080",
		help: "IP:port that callers are served on",
		set:  addressSetter(func(s *Settings) *string { return &s.VM.CallersAddress }),
	},
	{
		section: "vm", key: "operators_address", required: true, logOnly: true, example: "10.0.1.7:8081",
		help: "IP:port that operators are served on",
		set:  addressSetter(func(s *Settings) *string { return &s.VM.OperatorsAddress }),
	},
	{
		section: "vm", key: "peers_address", required: true, example: "10.0.1.7:8082",
		help: "IP:port that the other entry VMs are served on",
		set:  addressSetter(func(s *Settings) *string { return &s.VM.PeersAddress }),
	},
	{
		section: "vm", key: "callers_advertise",
		help: "IP:port that callers are sent to; default: callers_address",
		set:  advertisedAddressSetter(func(s *Settings) *string { return &s.VM.CallersAdvertise }),
	},
	{
		section: "vm", key: "operators_advertise",
		help: "IP:port that operators are sent to; default: operators_address",
		set:  advertisedAddressSetter(func(s *Settings) *string { return &s.VM.OperatorsAdvertise }),
	},
	{
		section: "vm", key: "peers_advertise",
		help: "IP:port that the other entry VMs connect to; default: peers_address",
		set:  advertisedAddressSetter(func(s *Settings) *string { return &s.VM.PeersAdvertise }),
	},
	{
		section: "vm", key: "ready_address",
		help: "IP:port where a hosting platform's balancer asks for /ready; needed for kind = hosted",
		set:  addressSetter(func(s *Settings) *string { return &s.VM.ReadyAddress }),
	},
	{
		section: "vm", key: "first_start", defaultValue: "false",
		help: "whether the whole system starts for the first time, so that nobody can have given orders to engines before",
		set:  boolSetter(func(s *Settings) *bool { return &s.VM.FirstStart }),
	},
	{
		section: "platform", key: "kind", defaultValue: string(PlatformLog),
		help: "log: a log, a VM list and a weight store; hosted: a registry that keeps configuration, backend servers and leases",
		set: enumSetter([]string{string(PlatformLog), string(PlatformHosted)}, func(s *Settings) *string {
			return (*string)(&s.Platform.Kind)
		}),
	},
	{
		section: "platform", key: "registry", required: true, hostedOnly: true,
		help: "IP:port of the registry of a hosting platform",
		set:  addressSetter(func(s *Settings) *string { return &s.Platform.Registry }),
	},
	{
		section: "platform", key: "customer", defaultValue: "customer",
		help: "the customer whose contract a hosting platform's configuration is",
		set:  nameSetter(func(s *Settings) *string { return &s.Platform.Customer }),
	},
	{
		section: "platform", key: "shards", defaultValue: "12",
		help: "shards that the engines of a failure domain are spread over, each ordered by one entry VM; as many as the registry shares out",
		set:  intSetter(1, 4096, func(s *Settings) *int { return &s.Platform.Shards }),
	},
	{
		section: "platform", key: "order_quiet", defaultValue: "3s",
		help: "least time between the last order of one entry VM to an engine and the first of the next, on a hosting platform",
		set:  durationSetter(0, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.MinHandoverGap }),
	},
	{
		section: "platform", key: "apply_within", defaultValue: "2s",
		help: "how soon a new configuration must be in force on a hosting platform; the registry is asked as rarely as that allows",
		set:  durationSetter(200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.MaxApplyDelay }),
	},
	{
		section: "platform", key: "drain_within", defaultValue: "2s",
		help: "how soon a leaving backend server must get no new work, on a hosting platform",
		set:  durationSetter(200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.MaxDrainDelay }),
	},
	{
		section: "platform", key: "refuse_unsure_after", defaultValue: "0s",
		help: "age of the newest known configuration from which requests with API keys are refused, as a key may have been taken away since; 0s: serve by what is known",
		set:  durationSetter(0, time.Hour, func(s *Settings) *time.Duration { return &s.Platform.MaxConfigurationAge }),
	},
	{
		section: "platform", key: "log_url", required: true, logOnly: true, example: "http://10.0.0.2:9001",
		help: "base URL of the platform's log",
		set:  platformURLSetter(func(s *Settings) *string { return &s.Platform.LogURL }),
	},
	{
		section: "platform", key: "log_retention", defaultValue: "24h",
		help: "least time that the log keeps a record; 24 snapshots are written in it, so that a new VM always finds one",
		set:  durationSetter(10*time.Minute, 10*365*24*time.Hour, func(s *Settings) *time.Duration { return &s.Platform.LogRetention }),
	},
	{
		section: "platform", key: "vmlist_url", required: true, logOnly: true, example: "http://10.0.0.2:9002",
		help: "base URL of the platform's VM list",
		set:  platformURLSetter(func(s *Settings) *string { return &s.Platform.VMListURL }),
	},
	{
		section: "platform", key: "weightstore_url", required: true, logOnly: true, example: "http://10.0.0.2:9003",
		help: "base URL of the weight store",
		set:  platformURLSetter(func(s *Settings) *string { return &s.Platform.WeightStoreURL }),
	},
	{
		section: "peers", key: "secret", required: true, secret: true, example: sampleSecret,
		help: "shared by all entry VMs, who prove it to each other; at least 32 characters",
		set:  setSecret,
	},
	{
		section: "peers", key: "seeds",
		help: "peers_address of some entry VMs, commas between them; any may be gone. For kind = hosted: elsewhere the VM list names them",
		set:  addressListSetter(func(s *Settings) *[]string { return &s.Peers.Seeds }),
	},
	{
		section: "peers", key: "domains",
		help: "all failure domains with entry VMs, commas between them: each keeps an even part of a workspace's quota while it is cut off; without it the domains met since the start count",
		set:  nameListSetter(func(s *Settings) *[]string { return &s.Peers.Domains }),
	},
	{
		section: "operators", key: "token_sha256", required: true, logOnly: true, secret: true,
		example: strings.Repeat("0", hashLength),
		help:    "hashes of the operators' tokens (printf %s TOKEN | sha256sum), commas between them; two while a token is replaced",
		set:     setTokenHashes,
	},
	{
		section: "tls", key: "callers_cert",
		help: "PEM file with the certificate for callers; without it callers are served plain HTTP",
		set:  textSetter(func(s *Settings) *string { return &s.TLS.CallersCert }),
	},
	{
		section: "tls", key: "callers_key",
		help: "PEM file with the key of callers_cert",
		set:  textSetter(func(s *Settings) *string { return &s.TLS.CallersKey }),
	},
	{
		section: "tls", key: "operators_cert",
		help: "PEM file with the certificate for operators; without it operators are served plain HTTP",
		set:  textSetter(func(s *Settings) *string { return &s.TLS.OperatorsCert }),
	},
	{
		section: "tls", key: "operators_key",
		help: "PEM file with the key of operators_cert",
		set:  textSetter(func(s *Settings) *string { return &s.TLS.OperatorsKey }),
	},
	{
		section: "limits", key: "header_bytes", defaultValue: "16KiB",
		help: "longest header of a request; real ones stay under 4 KiB",
		set:  bytesSetter(1<<10, 1<<20, func(s *Settings, bytes int64) { s.Limits.HeaderBytes = int(bytes) }),
	},
	{
		section: "limits", key: "body_bytes", defaultValue: "4MiB",
		help: "longest body of a request; a prompt of 128k tokens takes less than 1 MiB",
		set:  bytesSetter(1<<10, 1<<30, func(s *Settings, bytes int64) { s.Limits.BodyBytes = bytes }),
	},
	{
		section: "limits", key: "held_bytes", defaultValue: "128MiB",
		help: "bodies of all requests under way, those that are arriving included; at least three times body_bytes, and on a hosting platform at most a quarter of memory. 10,000 streams with 12 KiB of prompt each",
		set:  bytesSetter(1<<20, 1<<40, func(s *Settings, bytes int64) { s.Limits.HeldBytes = bytes }),
	},
	{
		section: "limits", key: "answer_bytes", defaultValue: "16MiB",
		help: "longest answer that is put together before it is sent (stream false); longer ones must be streamed",
		set:  bytesSetter(1<<10, 1<<30, func(s *Settings, bytes int64) { s.Limits.AnswerBytes = bytes }),
	},
	{
		section: "limits", key: "read_timeout", defaultValue: "10s",
		help: "longest time to read a request; slower callers would hold connections for nothing",
		set:  durationSetter(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.ReadTimeout }),
	},
	{
		section: "limits", key: "write_timeout", defaultValue: "10s",
		help: "longest time that one write waits for a caller who doesn't read; longer ones would hold memory and engines for nobody",
		set:  durationSetter(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout }),
	},
	{
		section: "limits", key: "idle_timeout", defaultValue: "60s",
		help: "how long a connection without requests stays open; outlasts a clerk's pause between two questions",
		set:  durationSetter(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
	},
	{
		section: "limits", key: "connections", defaultValue: "20000",
		help: "open connections of callers; twice the 10,000 streams a VM is measured with",
		set:  intSetter(1, 1_000_000, func(s *Settings) *int { return &s.Limits.Connections }),
	},
	{
		section: "limits", key: "memory", defaultValue: "1TiB",
		help: "memory of this VM for the process, on a hosting platform; from three quarters of it on memory is given back sooner, at the cost of processor time",
		set:  bytesSetter(32<<20, 1<<50, func(s *Settings, bytes int64) { s.Limits.Memory = bytes }),
	},
	{
		section: "limits", key: "queue", defaultValue: "4096",
		help: "waiting requests of all customers; some kB each, over a minute of work",
		set:  intSetter(1, 1_000_000, func(s *Settings) *int { return &s.Limits.Queue }),
	},
	{
		section: "policy", key: "cold_start_weight", defaultValue: "0.5",
		help: "0.01 to 1: near 0 saves idle accelerator hours, near 1 saves waiting at cold starts",
		set:  floatSetter(0.01, 1, func(s *Settings) *float64 { return &s.Policy.ColdStartWeight }),
	},
	{
		section: "policy", key: "keep_alive_min", defaultValue: "20s",
		help: "least time an idle replica stays; outlasts the pause between two questions, so that two models don't evict each other in turns",
		set:  durationSetter(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.KeepAliveMin }),
	},
	{
		section: "policy", key: "keep_alive_max", defaultValue: "2h",
		help: "longest time an idle replica stays, whatever its history says; longer gaps are the next shift",
		set:  durationSetter(time.Second, 7*24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.KeepAliveMax }),
	},
	{
		section: "policy", key: "preload", defaultValue: "true",
		help: "load ahead of demand that a model's own history makes likely",
		set:  boolSetter(func(s *Settings) *bool { return &s.Policy.Preload }),
	},
	{
		section: "policy", key: "heartbeat", defaultValue: "500ms",
		help: "time between two digests to a peer; a VM unheard for six of them counts as gone",
		set:  durationSetter(10*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Policy.HeartbeatInterval }),
	},
	{
		section: "policy", key: "session_term", defaultValue: "10s",
		help: "life of a keeper's session without a renewal; several renewals may be lost in it, and a dead keeper is replaced after it",
		set:  durationSetter(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Policy.SessionTerm }),
	},
	{
		section: "policy", key: "message_lifetime", defaultValue: "2m",
		help: "longest time a sent message can take to arrive; after it a VM that has left the VM list has no order under way",
		set:  durationSetter(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Policy.MessageLifetime }),
	},
	{
		section: "policy", key: "claim_window", defaultValue: "24h",
		help: "how long an idempotency key is remembered; snapshots hold the keys, so it may be longer than the log's retention",
		set:  durationSetter(time.Minute, 7*24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.ClaimTTL }),
	},
	{
		section: "policy", key: "claim_shards", defaultValue: "1",
		help: "streams of claims, each held by two entry VMs of a failure domain; 1 is held by all. The same on all entry VMs for all time",
		set:  intSetter(1, maxClaimShards, func(s *Settings) *int { return &s.Policy.ClaimShards }),
	},
	{
		section: "policy", key: "retry_budget", defaultValue: "0.1",
		help: "share of the traffic that may be retries, beside retry_slack; more would let an overload feed itself",
		set:  floatSetter(0, 1, func(s *Settings) *float64 { return &s.Policy.RetryBudget }),
	},
	{
		section: "policy", key: "retry_slack", defaultValue: "30",
		help: "retries that all entry VMs together may make within retry_window beyond retry_budget, so that a single failure at a VM with little traffic is retried",
		set:  floatSetter(0, 1e9, func(s *Settings) *float64 { return &s.Policy.RetrySlack }),
	},
	{
		section: "policy", key: "retry_window", defaultValue: "10s",
		help: "the time span in which retry_budget and retry_slack hold",
		set:  durationSetter(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Policy.RetryWindow }),
	},
	{
		section: "policy", key: "quota_slack", defaultValue: "0",
		help: "units beyond its quota that a workspace may use for a short time: quotas that are small beside a single request are refused less often below them",
		set:  floatSetter(0, 1e12, func(s *Settings) *float64 { return &s.Policy.QuotaSlack }),
	},
	{
		section: "policy", key: "engine_pace", defaultValue: "false",
		help: "share between entry VMs how fast engines write streams, and send streams where their routes' target gap can be kept; for kind = hosted",
		set:  boolSetter(func(s *Settings) *bool { return &s.Policy.EnginePace }),
	},
	{
		section: "policy", key: "fair_workspaces", defaultValue: "false",
		help: "share a contended pool fairly between workspaces over all entry VMs, by the engine time that they use; for kind = hosted",
		set:  boolSetter(func(s *Settings) *bool { return &s.Policy.FairWorkspaces }),
	},
	{
		section: "policy", key: "backend_queues", defaultValue: "false",
		help: "let plain services with fewer places than entry VMs queue requests themselves, as far as they accept it; for kind = hosted",
		set:  boolSetter(func(s *Settings) *bool { return &s.Policy.BackendQueues }),
	},
	{
		section: "policy", key: "fleet_admission", defaultValue: "false",
		help: "refuse requests that the whole fleet can't serve in time, with retry times that spread their returns; for kind = hosted",
		set:  boolSetter(func(s *Settings) *bool { return &s.Policy.FleetAdmission }),
	},
	{
		section: "policy", key: "spread_returns", defaultValue: "false",
		help: "give requests beyond a workspace's quota retry times that spread their returns over the credit that accrues; for kind = hosted",
		set:  boolSetter(func(s *Settings) *bool { return &s.Policy.SpreadReturns }),
	},
	{
		section: "policy", key: "shutdown_grace", defaultValue: "15m",
		help: "longest graceful shutdown; longer than any answer streams, so that none is cut off",
		set:  durationSetter(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.ShutdownGrace }),
	},
	{
		section: "log", key: "level", defaultValue: "info",
		help: "debug, info, warn or error",
		set:  enumSetter([]string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
	},
	{
		section: "traces", key: "otlp_endpoint",
		help: "base URL of an OTLP collector (HTTP); without it there are no traces",
		set:  baseURLSetter(func(s *Settings) *string { return &s.Traces.OTLPEndpoint }),
	},
	{
		section: "traces", key: "sample", defaultValue: "0.01",
		help: "share of the requests that is traced; one in a hundred keeps the cost below that of serving",
		set:  floatSetter(0, 1, func(s *Settings) *float64 { return &s.Traces.Sample }),
	},
	{
		section: "metrics", key: "address",
		help: "IP:port that serves /metrics, /healthz and /readyz; without it they are served on operators_address",
		set:  addressSetter(func(s *Settings) *string { return &s.Metrics.Address }),
	},
}
