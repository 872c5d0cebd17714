package daemon

import (
	mathrand "math/rand"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/caller"
	"bergamotreel/internal/node"
	"bergamotreel/internal/settings"
	"bergamotreel/lease"
	"bergamotreel/placement"
)

const (
	// maxMissedHeartbeats is how many heartbeats may be missed before a VM counts as
	// unreachable. A pause or a dropped connection loses one or two.
	maxMissedHeartbeats = 6
	// renewalsPerTerm is the number of renewals in a session's term: three may be lost
	// before the session ends.
	renewalsPerTerm = 4
	// marginDivisor makes the holder's margin for clock drift a sixth of the term.
	marginDivisor = 6
	// snapshotsPerRetention is how many snapshots are written within the log's retention
	// time. A new VM finds a snapshot even if most of them fail, and with a retention of a
	// day they cost only a few appends an hour.
	snapshotsPerRetention = 24
)

// nodeConfig converts the settings to the node's configuration.
func nodeConfig(s *settings.Settings, incarnation, version string, random *mathrand.Rand,
	peers node.Peers, logger *zap.Logger,
) node.Config {
	return node.Config{
		VM: s.VM.ID, Domain: s.VM.Domain, Region: s.VM.Region, PeersAddress: s.VM.PeersAdvertise,
		Incarnation: incarnation, Version: version, Peers: peers, Logger: logger, Rand: random,
		Lease:     leaseConfig(s.Policy),
		Placement: placementConfig(s.Policy),
		Admission: admission.Config{MaxQueued: s.Limits.Queue}, RetryShare: retryShare(s.Policy.RetryBudget), RetrySlack: s.Policy.RetrySlack, RetryWindow: s.Policy.RetryWindow,
		HeartbeatInterval: s.Policy.HeartbeatInterval,
		PeerTimeout:       maxMissedHeartbeats * s.Policy.HeartbeatInterval,
		ClaimTTL:          s.Policy.ClaimTTL, ClaimShards: s.Policy.ClaimShards,

		SnapshotMaxAge: s.Platform.LogRetention / snapshotsPerRetention,
	}
}

// callerLimits converts the settings to the limits of the callers' port. shared returns
// the number of streams that share a connection to their engine.
func callerLimits(l settings.Limits, shared func() int) caller.Limits {
	return caller.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeldBytes: l.HeldBytes, AnswerBytes: l.AnswerBytes,
		ReadTimeout: l.ReadTimeout, WriteTimeout: l.WriteTimeout, IdleTimeout: l.IdleTimeout,
		Connections: l.Connections, SharedStreams: shared,
	}
}

// retryShare converts the retry budget of the settings. There 0 means no retries, which
// the node's configuration writes as -1.
func retryShare(budget float64) float64 {
	if budget == 0 {
		return -1
	}
	return budget
}

func leaseConfig(p settings.Policy) lease.Config {
	return lease.Config{
		Term: p.SessionTerm, Margin: p.SessionTerm / marginDivisor,
		RenewInterval: p.SessionTerm / renewalsPerTerm, MessageLifetime: p.MessageLifetime,
	}
}

func placementConfig(p settings.Policy) placement.Config {
	return placement.Config{
		ColdStartWeight: p.ColdStartWeight, MinKeepAlive: p.KeepAliveMin, MaxKeepAlive: p.KeepAliveMax, Preload: p.Preload,
	}
}
