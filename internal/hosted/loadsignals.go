package hosted

import (
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
)

// signalsInterval is the minimum time between two reports of signals to one VM, and between two sums
// over all VMs.
const signalsInterval = 400 * time.Millisecond

// fleetSignals are the signals of all live VMs, this one included. It belongs to members and is
// guarded by its mu.
type fleetSignals struct {
	own   *entryvm.LoadSignals
	ownAt time.Time
	sum   *entryvm.LoadSignals
	sumAt time.Time
	// relayed is the sum that this VM's relay sent at relayedAt.
	relayed   *entryvm.LoadSignals
	relayedAt time.Time
}

// measureSignals returns what this VM measures.
func (n *Node) measureSignals(now time.Time) *entryvm.LoadSignals {
	return &entryvm.LoadSignals{
		Paces: n.reportPaces(now), Workspaces: n.measureWorkspaces(now), Units: n.fleetAdmission.measure(now), Queues: n.backendQueues.measure(now),
	}
}

// applySignals uses the signals of all VMs.
func (n *Node) applySignals(now time.Time, fleet *entryvm.LoadSignals) {
	n.applyPaces(now, fleet.Paces)
	n.applyWorkspaces(now, fleet.Workspaces)
	n.fleetAdmission.apply(now, fleet.Units)
	n.backendQueues.apply(now, fleet.Queues)
}

// updateSignals measures this VM's signals and applies the sum over all VMs if either is due. It must
// be called without mu.
func (m *members) updateSignals(now time.Time) {
	m.mu.Lock()
	due := now.Sub(m.signals.ownAt) >= signalsInterval
	m.mu.Unlock()
	if !due {
		return
	}
	own := m.node.measureSignals(now)
	m.mu.Lock()
	m.signals.own, m.signals.ownAt = own, now
	sum := m.sumSignals(now)
	m.mu.Unlock()
	m.node.applySignals(now, sum)
}

// sumSignals returns the sum over all VMs. An ordinary VM of a large fleet has it from its relay, and so
// has one that has just become a relay: it lacks most reports at first. Call with mu held.
func (m *members) sumSignals(now time.Time) *entryvm.LoadSignals {
	s := &m.signals
	if r := m.currentRoles(now); r.large {
		isRelay := r.isRelay(m)
		isNew := m.relaySince.IsZero() || now.Sub(m.relaySince) < relayStartupPeriod
		if (!isRelay || isNew) && s.relayed != nil && now.Sub(s.relayedAt) < relayedTTL {
			return s.relayed
		}
		if !isRelay {
			return s.own
		}
	}
	if s.sum != nil && now.Sub(s.sumAt) < signalsInterval {
		return s.sum
	}
	sum := loadsignals.NewSum()
	sum.Add(s.own)
	m.eachLoadLocked(now, func(_ string, l *entryvm.Load) { sum.Add(l.Signals) })
	s.sum, s.sumAt = sum.Total(), now
	return s.sum
}

// takeSignalsTurn reports whether to send this VM's signals to a peer again, and records that they are
// sent. Call with mu held.
func (m *members) takeSignalsTurn(now time.Time, address string) bool {
	return m.takeTurn(now, address, signalsInterval, func(p *member) *time.Time { return &p.signalsSentAt })
}

// takeSumTurn is takeSignalsTurn for the sums that relays send.
func (m *members) takeSumTurn(now time.Time, address string) bool {
	return m.takeTurn(now, address, signalsInterval, func(p *member) *time.Time { return &p.sumSentAt })
}
