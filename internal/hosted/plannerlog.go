package hosted

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/placement/residency"
)

// maxModelsPerLine bounds the models in one log line, about 130 bytes each, so that the line
// fits in one write of the log.
const maxModelsPerLine = 25

// loggedModel is a model in the planner's log, logged once for each configuration.
type loggedModel struct {
	Name       string        `json:"name"`
	Bytes      int64         `json:"bytes"`
	FromMemory time.Duration `json:"from_memory_ns"`
	FromDisk   time.Duration `json:"from_disk_ns"`
	FromStore  time.Duration `json:"from_store_ns"`
}

// logPools logs the pools that the planner plans for, once for each configuration. Sizes and
// load times are needed to evaluate the plan from the logs.
func (p *planner) logPools(current *activeConfiguration) {
	if p.loggedVersion == current.Version {
		return
	}
	p.loggedVersion = current.Version
	for i := range current.Contract.Pools {
		pool := &current.Contract.Pools[i]
		p.node.config.Logger.Info("pool planned for", zap.String("service", pool.Service), zap.Uint64("version", current.Version),
			zap.Int64("room", modelCapacityBytes(pool)), zap.Int("slots", pool.Slots), zap.Float64("loads_per_second", pool.LoadsPerSecond),
			zap.Int("models", len(pool.Models)))
		for chunk := range slices.Chunk(loggedModels(pool), maxModelsPerLine) {
			p.node.config.Logger.Info("models planned for", zap.String("service", pool.Service), zap.Any("models", chunk))
		}
	}
}

// logEngines logs which models each engine holds and has copies of, once for each instance
// of an engine that this VM plans for.
func (p *planner) logEngines(pool *contract.EnginePool, engines []residency.Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range engines {
		e := &engines[i]
		if p.loggedEngines[e.ID] {
			continue
		}
		p.loggedEngines[e.ID] = true
		models := make([]string, 0, len(e.Models))
		for _, m := range e.Models {
			models = append(models, m.Name)
		}
		slices.Sort(models)
		p.node.config.Logger.Info("engine planned for", zap.String("service", pool.Service), zap.String("engine", e.ID), zap.Strings("models", models),
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

// logResidency logs, once in residencyLogInterval, which models are resident and which are
// short. It explains why requests wait.
func (p *planner) logResidency(now time.Time, pool *contract.EnginePool, engines []residency.Engine, models []residency.Model) {
	if now.Sub(p.residencyLoggedAt) < residencyLogInterval {
		return
	}
	p.residencyLoggedAt = now
	s := residency.Summarize(engines, models)
	inFlight := p.swapsInFlight(now, pool.Service)
	p.node.config.Logger.Info("residency", zap.String("service", pool.Service), zap.Int("models", s.Models),
		zap.Int("resident", s.Resident), zap.Int("replicas", s.Replicas), zap.Int("asked_for_not_resident", s.RequestedNotResident),
		zap.Int("waiting", s.Waiting), zap.Int("running", s.Running), zap.Int("engines", s.Engines),
		zap.Int("orderable", s.ReadyToSwap), zap.Int64("free_bytes", s.FreeBytes), zap.Int("swaps_under_way", len(inFlight)))
	for _, shortage := range residency.FindShortages(engines, models, inFlight, maxLoggedShortages) {
		p.node.config.Logger.Info("model short", zap.String("service", pool.Service), zap.String("model", shortage.Model),
			zap.Int("waiting", shortage.Waiting), zap.Duration("oldest", shortage.OldestWait), zap.Float64("rate", shortage.Rate),
			zap.Int("running", shortage.Running), zap.Int("replicas", shortage.Replicas), zap.Int("coming", shortage.Loading),
			zap.Int("in_memory", shortage.InMemory), zap.Int("on_disk", shortage.OnDisk), zap.Int("engines_free", shortage.IdleEngines))
	}
}
