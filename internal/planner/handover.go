package planner

import (
	"time"

	"bergamotreel/placement"
)

// shadowEvery is how often the history of a unit that was used since is told to
// the VM that plans it once this one is gone. What was learned in between is
// lost with a VM that dies; a planned stop hands over all.
const historyCopyInterval = 5 * time.Minute

// handover is who has been told what this VM has learned of its units.
//
// Failure: planning moves to a VM that knows no history, with each VM that comes,
// goes or restarts. The symptom is that replicas in steady use are let go after
// the shortest keep time, and are loaded again with each request, until enough
// was learned anew. So a unit's history goes to its new planner when it moves,
// and ahead of that to the VM that would be its planner next.
type handoverState struct {
	// live is Share.Live of the newest round, at its time.
	liveVersion uint64
	checkedAt   time.Time
	// own are the units planned here, with whom their history was told.
	copies map[string]historyCopy
}

// shadow is the VM that was last told a unit's history, and when.
type historyCopy struct {
	vm     string
	sentAt time.Time
}

// HandOver tells other VMs what they should know of the units that this one plans
// or has planned until now. It is called when the live VMs may have changed.
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

// handOver collects what to tell, by VM. Call with mu held.
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

// Learn takes what another VM has learned of units.
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
