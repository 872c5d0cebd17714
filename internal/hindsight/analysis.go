package hindsight

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"bergamotreel/internal/daylog"
)

// Analysis compares the worth that a day's placement earned with what it could have earned.
// It counts requests for models only, and only the effect of residency: a request whose model
// was ready on arrival counts for what it earned.
type Analysis struct {
	// Requests counts requests without their retries. TotalWorth is what they would earn if
	// all were answered in time, ActualWorth what they earned.
	Requests                int
	TotalWorth, ActualWorth float64
	// ReactiveWorth is what a schedule earns that starts a load only when a request waits for
	// it, ForesightWorth what one earns that knows the whole day. No placement can exceed
	// UpperBound.
	ReactiveWorth, ForesightWorth, UpperBound float64
	// LargestLosses lists the windows in which actual worth fell furthest below the reactive
	// schedule's, largest loss first.
	LargestLosses []ModelLoss
}

// ModelLoss is what the requests for one model lost in one window against the reactive
// schedule.
type ModelLoss struct {
	From, Until time.Duration
	Model       string
	// Requests is how many requests earned less than by the schedule, WorthLost the sum of
	// the differences.
	Requests  int
	WorthLost float64
	// ActualSwaps describes the planner's swaps of the model, ScheduledLoads the schedule's
	// loads of it.
	ActualSwaps, ScheduledLoads string
}

// maxModelLosses limits the reported losses. modelLossWindow is slightly longer than a swap.
const (
	maxModelLosses  = 10
	modelLossWindow = 4 * time.Second
)

// Settings are the parameters of the schedule search.
type Settings struct {
	Seed   int64
	Rounds int
}

// Analyze computes a day's upper bound and searches for schedules, reactive and with
// foresight.
func Analyze(d *daylog.Day, worthFunc WorthFunc, settings Settings) Analysis {
	p := newProblem(d, worthFunc)
	reactive := p.search(settings.Seed, settings.Rounds, false)
	foresight := p.search(settings.Seed, settings.Rounds, true)
	result := Analysis{TotalWorth: p.totalWorth(), ActualWorth: p.actualWorth(), ReactiveWorth: reactive.totalEarned, ForesightWorth: max(foresight.totalEarned, reactive.totalEarned)}
	for i := range p.models {
		result.Requests += len(p.models[i].demands)
	}
	result.UpperBound = p.upperBound(result.ForesightWorth)
	result.LargestLosses = reactive.largestLosses(d)
	return result
}

// largestLosses returns the windows in which requests earned less than by the schedule, the
// largest loss first.
func (s *schedule) largestLosses(d *daylog.Day) []ModelLoss {
	type key struct {
		model  int
		window time.Duration
	}
	losses := make(map[key]*ModelLoss)
	for m := range s.models {
		for i := range s.models[m].demands {
			request := &s.models[m].demands[i]
			missed := s.demandWorth(m, request) - request.actualWorth
			if missed <= 0 {
				continue
			}
			lossKey := key{m, request.arrivedAt / modelLossWindow}
			if losses[lossKey] == nil {
				losses[lossKey] = &ModelLoss{From: lossKey.window * modelLossWindow, Until: (lossKey.window + 1) * modelLossWindow, Model: s.models[m].Name}
			}
			losses[lossKey].Requests++
			losses[lossKey].WorthLost += missed
		}
	}
	var out []ModelLoss
	for lossKey, loss := range losses {
		loss.ActualSwaps, loss.ScheduledLoads = describeSwaps(d, loss), s.describeLoads(lossKey.model, loss)
		out = append(out, *loss)
	}
	slices.SortFunc(out, func(a, b ModelLoss) int {
		return cmp.Or(cmp.Compare(b.WorthLost, a.WorthLost), cmp.Compare(a.From, b.From), cmp.Compare(a.Model, b.Model))
	})
	return out[:min(len(out), maxModelLosses)]
}

// describeSwaps describes the planner's swaps of a model around the window of a loss.
func describeSwaps(d *daylog.Day, loss *ModelLoss) string {
	var descriptions []string
	for i := range d.Swaps {
		swap := &d.Swaps[i]
		if swap.PlannedAt < loss.From-modelLossWindow || swap.PlannedAt > loss.Until+modelLossWindow {
			continue
		}
		action := ""
		switch {
		case swap.Load == loss.Model && swap.Started:
			action = "loads from " + swap.Source
		case swap.Load == loss.Model:
			action = "requests a load that is not started"
		case slices.Contains(swap.Unload, loss.Model) && swap.Started:
			action = "is unloaded for " + swap.Load
		default:
			continue
		}
		descriptions = append(descriptions, fmt.Sprintf("%s %s on %s", formatSeconds(swap.PlannedAt), action, swap.Engine))
	}
	if len(descriptions) == 0 {
		return "nothing"
	}
	return strings.Join(descriptions, "; ")
}

// describeLoads describes the schedule's loads of a model around the window of a loss.
func (s *schedule) describeLoads(model int, loss *ModelLoss) string {
	var descriptions []string
	for e := range s.plans {
		for _, load := range s.plans[e].executed {
			if load.model != model || load.readyAt < loss.From-modelLossWindow || load.startedAt > loss.Until {
				continue
			}
			source := "a copy"
			if load.fromStore {
				source = "the store"
			}
			descriptions = append(descriptions, fmt.Sprintf("%s loads from %s on %s, ready %s", formatSeconds(load.startedAt), source, s.engines[e].id, formatSeconds(load.readyAt)))
		}
	}
	if len(descriptions) == 0 {
		return "already resident"
	}
	slices.Sort(descriptions)
	return strings.Join(descriptions, "; ")
}

// formatSeconds formats a time since the start of the day.
func formatSeconds(at time.Duration) string { return fmt.Sprintf("%.1fs", at.Seconds()) }
