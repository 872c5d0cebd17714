package planner

import (
	"time"

	"bergamotreel/placement"
)

// historyCopyInterval is how often the history of a unit that was used since the
// last copy is sent to the VM that plans it when this one is gone. What was learned
// after the last copy is lost if this VM crashes; a planned stop hands over
// everything.
const historyCopyInterval = 5 * time.Minute

// handoverState records which VMs have received the histories of this VM's units.
//
// Planning moves to other VMs whenever a VM joins, leaves or restarts. A planner
// without histories unloads replicas in steady use after the minimum keep-alive,
// and loads them again with each request until it has learned enough. Therefore a
// unit's history is sent to its new planner when the unit moves, and in advance to
// the VM that would plan it next.
type handoverState struct {
	// liveVersion is Share.LiveVersion of the newest round, checkedAt its time.
	liveVersion uint64
	checkedAt   time.Time
	// copies holds the units planned here with the last copy of their history.
	copies map[string]historyCopy
}

// historyCopy records the VM to which a unit's history was last sent, and when.
type historyCopy struct {
	vm     string
	sentAt time.Time
}

// HandOverHistories sends other VMs the histories that they need of the units that
// this VM plans or has planned until now. It is called when the live VMs may have
// changed.
func (p *Planner) HandOverHistories(now time.Time) {
	share := p.config.Share()
	p.mu.Lock()
	byVM := p.collectHistories(now, share)
	p.mu.Unlock()
	p.sendHistories(byVM)
}

func (p *Planner) sendHistories(byVM map[string][]placement.History) {
	for vm, histories := range byVM {
		p.config.SendHistories(vm, histories)
	}
}

// collectHistories returns the histories to send, by VM. The caller must hold mu.
func (p *Planner) collectHistories(now time.Time, share Share) map[string][]placement.History {
	h := &p.handover
	if share.LiveVersion == h.liveVersion && now.Sub(h.checkedAt) < historyCopyInterval {
		return nil
	}
	h.liveVersion, h.checkedAt = share.LiveVersion, now
	p.dropOldHistories(now, share)
	byVM := make(map[string][]placement.History)
	add := func(vm, unit string) bool {
		history, known := p.policy.History(unit, now)
		if known && vm != "" {
			byVM[vm] = append(byVM[vm], history)
		}
		return known
	}
	previous := h.copies
	h.copies = make(map[string]historyCopy)
	for unit := range previous {
		if !share.OwnsUnit(unit) {
			add(share.PlannerOf(unit), unit)
		}
	}
	for _, u := range p.cache.ownUnits.list() {
		if !share.OwnsUnit(u.Name) {
			continue
		}
		next, last := share.NextPlannerOf(u.Name), previous[u.Name]
		if (next != last.vm || p.lastUsed[u.Name].After(last.sentAt)) && add(next, u.Name) {
			last = historyCopy{vm: next, sentAt: now}
		}
		h.copies[u.Name] = last
	}
	return byVM
}

// ImportHistories adopts unit histories that another VM sent.
func (p *Planner) ImportHistories(now time.Time, histories []placement.History) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range histories {
		p.policy.ImportHistory(h, now)
		p.importedUnits[h.Unit] = true
		if at := now.Add(-h.LastAgo); at.After(p.lastUsed[h.Unit]) {
			p.lastUsed[h.Unit] = at
			p.usedUnits[h.Unit] = true
		}
	}
}
