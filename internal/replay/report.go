package replay

import (
	"fmt"
	"io"
	"strings"
)

// Report is all runs of one deployment at one seed.
type Report struct {
	Deployment string
	Seed       uint64
	// Plain has one row for each policy on the day without a fault.
	Plain []Row
	// Faulty has the chosen policies under each fault.
	Faulty []*Result
	// Bursts has the loads of the opening hour against what was decided.
	Verdicts []Verdict
}

// Row is a policy's day without a fault, with the fairness experiment.
type Row struct {
	*Result
	Bystander Bystander
}

// header is the table's; every time is in seconds.
const header = "| Policy | Fault | Cold starts | Cold p50 | p95 | p99 | Wake-up p50 | p95 | p99 | In time % | Refused % | Late | Overdue | " +
	"Idle acc. hours | of these by contract | Loads (remote) | Decided | Over the contract | Worst bystander's p99 beside / alone (noise) | All bystanders' p99 |\n" +
	"|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n"

// Markdown writes the report's tables.
func (r *Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s, seed %d\n\n", r.Deployment, r.Seed)
	b.WriteString(header)
	for _, row := range r.Plain {
		bystander := "– | –"
		if y := row.Bystander; y.Alone > 0 {
			bystander = fmt.Sprintf("%.2f / %.2f = %.2f (%.2f) | %.2f / %.2f", y.Beside, y.Alone, y.Ratio, y.Noise, y.AllBeside, y.AllAlone)
		}
		writeRow(&b, row.Result, bystander)
	}
	for _, result := range r.Faulty {
		writeRow(&b, result, "– | –")
	}
	b.WriteString("\nBystanders' requests that were slower beside the burst than alone, and the other way round, by what they met:\n\n")
	for _, row := range r.Plain {
		fmt.Fprintf(&b, "- %s: slower %s faster %s\n", row.Policy, writeSlower(row.Bystander.Slower), writeSlower(row.Bystander.Faster))
	}
	b.WriteString("\n| Goal | Against | Measured | Met |\n|---|---|---|---|\n")
	for _, v := range r.Verdicts {
		met := "no"
		if v.Met {
			met = "yes"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", v.Goal, v.Against, v.Measured, met)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writeRow(b *strings.Builder, r *Result, bystander string) {
	fmt.Fprintf(b, "| %s | %s | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f | %d | %d | %.1f | %.1f | %d (%d) | %d | %d | %s |\n",
		r.Policy, r.Fault, r.Cold.Count, r.Cold.P50, r.Cold.P95, r.Cold.P99, r.WakeUp.P50, r.WakeUp.P95, r.WakeUp.P99,
		100*r.InTime, 100*r.Refused, r.Late, r.Overdue, r.IdleHours, r.ContractHours, r.Loads, r.Remote, r.Decided, r.OverLimit, bystander)
}
