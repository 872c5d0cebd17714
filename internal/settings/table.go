package settings

import (
	"strings"
	"time"
)

// maxClaimShards is enough for 10,000 appends a second at 40 for each stream's
// writers together; each holder has work for each of its shards.
const maxClaimShards = 256

// fields are all keys, in the order of the sample.
var fields = []field{
	{
		section: "vm", key: "id", required: true, example: "entry-1",
		help: "the platform's name of this VM; a replacement gets another one",
		set:  name(func(s *Settings) *string { return &s.VM.ID }),
	},
	{
		section: "vm", key: "domain", required: true, example: "port-of-spain-a",
		help: "failure domain of this VM, as the VM list spells it",
		set:  name(func(s *Settings) *string { return &s.VM.Domain }),
	},
	{
		section: "vm", key: "region", byDefault: "main",
		help: "region of the failure domain; one name is enough where there is one region",
		set:  name(func(s *Settings) *string { return &s.VM.Region }),
	},
	{
		section: "vm", key: "callers_address", required: true, example: "10.0.1.7:8080",
		help: "IP:port that callers are served on",
		set:  address(func(s *Settings) *string { return &s.VM.CallersAddress }),
	},
	{
		section: "vm", key: "operators_address", required: true, logOnly: true, example: "10.0.1.7:8081",
		help: "IP:port that operators are served on",
		set:  address(func(s *Settings) *string { return &s.VM.OperatorsAddress }),
	},
	{
		section: "vm", key: "peers_address", required: true, example: "10.0.1.7:8082",
		help: "IP:port that the other entry VMs are served on",
		set:  address(func(s *Settings) *string { return &s.VM.PeersAddress }),
	},
	{
		section: "vm", key: "callers_advertise",
		help: "IP:port that callers are sent to; default: callers_address",
		set:  reachable(func(s *Settings) *string { return &s.VM.CallersAdvertise }),
	},
	{
		section: "vm", key: "operators_advertise",
		help: "IP:port that operators are sent to; default: operators_address",
		set:  reachable(func(s *Settings) *string { return &s.VM.OperatorsAdvertise }),
	},
	{
		section: "vm", key: "peers_advertise",
		help: "IP:port that the other entry VMs connect to; default: peers_address",
		set:  reachable(func(s *Settings) *string { return &s.VM.PeersAdvertise }),
	},
	{
		section: "vm", key: "ready_address",
		help: "IP:port where a hosting platform's balancer asks for /ready; needed for kind = hosted",
		set:  address(func(s *Settings) *string { return &s.VM.ReadyAddress }),
	},
	{
		section: "vm", key: "first_start", byDefault: "false",
		help: "whether the whole system starts for the first time, so that nobody can have given orders to engines before",
		set:  boolean(func(s *Settings) *bool { return &s.VM.FirstStart }),
	},
	{
		section: "platform", key: "kind", byDefault: string(PlatformLog),
		help: "log: a log, a VM list and a weight store; hosted: a registry that keeps configuration, backend servers and leases",
		set: oneOf([]string{string(PlatformLog), string(PlatformHosted)}, func(s *Settings) *string {
			return (*string)(&s.Platform.Kind)
		}),
	},
	{
		section: "platform", key: "registry", required: true, hostedOnly: true,
		help: "IP:port of the registry of a hosting platform",
		set:  address(func(s *Settings) *string { return &s.Platform.Registry }),
	},
	{
		section: "platform", key: "customer", byDefault: "customer",
		help: "the customer whose contract a hosting platform's configuration is",
		set:  name(func(s *Settings) *string { return &s.Platform.Customer }),
	},
	{
		section: "platform", key: "shards", byDefault: "12",
		help: "shards that the engines of a failure domain are spread over, each ordered by one entry VM; as many as the registry shares out",
		set:  number(1, 4096, func(s *Settings) *int { return &s.Platform.Shards }),
	},
	{
		section: "platform", key: "order_quiet", byDefault: "3s",
		help: "least time between the last order of one entry VM to an engine and the first of the next, on a hosting platform",
		set:  duration(0, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.MinHandoverGap }),
	},
	{
		section: "platform", key: "apply_within", byDefault: "2s",
		help: "how soon a new configuration must be in force on a hosting platform; the registry is asked as rarely as that allows",
		set:  duration(200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.MaxApplyDelay }),
	},
	{
		section: "platform", key: "drain_within", byDefault: "2s",
		help: "how soon a leaving backend server must get no new work, on a hosting platform",
		set:  duration(200*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.MaxDrainDelay }),
	},
	{
		section: "platform", key: "refuse_unsure_after", byDefault: "0s",
		help: "age of the newest known configuration from which requests with API keys are refused, as a key may have been taken away since; 0s: serve by what is known",
		set:  duration(0, time.Hour, func(s *Settings) *time.Duration { return &s.Platform.MaxConfigurationAge }),
	},
	{
		section: "platform", key: "log_url", required: true, logOnly: true, example: "http://10.0.0.2:9001",
		help: "base URL of the platform's log",
		set:  platformURL(func(s *Settings) *string { return &s.Platform.LogURL }),
	},
	{
		section: "platform", key: "log_retention", byDefault: "24h",
		help: "least time that the log keeps a record; 24 snapshots are written in it, so that a new VM always finds one",
		set:  duration(10*time.Minute, 10*365*24*time.Hour, func(s *Settings) *time.Duration { return &s.Platform.LogRetention }),
	},
	{
		section: "platform", key: "vmlist_url", required: true, logOnly: true, example: "http://10.0.0.2:9002",
		help: "base URL of the platform's VM list",
		set:  platformURL(func(s *Settings) *string { return &s.Platform.VMListURL }),
	},
	{
		section: "platform", key: "weightstore_url", required: true, logOnly: true, example: "http://10.0.0.2:9003",
		help: "base URL of the weight store",
		set:  platformURL(func(s *Settings) *string { return &s.Platform.WeightStoreURL }),
	},
	{
		section: "peers", key: "secret", required: true, secret: true, example: sampleSecret,
		help: "shared by all entry VMs, who prove it to each other; at least 32 characters",
		set:  setSecret,
	},
	{
		section: "peers", key: "seeds",
		help: "peers_address of some entry VMs, commas between them; any may be gone. For kind = hosted: elsewhere the VM list names them",
		set:  addresses(func(s *Settings) *[]string { return &s.Peers.Seeds }),
	},
	{
		section: "peers", key: "domains",
		help: "all failure domains with entry VMs, commas between them: each keeps an even part of a workspace's quota while it is cut off; without it the domains met since the start count",
		set:  names(func(s *Settings) *[]string { return &s.Peers.Domains }),
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
		set:  text(func(s *Settings) *string { return &s.TLS.CallersCert }),
	},
	{
		section: "tls", key: "callers_key",
		help: "PEM file with the key of callers_cert",
		set:  text(func(s *Settings) *string { return &s.TLS.CallersKey }),
	},
	{
		section: "tls", key: "operators_cert",
		help: "PEM file with the certificate for operators; without it operators are served plain HTTP",
		set:  text(func(s *Settings) *string { return &s.TLS.OperatorsCert }),
	},
	{
		section: "tls", key: "operators_key",
		help: "PEM file with the key of operators_cert",
		set:  text(func(s *Settings) *string { return &s.TLS.OperatorsKey }),
	},
	{
		section: "limits", key: "header_bytes", byDefault: "16KiB",
		help: "longest header of a request; real ones stay under 4 KiB",
		set:  size(1<<10, 1<<20, func(s *Settings, bytes int64) { s.Limits.HeaderBytes = int(bytes) }),
	},
	{
		section: "limits", key: "body_bytes", byDefault: "4MiB",
		help: "longest body of a request; a prompt of 128k tokens takes less than 1 MiB",
		set:  size(1<<10, 1<<30, func(s *Settings, bytes int64) { s.Limits.BodyBytes = bytes }),
	},
	{
		section: "limits", key: "held_bytes", byDefault: "128MiB",
		help: "bodies of all requests under way; 10,000 streams with 12 KiB of prompt each",
		set:  size(1<<20, 1<<40, func(s *Settings, bytes int64) { s.Limits.HeldBytes = bytes }),
	},
	{
		section: "limits", key: "answer_bytes", byDefault: "16MiB",
		help: "longest answer that is put together before it is sent (stream false); longer ones must be streamed",
		set:  size(1<<10, 1<<30, func(s *Settings, bytes int64) { s.Limits.AnswerBytes = bytes }),
	},
	{
		section: "limits", key: "read_timeout", byDefault: "10s",
		help: "longest time to read a request; slower callers would hold connections for nothing",
		set:  duration(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.ReadTimeout }),
	},
	{
		section: "limits", key: "write_timeout", byDefault: "10s",
		help: "longest time that one write waits for a caller who doesn't read; longer ones would hold memory and engines for nobody",
		set:  duration(100*time.Millisecond, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Limits.WriteTimeout }),
	},
	{
		section: "limits", key: "idle_timeout", byDefault: "60s",
		help: "how long a connection without requests stays open; outlasts a clerk's pause between two questions",
		set:  duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout }),
	},
	{
		section: "limits", key: "connections", byDefault: "20000",
		help: "open connections of callers; twice the 10,000 streams a VM is measured with",
		set:  number(1, 1_000_000, func(s *Settings) *int { return &s.Limits.Connections }),
	},
	{
		section: "limits", key: "memory", byDefault: "1TiB",
		help: "memory of this VM for the process, on a hosting platform; from three quarters of it on memory is given back sooner, at the cost of processor time",
		set:  size(32<<20, 1<<50, func(s *Settings, bytes int64) { s.Limits.Memory = bytes }),
	},
	{
		section: "limits", key: "queue", byDefault: "4096",
		help: "waiting requests of all customers; some kB each, over a minute of work",
		set:  number(1, 1_000_000, func(s *Settings) *int { return &s.Limits.Queue }),
	},
	{
		section: "policy", key: "cold_start_weight", byDefault: "0.5",
		help: "0.01 to 1: near 0 saves idle accelerator hours, near 1 saves waiting at cold starts",
		set:  share(0.01, 1, func(s *Settings) *float64 { return &s.Policy.ColdStartWeight }),
	},
	{
		section: "policy", key: "keep_alive_min", byDefault: "20s",
		help: "least time an idle replica stays; outlasts the pause between two questions, so that two models don't evict each other in turns",
		set:  duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.KeepAliveMin }),
	},
	{
		section: "policy", key: "keep_alive_max", byDefault: "2h",
		help: "longest time an idle replica stays, whatever its history says; longer gaps are the next shift",
		set:  duration(time.Second, 7*24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.KeepAliveMax }),
	},
	{
		section: "policy", key: "preload", byDefault: "true",
		help: "load ahead of demand that a model's own history makes likely",
		set:  boolean(func(s *Settings) *bool { return &s.Policy.Preload }),
	},
	{
		section: "policy", key: "heartbeat", byDefault: "500ms",
		help: "time between two digests to a peer; a VM unheard for six of them counts as gone",
		set:  duration(10*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Policy.HeartbeatInterval }),
	},
	{
		section: "policy", key: "session_term", byDefault: "10s",
		help: "life of a keeper's session without a renewal; several renewals may be lost in it, and a dead keeper is replaced after it",
		set:  duration(time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Policy.SessionTerm }),
	},
	{
		section: "policy", key: "message_lifetime", byDefault: "2m",
		help: "longest time a sent message can take to arrive; after it a VM that has left the VM list has no order under way",
		set:  duration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.Policy.MessageLifetime }),
	},
	{
		section: "policy", key: "claim_window", byDefault: "24h",
		help: "how long an idempotency key is remembered; snapshots hold the keys, so it may be longer than the log's retention",
		set:  duration(time.Minute, 7*24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.ClaimTTL }),
	},
	{
		section: "policy", key: "claim_shards", byDefault: "1",
		help: "streams of claims, each held by two entry VMs of a failure domain; 1 is held by all. The same on all entry VMs for all time",
		set:  number(1, maxClaimShards, func(s *Settings) *int { return &s.Policy.ClaimShards }),
	},
	{
		section: "policy", key: "retry_budget", byDefault: "0.1",
		help: "share of the traffic that may be retries, beside three in ten seconds that are always allowed; more would let an overload feed itself",
		set:  share(0, 1, func(s *Settings) *float64 { return &s.Policy.RetryBudget }),
	},
	{
		section: "policy", key: "quota_slack", byDefault: "0",
		help: "units beyond its quota that a workspace may use for a short time: quotas that are small beside a single request are refused less often below them",
		set:  share(0, 1e12, func(s *Settings) *float64 { return &s.Policy.QuotaSlack }),
	},
	{
		section: "policy", key: "shutdown_grace", byDefault: "15m",
		help: "longest graceful shutdown; longer than any answer streams, so that none is cut off",
		set:  duration(time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.Policy.ShutdownGrace }),
	},
	{
		section: "log", key: "level", byDefault: "info",
		help: "debug, info, warn or error",
		set:  oneOf([]string{"debug", "info", "warn", "error"}, func(s *Settings) *string { return &s.Log.Level }),
	},
	{
		section: "traces", key: "otlp_endpoint",
		help: "base URL of an OTLP collector (HTTP); without it there are no traces",
		set:  baseURL(func(s *Settings) *string { return &s.Traces.OTLPEndpoint }),
	},
	{
		section: "traces", key: "sample", byDefault: "0.01",
		help: "share of the requests that is traced; one in a hundred keeps the cost below that of serving",
		set:  share(0, 1, func(s *Settings) *float64 { return &s.Traces.Sample }),
	},
	{
		section: "metrics", key: "address",
		help: "IP:port that serves /metrics, /healthz and /readyz; without it they are served on operators_address",
		set:  address(func(s *Settings) *string { return &s.Metrics.Address }),
	},
}
