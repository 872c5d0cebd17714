package replay

import "fmt"

// Verdict compares one performance goal with the measured figures.
type Verdict struct {
	Goal, Against, Measured string
	Met                     bool
}

// maxBystanderRatio bounds a bystander's p99 during a burst, relative to its p99
// without one.
const maxBystanderRatio = 1.1

// policyGroup is a set of baseline policies that the planner is compared with.
type policyGroup struct {
	name     string
	includes func(Policy) bool
}

var policyGroups = []policyGroup{
	{"fixed keep-alive by hand", func(p Policy) bool { return !p.UsesPlanner && p.KeepAlive > 0 && !p.IndependentRouters && !p.FIFO }},
	{"our cold path with a fixed keep-alive", func(p Policy) bool { return p.UsesPlanner && p.Config.MaxKeepAlive > 0 }},
}

// tailMetric is a tail latency of a run, in seconds.
type tailMetric struct {
	name  string
	value func(*Result) float64
}

var tailMetrics = []tailMetric{
	{"cold-start p99", func(r *Result) float64 { return r.Cold.P99 }},
	{"wake-up p99", func(r *Result) float64 { return r.WakeUp.P99 }},
}

// evaluateGoals compares the rows of the shipped planner with the baselines and
// with the goals that need no baseline.
func evaluateGoals(policies []Policy, rows []Row) []Verdict {
	var out []Verdict
	var plannerResults []*Result
	for i, p := range policies {
		if p.isShippedPlanner() {
			plannerResults = append(plannerResults, rows[i].Result)
		}
	}
	for _, g := range policyGroups {
		var fixedResults []*Result
		for i, p := range policies {
			if g.includes(p) {
				fixedResults = append(fixedResults, rows[i].Result)
			}
		}
		for _, m := range tailMetrics {
			out = append(out, evaluateTail(g, m, plannerResults, fixedResults), evaluateIdleHours(g, m, plannerResults, fixedResults))
		}
	}
	return append(out, evaluatePlannerGoals(policies, rows)...)
}

// evaluateTail checks that for each fixed keep-alive a planner row with no more idle
// hours has at most half its tail latency. A fixed keep-alive with fewer idle hours
// than every planner row is only listed.
func evaluateTail(g policyGroup, m tailMetric, plannerResults, fixedResults []*Result) Verdict {
	v := Verdict{Goal: m.name + " at the same idle hours: at most half", Against: g.name}
	worst := 0.0
	for _, f := range fixedResults {
		var match *Result
		for _, r := range plannerResults {
			if r.IdleHours <= f.IdleHours && (match == nil || m.value(r) < m.value(match)) {
				match = r
			}
		}
		if match == nil {
			v.Measured += fmt.Sprintf("%s (%.1f h): none of ours has so few hours; ", f.Policy, f.IdleHours)
			continue
		}
		ratio := m.value(match) / m.value(f)
		v.Measured += fmt.Sprintf("%s (%.1f h, %.1f s): %s (%.1f h, %.1f s) = %.2f; ", f.Policy, f.IdleHours, m.value(f),
			match.Policy, match.IdleHours, m.value(match), ratio)
		worst = max(worst, ratio)
	}
	v.Met = worst > 0 && worst <= 0.5
	return v
}

// evaluateIdleHours checks that for each fixed keep-alive a planner row with no
// longer tail latency has at most half its idle hours. It also lists the ratio
// without the hours that the contracts ask for. The goal is missed if every planner
// row has a longer tail latency than some fixed keep-alive.
func evaluateIdleHours(g policyGroup, m tailMetric, plannerResults, fixedResults []*Result) Verdict {
	v := Verdict{Goal: "idle hours at the same " + m.name + ": at most half", Against: g.name}
	worst := 0.0
	for _, f := range fixedResults {
		var match *Result
		for _, r := range plannerResults {
			if m.value(r) <= m.value(f) && (match == nil || r.IdleHours < match.IdleHours) {
				match = r
			}
		}
		if match == nil {
			v.Measured += fmt.Sprintf("%s (%.1f s): none of ours has as good a tail; ", f.Policy, m.value(f))
			worst = 2 // above the limit of 0.5, so the goal is missed
			continue
		}
		ratio := match.IdleHours / f.IdleHours
		ratioAboveContract := (match.IdleHours - match.ContractHours) / (f.IdleHours - f.ContractHours)
		v.Measured += fmt.Sprintf("%s (%.1f s, %.1f h): %s (%.1f s, %.1f h) = %.2f, above the contract's %.2f; ", f.Policy, m.value(f), f.IdleHours,
			match.Policy, m.value(match), match.IdleHours, ratio, ratioAboveContract)
		worst = max(worst, ratio)
	}
	v.Met = worst > 0 && worst <= 0.5
	return v
}

// evaluatePlannerGoals checks the goals for the planner alone: loads match the
// decisions and contracts, every request gets its final answer in time, and
// bystanders are not slowed down by a burst.
func evaluatePlannerGoals(policies []Policy, rows []Row) []Verdict {
	loads := Verdict{Goal: "loads exactly as decided, none over the contract", Against: "all rows of ours", Met: true}
	final := Verdict{Goal: "no request without a final answer within its longest wait", Against: "all rows of ours", Met: true}
	fair := Verdict{Goal: "bystander's p99 beside a 10-fold burst at most 1.1 times alone", Against: "all rows of ours", Met: true}
	worst, worstAll, noise := 0.0, 0.0, 0.0
	decided, loaded, over, overdue, late := 0, 0, 0, 0, 0
	for i, p := range policies {
		if !p.isShippedPlanner() {
			continue
		}
		r := rows[i]
		decided += r.Decided
		loaded += r.Loads
		over += r.OverLimit
		overdue += r.Overdue
		late += r.Late
		worst = max(worst, r.Bystander.Ratio)
		noise = max(noise, r.Bystander.Noise)
		if ratioAll := r.Bystander.AllBeside / r.Bystander.AllAlone; ratioAll > worstAll {
			worstAll = ratioAll
		}
	}
	loads.Measured = fmt.Sprintf("%d loads, %d decided, %d over the contract", loaded, decided, over)
	loads.Met = loaded == decided && over == 0
	final.Measured = fmt.Sprintf("%d overdue, %d answered late", overdue, late)
	final.Met = overdue == 0 && late == 0
	fair.Measured = fmt.Sprintf("worst office of the worst row %.2f (without a burst, by noise, %.2f); all bystanders together %.2f", worst, noise, worstAll)
	fair.Met = worst <= maxBystanderRatio
	return []Verdict{loads, final, fair}
}
