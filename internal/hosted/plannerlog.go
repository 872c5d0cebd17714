package hosted

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/placement/residency"
)

// modelsALine bounds the models of one log line, some 130 bytes each, so that it stays below
// what one write of the log holds.
const modelsALine = 25

// loggedModel is a model as the planner's log names it, once for each configuration.
type loggedModel struct {
	Name       string        `json:"name"`
	Bytes      int64         `json:"bytes"`
	FromMemory time.Duration `json:"from_memory_ns"`
	FromDisk   time.Duration `json:"from_disk_ns"`
	FromStore  time.Duration `json:"from_store_ns"`
}

// tellPools logs what the planner goes by, once for each configuration: without the sizes
// and load times nobody can tell afterwards what a better plan could have served.
func (p *planner) tellPools(current *activeConfiguration) {
	if p.toldVersion == current.Version {
		return
	}
	p.toldVersion = current.Version
	for i := range current.Contract.Pools {
		pool := &current.Contract.Pools[i]
		p.node.config.Logger.Info("pool planned for", zap.String("service", pool.Service), zap.Uint64("version", current.Version),
			zap.Int64("room", modelCapacityBytes(pool)), zap.Int("slots", pool.Slots), zap.Float64("loads_per_second", pool.LoadsPerSecond),
			zap.Int("models", len(pool.Models)))
		for part := range slices.Chunk(loggedModels(pool), modelsALine) {
			p.node.config.Logger.Info("models planned for", zap.String("service", pool.Service), zap.Any("models", part))
		}
	}
}

// tellEngines logs what each engine holds and has copies of, once for each start that this VM
// plans for.
func (p *planner) tellEngines(pool *contract.EnginePool, engines []residency.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range engines {
		e := &engines[i]
		if p.toldEngines[e.ID] {
			continue
		}
		p.toldEngines[e.ID] = true
		held := make([]string, 0, len(e.Models))
		for _, m := range e.Models {
			held = append(held, m.Name)
		}
		slices.Sort(held)
		p.node.config.Logger.Info("engine planned for", zap.String("service", pool.Service), zap.String("engine", e.ID), zap.Strings("models", held),
			zap.Strings("in_memory", slices.Sorted(maps.Keys(e.InMemory))), zap.Strings("on_disk", slices.Sorted(maps.Keys(e.OnDisk))))
	}
}

func loggedModels(pool *contract.EnginePool) []loggedModel {
	out := make([]loggedModel, 0, len(pool.Models))
	for i := range pool.Models {
		m := &pool.Models[i]
		out = append(out, loggedModel{m.Name, m.MemoryBytes, m.FromMemory, m.FromDisk, m.FromStore})
	}
	return out
}

// tellResidency logs now and then how well the models fit: what waits is explained by
// it.
func (p *planner) tellResidency(now time.Time, pool *contract.EnginePool, engines []residency.Engine, models []residency.Model) {
	if now.Sub(p.toldAt) < residencyEvery {
		return
	}
	p.toldAt = now
	s := residency.Summarize(engines, models)
	under := p.underWay(now, pool.Service)
	p.node.config.Logger.Info("residency", zap.String("service", pool.Service), zap.Int("models", s.Models),
		zap.Int("resident", s.Resident), zap.Int("replicas", s.Replicas), zap.Int("asked_for_not_resident", s.RequestedNotResident),
		zap.Int("waiting", s.Waiting), zap.Int("running", s.Running), zap.Int("engines", s.Engines),
		zap.Int("orderable", s.ReadyToSwap), zap.Int64("free_bytes", s.FreeBytes), zap.Int("swaps_under_way", len(under)))
	for _, short := range residency.FindShortages(engines, models, under, shortagesTold) {
		p.node.config.Logger.Info("model short", zap.String("service", pool.Service), zap.String("model", short.Model),
			zap.Int("waiting", short.Waiting), zap.Duration("oldest", short.OldestWait), zap.Float64("rate", short.Rate),
			zap.Int("running", short.Running), zap.Int("replicas", short.Replicas), zap.Int("coming", short.Loading),
			zap.Int("in_memory", short.InMemory), zap.Int("on_disk", short.OnDisk), zap.Int("engines_free", short.IdleEngines))
	}
}
