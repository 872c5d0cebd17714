package contract

import (
	"fmt"
	"slices"
)

// newProblem formats a Problem. key is empty if the problem concerns the whole section.
func newProblem(section, key, format string, args ...any) *Problem {
	return &Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
}

// check validates the contract across keys and sections and returns all problems.
func (c *Contract) check() []*Problem {
	if c.Customer == "" {
		return []*Problem{newProblem(SectionCustomer, "", "missing")}
	}
	return slices.Concat(c.checkKeyHashes(), c.checkModels(), c.checkAdapters(), c.checkServices())
}

// checkKeyHashes reports API keys with the same hash, because their priority would be
// ambiguous.
func (c *Contract) checkKeyHashes() (problems []*Problem) {
	nameByHash := map[string]string{}
	for _, key := range c.Keys {
		if other, ok := nameByHash[key.SHA256]; ok {
			problems = append(problems, newProblem(SectionName(SectionKey, key.Name), "sha256", "same hash as [%s]", SectionName(SectionKey, other)))
			continue
		}
		nameByHash[key.SHA256] = key.Name
	}
	return problems
}

func newModelProblem(m Model, key, format string, args ...any) *Problem {
	return newProblem(SectionName(SectionModel, m.Name), key, format, args...)
}

func newAdapterProblem(a Adapter, key, format string, args ...any) *Problem {
	return newProblem(SectionName(SectionAdapter, a.Name), key, format, args...)
}

func (c *Contract) checkModels() (problems []*Problem) {
	var minReplicaBytes int64
	for _, m := range c.Models {
		add := func(key, format string, args ...any) {
			problems = append(problems, newModelProblem(m, key, format, args...))
		}
		if m.MinReplicas > m.MaxReplicas {
			add("min_replicas", "%d is more than max_replicas (%d)", m.MinReplicas, m.MaxReplicas)
		}
		if m.StandbyPerDomain > m.MaxReplicas {
			add("standby_per_domain", "%d is more than max_replicas (%d)", m.StandbyPerDomain, m.MaxReplicas)
		}
		if m.MemoryBytes > c.MemoryBytes {
			add("memory", "one replica takes more than the customer's memory")
			continue
		}
		if int64(m.MinReplicas) > (c.MemoryBytes-minReplicaBytes)/m.MemoryBytes {
			add("min_replicas", "the least replicas of all models take more than the customer's memory")
			continue
		}
		minReplicaBytes += int64(m.MinReplicas) * m.MemoryBytes
	}
	return problems
}

func (c *Contract) checkAdapters() (problems []*Problem) {
	models := map[string]Model{}
	for _, m := range c.Models {
		models[m.Name] = m
	}
	for _, a := range c.Adapters {
		// Requests name models and adapters in the same field.
		if _, taken := models[a.Name]; taken {
			problems = append(problems, newAdapterProblem(a, "", "a model has this name"))
		}
		base, ok := models[a.Base]
		if !ok {
			problems = append(problems, newAdapterProblem(a, "base", "no model %q in this contract", a.Base))
			continue
		}
		if a.MemoryBytes > c.MemoryBytes-base.MemoryBytes {
			problems = append(problems, newAdapterProblem(a, "memory", "one replica and its base take more than the customer's memory"))
		}
	}
	return problems
}

// checkServices reports duplicate call patterns of a service.
func (c *Contract) checkServices() (problems []*Problem) {
	for _, s := range c.Services {
		seen := map[CallPattern]bool{}
		for _, pattern := range s.Once {
			if seen[pattern] {
				problems = append(problems, newProblem(SectionName(SectionService, s.Name), "once", "%s %s stands twice", pattern.Method, pattern.Path))
			}
			seen[pattern] = true
		}
	}
	return problems
}
