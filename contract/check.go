package contract

import (
	"fmt"
	"slices"
)

// problem makes a Problem; key is empty for the section as a whole.
func problem(section, key, format string, args ...any) *Problem {
	return &Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
}

// check finds mistakes that no single key shows, all of them.
func (c *Contract) check() []*Problem {
	if c.Customer == "" {
		return []*Problem{problem(SectionCustomer, "", "missing")}
	}
	return slices.Concat(c.checkKeys(), c.checkModels(), c.checkAdapters(), c.checkServices())
}

// checkKeys finds two keys of one hash: their priority would be ambiguous.
func (c *Contract) checkKeys() (problems []*Problem) {
	nameByHash := map[string]string{}
	for _, key := range c.Keys {
		if other, ok := nameByHash[key.SHA256]; ok {
			problems = append(problems, problem(SectionName(SectionKey, key.Name), "sha256", "same hash as [%s]", SectionName(SectionKey, other)))
			continue
		}
		nameByHash[key.SHA256] = key.Name
	}
	return problems
}

func modelProblem(m Model, key, format string, args ...any) *Problem {
	return problem(SectionName(SectionModel, m.Name), key, format, args...)
}

func adapterProblem(a Adapter, key, format string, args ...any) *Problem {
	return problem(SectionName(SectionAdapter, a.Name), key, format, args...)
}

func (c *Contract) checkModels() (problems []*Problem) {
	var least int64
	for _, m := range c.Models {
		add := func(key, format string, args ...any) {
			problems = append(problems, modelProblem(m, key, format, args...))
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
		if int64(m.MinReplicas) > (c.MemoryBytes-least)/m.MemoryBytes {
			add("min_replicas", "the least replicas of all models take more than the customer's memory")
			continue
		}
		least += int64(m.MinReplicas) * m.MemoryBytes
	}
	return problems
}

func (c *Contract) checkAdapters() (problems []*Problem) {
	models := map[string]Model{}
	for _, m := range c.Models {
		models[m.Name] = m
	}
	for _, a := range c.Adapters {
		// Callers name models and adapters in the same field of a request.
		if _, taken := models[a.Name]; taken {
			problems = append(problems, adapterProblem(a, "", "a model has this name"))
		}
		base, ok := models[a.Base]
		if !ok {
			problems = append(problems, adapterProblem(a, "base", "no model %q in this contract", a.Base))
			continue
		}
		if a.MemoryBytes > c.MemoryBytes-base.MemoryBytes {
			problems = append(problems, adapterProblem(a, "memory", "one replica and its base take more than the customer's memory"))
		}
	}
	return problems
}

// checkServices finds patterns that stand twice.
func (c *Contract) checkServices() (problems []*Problem) {
	for _, s := range c.Services {
		seen := map[CallPattern]bool{}
		for _, pattern := range s.Once {
			if seen[pattern] {
				problems = append(problems, problem(SectionName(SectionService, s.Name), "once", "%s %s stands twice", pattern.Method, pattern.Path))
			}
			seen[pattern] = true
		}
	}
	return problems
}
