package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// Usage is what a daemon uses, by its own metrics page.
type ProcessUsage struct {
	// Resident is the memory that the process holds of the machine, in bytes.
	ResidentBytes int64 `json:"resident_bytes"`
	// Go is its heap and its stacks in use, in bytes.
	GoBytes int64 `json:"go_bytes"`
	// CPU is the processor time used since its start, in seconds.
	CPUSeconds float64 `json:"cpu_seconds"`
}

// goMetrics are added up to Usage.Go.
var goMetrics = []string{"go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes"}

// readUsage reads the metrics page of the daemon; an empty address reads
// nothing.
func readUsage(ctx context.Context, address string) (ProcessUsage, error) {
	if address == "" {
		return ProcessUsage{}, nil
	}
	if err := checkLoopback([]string{address}); err != nil {
		return ProcessUsage{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return ProcessUsage{}, Error.Wrap(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return ProcessUsage{}, Error.Wrap(err)
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
	usage := ProcessUsage{
		ResidentBytes: int64(values["process_resident_memory_bytes"]),
		CPUSeconds:    values["process_cpu_seconds_total"],
	}
	for _, name := range goMetrics {
		usage.GoBytes += int64(values[name])
	}
	return usage, Error.Wrap(lines.Err())
}
