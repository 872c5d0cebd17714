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
	// heartbeatsMissed is how many heartbeats may be lost before a VM counts as
	// gone: one or two are lost to a pause or a dropped connection.
	heartbeatsMissed = 6
	// renewalsPerTerm leaves three renewals to be lost before a session ends.
	renewalsPerTerm = 4
	// marginPart is the part of the term that a holder leaves for clock drift.
	marginPart = 6
	// snapshotsKept is how many snapshots are written in the time that the log
	// keeps a record: most of them may fail before a new VM finds none, and a day
	// needs only a handful of appends an hour.
	snapshotsKept = 24
)

// nodeConfig turns settings into the node's configuration.
func nodeConfig(s *settings.Settings, incarnation, version string, random *mathrand.Rand,
	peers node.Peers, logger *zap.Logger,
) node.Config {
	return node.Config{
		VM: s.VM.ID, Domain: s.VM.Domain, Region: s.VM.Region, PeersAddress: s.VM.PeersAdvertise,
		Incarnation: incarnation, Version: version, Peers: peers, Logger: logger, Rand: random,
		Lease:     leaseConfig(s.Policy),
		Placement: placementConfig(s.Policy),
		Admission: admission.Config{MaxQueued: s.Limits.Queue}, RetryShare: retryShare(s.Policy.RetryBudget),
		HeartbeatInterval: s.Policy.Heartbeat,
		PeerTimeout:       heartbeatsMissed * s.Policy.Heartbeat,
		ClaimTTL:          s.Policy.ClaimWindow, ClaimShards: s.Policy.ClaimShards,

		SnapshotMaxAge: s.Platform.LogRetention / snapshotsKept,
	}
}

// callerLimits turns settings into the limits of the callers' port; shared counts
// the streams that share a connection to their engine.
func callerLimits(l settings.Limits, shared func() int) caller.Limits {
	return caller.Limits{
		HeaderBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeldBytes: l.HeldBytes, AnswerBytes: l.AnswerBytes,
		ReadTimeout: l.ReadTimeout, WriteTimeout: l.WriteTimeout, IdleTimeout: l.IdleTimeout,
		Connections: l.Connections, Shared: shared,
	}
}

// retryShare turns the settings' 0, no retries, into what the budget takes for it.
func retryShare(budget float64) float64 {
	if budget == 0 {
		return -1
	}
	return budget
}

func leaseConfig(p settings.Policy) lease.Config {
	return lease.Config{
		Term: p.SessionTerm, Margin: p.SessionTerm / marginPart,
		RenewInterval: p.SessionTerm / renewalsPerTerm, MessageLifetime: p.MessageLifetime,
	}
}

func placementConfig(p settings.Policy) placement.Config {
	return placement.Config{
		ColdStartWeight: p.ColdStartWeight, MinKeepAlive: p.KeepAliveMin, MaxKeepAlive: p.KeepAliveMax, Preload: p.Preload,
	}
}
