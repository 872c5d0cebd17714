package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// ProcessUsage holds the resource usage of a daemon as its metrics page reports it.
type ProcessUsage struct {
	// ResidentBytes is the resident memory of the process.
	ResidentBytes int64 `json:"resident_bytes"`
	// GoBytes is the Go heap and the Go stacks in use.
	GoBytes int64 `json:"go_bytes"`
	// CPUSeconds is the processor time used since the process started.
	CPUSeconds float64 `json:"cpu_seconds"`
}

// goMemoryMetrics names the metrics whose sum is ProcessUsage.GoBytes.
var goMemoryMetrics = []string{"go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes"}

// readUsage reads the metrics page of the daemon. An empty address returns a zero
// ProcessUsage.
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
	for _, name := range goMemoryMetrics {
		usage.GoBytes += int64(values[name])
	}
	return usage, Error.Wrap(lines.Err())
}
