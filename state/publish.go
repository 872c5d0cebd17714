package state

import (
	"maps"
)

// maxReason bounds the reason of an outcome, which every VM remembers.
const maxReason = 200

// publish puts a customer's changed contract in force.
func (s *State) publish(rev Revision, p *Publish) result {
	if p.Customer == "" {
		return invalid("no customer named")
	}
	old := s.Contracts[p.Customer]
	if old == nil {
		old = &PublishedContract{}
	}
	if old.Version != p.Base {
		return conflict(ReasonStale)
	}
	if p.Remove {
		return s.removeContract(rev, p, old)
	}
	sections := mergeSections(old.Sections, p.Sections)
	parsed, err := old.Contract.With(p.Sections)
	if err != nil {
		return invalid(shorten(err.Error()))
	}
	if parsed.Customer != p.Customer {
		return invalid("contract names another customer")
	}
	if reason := s.index.clash(parsed); reason != "" {
		return invalid(shorten(reason))
	}
	s.index.removeContract(old.Contract)
	s.index.addContract(parsed)
	s.putContract(p.Customer, &PublishedContract{Version: rev, ChangeID: p.ChangeID, Sections: sections, Contract: parsed})
	return applied
}

// removeContract keeps the version, so that no late duplicate of the first
// publish (with base 0) can bring the contract back.
func (s *State) removeContract(rev Revision, p *Publish, old *PublishedContract) result {
	if old.Contract == nil {
		return invalid("no contract")
	}
	s.index.removeContract(old.Contract)
	s.putContract(p.Customer, &PublishedContract{Version: rev, ChangeID: p.ChangeID})
	return applied
}

func (s *State) putContract(customer string, published *PublishedContract) {
	s.Contracts[customer] = published
	s.contractChanged(customer)
	s.index.newest = max(s.index.newest, published.Version)
}

// mergeSections lays the changed sections over the old ones.
func mergeSections(old, changed map[string]string) map[string]string {
	merged := make(map[string]string, len(old)+len(changed))
	maps.Copy(merged, old)
	for name, text := range changed {
		if text == "" {
			delete(merged, name)
		} else {
			merged[name] = text
		}
	}
	return merged
}

func shorten(reason string) string {
	if len(reason) > maxReason {
		return reason[:maxReason]
	}
	return reason
}
