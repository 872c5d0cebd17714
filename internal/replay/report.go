package replay

import (
	"fmt"
	"io"
	"strings"
)

// Report holds all runs of one deployment with one seed.
type Report struct {
	Deployment string
	Seed       uint64
	// Plain has one row for each policy on the day without a fault.
	Plain []Row
	// Faulty has the selected policies of faultPolicies under each fault.
	Faulty []*Result
	// Verdicts has the goals compared with Plain.
	Verdicts []Verdict
}

// Row holds a policy's results without a fault and in the fairness experiment.
type Row struct {
	*Result
	Bystander Bystander
}

// header is the header of the results table; all times are in seconds.
const header = "| Policy | Fault | Cold starts | Cold p50 | p95 | p99 | Wake-up p50 | p95 | p99 | In time % | Refused % | Late | Overdue | " +
	"Idle acc. hours | of these by contract | Loads (remote) | Decided | Over the contract | Worst bystander's p99 beside / alone (noise) | All bystanders' p99 |\n" +
	"|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n"

// WriteMarkdown writes the report's tables as Markdown.
func (r *Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "### %s, seed %d\n\n", r.Deployment, r.Seed)
	b.WriteString(header)
	for _, row := range r.Plain {
		bystander := "– | –"
		if worst := row.Bystander; worst.Alone > 0 {
			bystander = fmt.Sprintf("%.2f / %.2f = %.2f (%.2f) | %.2f / %.2f", worst.Beside, worst.Alone, worst.Ratio, worst.Noise, worst.AllBeside, worst.AllAlone)
		}
		writeRow(&b, row.Result, bystander)
	}
	for _, result := range r.Faulty {
		writeRow(&b, result, "– | –")
	}
	b.WriteString("\nBystanders' requests that were slower beside the burst than alone, and the other way round, by what they met:\n\n")
	for _, row := range r.Plain {
		fmt.Fprintf(&b, "- %s: slower %s faster %s\n", row.Policy, formatDelays(row.Bystander.Slower), formatDelays(row.Bystander.Faster))
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
