package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// Usage is what a daemon uses, by its own metrics page.
type Usage struct {
	// Resident is the memory that the process holds of the machine, in bytes.
	Resident int64 `json:"resident_bytes"`
	// Go is its heap and its stacks in use, in bytes.
	Go int64 `json:"go_bytes"`
	// CPU is the processor time used since its start, in seconds.
	CPU float64 `json:"cpu_seconds"`
}

// goMetrics are added up to Usage.Go.
var goMetrics = []string{"go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes"}

// readUsage reads the metrics page of the daemon; an empty address reads
// nothing.
func readUsage(ctx context.Context, address string) (Usage, error) {
	if address == "" {
		return Usage{}, nil
	}
	if err := checkLoopback([]string{address}); err != nil {
		return Usage{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	defer answer.Body.Close()
	values := map[string]float64{}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	usage := Usage{
		Resident: int64(values["process_resident_memory_bytes"]),
		CPU:      values["process_cpu_seconds_total"],
	}
	for _, name := range goMetrics {
		usage.Go += int64(values[name])
	}
	return usage, Error.Wrap(lines.Err())
}
