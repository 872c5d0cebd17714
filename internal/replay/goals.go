package replay

import "fmt"

// Verdict is one goal of the issue against what was measured.
type Verdict struct {
	Goal, Against, Measured string
	Met                     bool
}

// bystanderGoal bounds a bystander's p99 beside a burst by its p99 alone.
const bystanderGoal = 1.1

// group is a set of policies that a curve of ours is compared with.
type group struct {
	name string
	in   func(Policy) bool
}

var groups = []group{
	{"fixed keep-alive by hand", func(p Policy) bool { return !p.Ours && p.Keep > 0 && !p.EachRouter && !p.FIFO }},
	{"our cold path with a fixed keep-alive", func(p Policy) bool { return p.Ours && p.Config.MaxKeepAlive > 0 }},
}

// measure is a tail of cold starts.
type measure struct {
	name string
	of   func(*Result) float64
}

var measures = []measure{
	{"cold-start p99", func(r *Result) float64 { return r.Cold.P99 }},
	{"wake-up p99", func(r *Result) float64 { return r.WakeUp.P99 }},
}

// judge compares our rows with the baselines.
func judge(policies []Policy, rows []Row) []Verdict {
	var out []Verdict
	var ours []*Result
	for i, p := range policies {
		if p.isOurs() {
			ours = append(ours, rows[i].Result)
		}
	}
	for _, g := range groups {
		var fixed []*Result
		for i, p := range policies {
			if g.in(p) {
				fixed = append(fixed, rows[i].Result)
			}
		}
		for _, m := range measures {
			out = append(out, judgeTail(g, m, ours, fixed), judgeHours(g, m, ours, fixed))
		}
	}
	return append(out, judgeRest(policies, rows)...)
}

// judgeTail: at no more idle hours than the fixed keep-alive with the best tail
// of those within reach, at most half its tail.
func judgeTail(g group, m measure, ours, fixed []*Result) Verdict {
	v := Verdict{Goal: m.name + " at the same idle hours: at most half", Against: g.name}
	best := 0.0
	for _, f := range fixed {
		var mine *Result
		for _, o := range ours {
			if o.IdleHours <= f.IdleHours && (mine == nil || m.of(o) < m.of(mine)) {
				mine = o
			}
		}
		if mine == nil {
			v.Measured += fmt.Sprintf("%s (%.1f h): none of ours has so few hours; ", f.Policy, f.IdleHours)
			continue
		}
		ratio := m.of(mine) / m.of(f)
		v.Measured += fmt.Sprintf("%s (%.1f h, %.1f s): %s (%.1f h, %.1f s) = %.2f; ", f.Policy, f.IdleHours, m.of(f),
			mine.Policy, mine.IdleHours, m.of(mine), ratio)
		best = max(best, ratio)
	}
	v.Met = best > 0 && best <= 0.5
	return v
}

// judgeHours: with no worse a tail, at most half the idle hours; both in total
// and without what the contracts ask for.
func judgeHours(g group, m measure, ours, fixed []*Result) Verdict {
	v := Verdict{Goal: "idle hours at the same " + m.name + ": at most half", Against: g.name}
	worst := 0.0
	for _, f := range fixed {
		var mine *Result
		for _, o := range ours {
			if m.of(o) <= m.of(f) && (mine == nil || o.IdleHours < mine.IdleHours) {
				mine = o
			}
		}
		if mine == nil {
			v.Measured += fmt.Sprintf("%s (%.1f s): none of ours has as good a tail; ", f.Policy, m.of(f))
			worst = 2
			continue
		}
		ratio := mine.IdleHours / f.IdleHours
		above := (mine.IdleHours - mine.ContractHours) / (f.IdleHours - f.ContractHours)
		v.Measured += fmt.Sprintf("%s (%.1f s, %.1f h): %s (%.1f s, %.1f h) = %.2f, above the contract's %.2f; ", f.Policy, m.of(f), f.IdleHours,
			mine.Policy, m.of(mine), mine.IdleHours, ratio, above)
		worst = max(worst, ratio)
	}
	v.Met = worst > 0 && worst <= 0.5
	return v
}

func judgeRest(policies []Policy, rows []Row) []Verdict {
	loads := Verdict{Goal: "loads exactly as decided, none over the contract", Against: "all rows of ours", Met: true}
	final := Verdict{Goal: "no request without a final answer within its longest wait", Against: "all rows of ours", Met: true}
	fair := Verdict{Goal: "bystander's p99 beside a 10-fold burst at most 1.1 times alone", Against: "all rows of ours", Met: true}
	worst, worstAll, noise := 0.0, 0.0, 0.0
	decided, loaded, over, overdue, late := 0, 0, 0, 0, 0
	for i, p := range policies {
		if !p.isOurs() {
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
		if pooled := r.Bystander.AllBeside / r.Bystander.AllAlone; pooled > worstAll {
			worstAll = pooled
		}
	}
	loads.Measured = fmt.Sprintf("%d loads, %d decided, %d over the contract", loaded, decided, over)
	loads.Met = loaded == decided && over == 0
	final.Measured = fmt.Sprintf("%d overdue, %d answered late", overdue, late)
	final.Met = overdue == 0 && late == 0
	fair.Measured = fmt.Sprintf("worst office of the worst row %.2f (without a burst, by noise, %.2f); all bystanders together %.2f", worst, noise, worstAll)
	fair.Met = worst <= bystanderGoal
	return []Verdict{loads, final, fair}
}
