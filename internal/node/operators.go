package node

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"bergamotreel/internal/commit"
	"bergamotreel/internal/control"
	"bergamotreel/operator"
	"bergamotreel/platformlog"
	"bergamotreel/state"
)

// maxHistoryBatch limits the records of one log read for a contract's history.
const maxHistoryBatch = 1000

// operators implements operator.Operator for a Node.
type operators struct{ *Node }

// Operators returns the operators' interface of the node.
func (n *Node) Operators() operator.Operator { return operators{n} }

// Publish implements operator.Operator.
func (o operators) Publish(ctx context.Context, r operator.PublishRequest) (operator.PublishResult, error) {
	if r.ChangeID == "" || r.Customer == "" {
		return operator.PublishResult{}, operator.ErrBadRequest
	}
	outcome, err := o.control.ProposeAs(ctx, operator.ProposalID(r.ChangeID), state.Proposal{Publish: &state.Publish{
		ChangeID: r.ChangeID, Customer: r.Customer, Base: r.Base, Sections: r.Sections, Remove: r.Remove,
	}})
	switch {
	case errors.Is(err, commit.ErrTooLarge):
		return operator.PublishResult{}, fmt.Errorf("%w: the change is too large", operator.ErrBadRequest)
	case errors.Is(err, commit.ErrNotStored):
		return operator.PublishResult{}, operator.ErrUnavailable
	case err != nil:
		return operator.PublishResult{}, operator.ErrOutcomeUnknown
	}
	return operator.PublishResult{Verdict: outcome.Verdict, Revision: outcome.Revision, Reason: outcome.Reason}, nil
}

// checkHasState returns an error until the control state has been read. Without this
// check a starting entry VM answers "no such contract", and the operator publishes the
// contract again.
func (o operators) checkHasState() error {
	select {
	case <-o.control.Ready():
		return nil
	default:
		return operator.ErrUnavailable
	}
}

// Contracts implements operator.Operator.
func (o operators) Contracts(context.Context) ([]operator.ContractSummary, error) {
	if err := o.checkHasState(); err != nil {
		return nil, err
	}
	var out []operator.ContractSummary
	o.control.View(func(s *state.State) { out = summarizeContracts(s) })
	return out, nil
}

func summarizeContracts(s *state.State) []operator.ContractSummary {
	out := make([]operator.ContractSummary, 0, len(s.Contracts))
	for customer, published := range s.Contracts {
		summary := operator.ContractSummary{
			Customer: customer, Version: published.Version, ChangeID: published.ChangeID,
			Removed: published.Contract == nil,
		}
		if c := published.Contract; c != nil {
			summary.Models, summary.Adapters, summary.Services = len(c.Models), len(c.Adapters), len(c.Services)
		}
		out = append(out, summary)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// Contract implements operator.Operator.
func (o operators) Contract(_ context.Context, customer string) (operator.ContractInForce, error) {
	var out operator.ContractInForce
	if err := o.checkHasState(); err != nil {
		return out, err
	}
	err := error(operator.ErrNotFound)
	o.control.View(func(s *state.State) {
		published := s.Contracts[customer]
		if published == nil {
			return
		}
		err = nil
		out = operator.ContractInForce{
			Customer: customer, Version: published.Version, ChangeID: published.ChangeID,
			Removed: published.Contract == nil,
		}
		if !out.Removed {
			out.Sections = published.Sections
		}
	})
	return out, err
}

// History implements operator.Operator. The accepted versions form a chain: each names
// the version that it is based on.
func (o operators) History(ctx context.Context, customer string) ([]operator.HistoryEntry, error) {
	if err := o.checkHasState(); err != nil {
		return nil, err
	}
	version := state.Revision(0)
	o.control.View(func(s *state.State) { version = s.ContractVersion(customer) })
	if version == 0 {
		return nil, operator.ErrNotFound
	}
	published, err := o.readPublished(ctx, customer)
	if err != nil {
		return nil, operator.ErrUnavailable
	}
	var out []operator.HistoryEntry
	for entry, kept := published[version]; kept; entry, kept = published[entry.Base] {
		out = append(out, entry)
	}
	return out, nil
}

// readPublished reads all proposed changes of a contract that the log still retains.
func (o operators) readPublished(ctx context.Context, customer string) (map[state.Revision]operator.HistoryEntry, error) {
	found := make(map[state.Revision]operator.HistoryEntry)
	from := platformlog.Offset(1)
	for {
		batch, err := o.config.Peers.Log.Read(ctx, control.Stream, from, maxHistoryBatch, 0)
		if errors.Is(err, platformlog.ErrTrimmed) {
			from = batch.Earliest
			continue
		}
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if len(batch.Records) == 0 {
			return found, nil
		}
		for _, record := range batch.Records {
			collectPublished(found, customer, record)
		}
		from = batch.Next
	}
}

func collectPublished(found map[state.Revision]operator.HistoryEntry, customer string, r platformlog.Record) {
	record, err := state.Decode(r.Data)
	if err != nil {
		return
	}
	for i, p := range record.Proposals {
		if p.Publish == nil || p.Publish.Customer != customer {
			continue
		}
		entry := operator.HistoryEntry{
			Version: state.MakeRevision(uint64(r.Offset), i), Base: p.Publish.Base,
			ChangeID: p.Publish.ChangeID, Time: r.Time, Removed: p.Publish.Remove,
		}
		for section := range p.Publish.Sections {
			entry.Sections = append(entry.Sections, section)
		}
		sort.Strings(entry.Sections)
		found[entry.Version] = entry
	}
}

// Status implements operator.Operator.
func (o operators) Status(context.Context) (operator.StatusReport, error) {
	now := time.Now()
	report := operator.StatusReport{VM: o.self(), Log: o.logPosition(now), VMs: o.entryVMs(now)}
	o.control.View(func(s *state.State) {
		report.Contracts = summarizeContracts(s)
		report.Log.SkippedRecords = s.SkippedRecords
	})
	report.Engines = o.engines(now)
	report.Waiting = o.waitingUnits(now)
	report.Refusals = o.sumRefusals(report.VMs)
	return report, nil
}
