package contract

import "fmt"

// problem makes a Problem; key is empty for the section as a whole.
func problem(section, key, format string, args ...any) error {
	return &Problem{Section: section, Key: key, Reason: fmt.Sprintf(format, args...)}
}

// check finds mistakes that no single key shows.
func (c *Contract) check() error {
	if c.Customer == "" {
		return problem(SectionCustomer, "", "missing")
	}
	if err := c.checkKeys(); err != nil {
		return err
	}
	if err := c.checkModels(); err != nil {
		return err
	}
	if err := c.checkAdapters(); err != nil {
		return err
	}
	return c.checkServices()
}

// checkKeys finds two keys of one hash: their priority would be ambiguous.
func (c *Contract) checkKeys() error {
	nameByHash := map[string]string{}
	for _, key := range c.Keys {
		if other, ok := nameByHash[key.SHA256]; ok {
			return problem(SectionName(SectionKey, key.Name), "sha256", "same hash as [%s]", SectionName(SectionKey, other))
		}
		nameByHash[key.SHA256] = key.Name
	}
	return nil
}

func modelProblem(m Model, key, format string, args ...any) error {
	return problem(SectionName(SectionModel, m.Name), key, format, args...)
}

func adapterProblem(a Adapter, key, format string, args ...any) error {
	return problem(SectionName(SectionAdapter, a.Name), key, format, args...)
}

func (c *Contract) checkModels() error {
	var least int64
	for _, m := range c.Models {
		if m.MinReplicas > m.MaxReplicas {
			return modelProblem(m, "min_replicas", "%d is more than max_replicas (%d)", m.MinReplicas, m.MaxReplicas)
		}
		if m.StandbyPerDomain > m.MaxReplicas {
			return modelProblem(m, "standby_per_domain", "%d is more than max_replicas (%d)", m.StandbyPerDomain, m.MaxReplicas)
		}
		if m.MemoryBytes > c.MemoryBytes {
			return modelProblem(m, "memory", "one replica takes more than the customer's memory")
		}
		if int64(m.MinReplicas) > (c.MemoryBytes-least)/m.MemoryBytes {
			return modelProblem(m, "min_replicas", "the least replicas of all models take more than the customer's memory")
		}
		least += int64(m.MinReplicas) * m.MemoryBytes
	}
	return nil
}

func (c *Contract) checkAdapters() error {
	models := map[string]Model{}
	for _, m := range c.Models {
		models[m.Name] = m
	}
	for _, a := range c.Adapters {
		// Callers name models and adapters in the same field of a request.
		if _, taken := models[a.Name]; taken {
			return adapterProblem(a, "", "a model has this name")
		}
		base, ok := models[a.Base]
		if !ok {
			return adapterProblem(a, "base", "no model %q in this contract", a.Base)
		}
		if a.MemoryBytes > c.MemoryBytes-base.MemoryBytes {
			return adapterProblem(a, "memory", "one replica and its base take more than the customer's memory")
		}
	}
	return nil
}

// checkServices finds patterns that stand twice.
func (c *Contract) checkServices() error {
	for _, s := range c.Services {
		seen := map[CallPattern]bool{}
		for _, pattern := range s.Once {
			if seen[pattern] {
				return problem(SectionName(SectionService, s.Name), "once", "%s %s stands twice", pattern.Method, pattern.Path)
			}
			seen[pattern] = true
		}
	}
	return nil
}
