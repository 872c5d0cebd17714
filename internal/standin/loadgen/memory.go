package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
)

// Memory is a daemon's memory by its own metrics page, in bytes.
type Memory struct {
	// Resident is what the process holds of the machine.
	Resident int64 `json:"resident"`
	// Go is the heap and the stacks in use.
	Go int64 `json:"go"`
}

// goMetrics are added up to Memory.Go.
var goMetrics = []string{"go_memstats_heap_inuse_bytes", "go_memstats_stack_inuse_bytes"}

// readMemory reads the metrics page of the daemon; an empty address reads
// nothing.
func readMemory(ctx context.Context, address string) (Memory, error) {
	if address == "" {
		return Memory{}, nil
	}
	if err := checkLoopback([]string{address}); err != nil {
		return Memory{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return Memory{}, Error.Wrap(err)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return Memory{}, Error.Wrap(err)
	}
	defer answer.Body.Close()
	values := map[string]int64{}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = int64(value)
		}
	}
	memory := Memory{Resident: values["process_resident_memory_bytes"]}
	for _, name := range goMetrics {
		memory.Go += values[name]
	}
	return memory, Error.Wrap(lines.Err())
}
