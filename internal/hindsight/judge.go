package hindsight

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotreel/internal/daylog"
)

// Judgement is what a day's placement is worth beside what it could have been. Worth is that
// of the requests for models only, and of the model's presence only: one that found its model
// counts for what it got.
type Analysis struct {
	Requests                int
	TotalWorth, ActualWorth float64
	// Answering is what a schedule earns that begins no load before somebody asks, Reachable
	// what one does that knows the whole day; Bound is what no placement could exceed.
	ReactiveWorth, ForesightWorth, UpperBound float64
	// Moments are the costliest ones: what the answering schedule would have served and we
	// did not.
	LargestLosses []ModelLoss
}

// Moment is a model in a span of a few seconds.
type ModelLoss struct {
	From, Until time.Duration
	Model       string
	// Requests earned Lost less than by the schedule.
	Requests  int
	WorthLost float64
	// Plan is what our planner did about the model, Schedule what the schedule does.
	ActualSwaps, ScheduledLoads string
}

// momentsTold is how many moments are told, momentSpan how long one is: a swap and a little.
const (
	momentsTold = 10
	momentSpan  = 4 * time.Second
)

// Settings are how hard the schedule is looked for.
type Settings struct {
	Seed   int64
	Rounds int
}

// Judge works out a day's bound and a schedule that can be reached.
func Analyze(d *daylog.Day, value WorthFunc, settings Settings) Analysis {
	p := newProblem(d, value)
	answering := p.search(settings.Seed, settings.Rounds, false)
	s := p.search(settings.Seed, settings.Rounds, true)
	j := Analysis{TotalWorth: p.owed(), ActualWorth: p.ours(), ReactiveWorth: answering.total, ForesightWorth: max(s.total, answering.total)}
	for i := range p.models {
		j.Requests += len(p.models[i].demands)
	}
	j.UpperBound = p.bound(j.ForesightWorth)
	j.LargestLosses = answering.moments(d)
	return j
}

// moments are where the schedule serves and we did not, the costliest first.
func (s *schedule) moments(d *daylog.Day) []ModelLoss {
	type key struct {
		model int
		span  time.Duration
	}
	lost := make(map[key]*ModelLoss)
	for m := range s.models {
		for i := range s.models[m].demands {
			wanted := &s.models[m].demands[i]
			between := s.worthOfDemand(m, wanted) - wanted.ours
			if between <= 0 {
				continue
			}
			at := key{m, wanted.arrived / momentSpan}
			if lost[at] == nil {
				lost[at] = &ModelLoss{From: at.span * momentSpan, Until: (at.span + 1) * momentSpan, Model: s.models[m].Name}
			}
			lost[at].Requests++
			lost[at].WorthLost += between
		}
	}
	var out []ModelLoss
	for at, moment := range lost {
		moment.ActualSwaps, moment.ScheduledLoads = whatWasPlanned(d, moment), s.whatItDoes(at.model, moment)
		out = append(out, *moment)
	}
	slices.SortFunc(out, func(a, b ModelLoss) int {
		return cmp.Or(cmp.Compare(b.WorthLost, a.WorthLost), cmp.Compare(a.From, b.From), cmp.Compare(a.Model, b.Model))
	})
	return out[:min(len(out), momentsTold)]
}

// whatWasPlanned tells of the swaps of a model around a moment.
func whatWasPlanned(d *daylog.Day, m *ModelLoss) string {
	var told []string
	for i := range d.Swaps {
		swap := &d.Swaps[i]
		if swap.PlannedAt < m.From-momentSpan || swap.PlannedAt > m.Until+momentSpan {
			continue
		}
		what := ""
		switch {
		case swap.Load == m.Model && swap.Started:
			what = "loads from " + swap.Source
		case swap.Load == m.Model:
			what = "asks in vain"
		case slices.Contains(swap.Unload, m.Model) && swap.Started:
			what = "gives way to " + swap.Load
		default:
			continue
		}
		told = append(told, fmt.Sprintf("%s %s on %s", clock(swap.PlannedAt), what, swap.Engine))
	}
	if len(told) == 0 {
		return "nothing"
	}
	return strings.Join(told, "; ")
}

// whatItDoes tells of the schedule's loads of a model around a moment.
func (s *schedule) whatItDoes(model int, m *ModelLoss) string {
	var told []string
	for e := range s.plans {
		for _, load := range s.plans[e].done {
			if load.model != model || load.ready < m.From-momentSpan || load.begun > m.Until {
				continue
			}
			source := "a copy"
			if load.store {
				source = "the store"
			}
			told = append(told, fmt.Sprintf("%s loads from %s on %s, ready %s", clock(load.begun), source, s.engines[e].id, clock(load.ready)))
		}
	}
	if len(told) == 0 {
		return "has it there"
	}
	slices.Sort(told)
	return strings.Join(told, "; ")
}

// clock is a time of the day in seconds.
func clock(at time.Duration) string { return fmt.Sprintf("%.1fs", at.Seconds()) }
