package state

import (
	"maps"
)

// maxReasonBytes bounds the reason of an outcome, which every VM stores.
const maxReasonBytes = 200

// publish applies a change to a customer's contract.
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
		return invalid(truncateReason(err.Error()))
	}
	if parsed.Customer != p.Customer {
		return invalid("contract names another customer")
	}
	if reason := s.index.findConflict(parsed); reason != "" {
		return invalid(truncateReason(reason))
	}
	s.index.removeContract(old.Contract)
	s.index.addContract(parsed)
	s.putContract(p.Customer, &PublishedContract{Version: rev, ChangeID: p.ChangeID, Sections: sections, Contract: parsed})
	return applied
}

// removeContract removes a contract but keeps its version, so that no late duplicate
// of the first publish (with base 0) can restore the contract.
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
	s.index.newestContractVersion = max(s.index.newestContractVersion, published.Version)
}

// mergeSections returns the old sections with the changes applied; an empty text
// removes a section.
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

func truncateReason(reason string) string {
	if len(reason) > maxReasonBytes {
		return reason[:maxReasonBytes]
	}
	return reason
}
