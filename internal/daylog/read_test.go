package daylog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const begin = "2026-03-04T21:00:00Z"

// logLines builds log lines at times in seconds after the start of the day.
type logLines struct{ lines []string }

func (l *logLines) add(vm string, at float64, message, fields string) {
	start, _ := time.Parse(time.RFC3339, begin)
	ts := start.Add(time.Duration(at * float64(time.Second))).Format(time.RFC3339Nano)
	l.lines = append(l.lines, fmt.Sprintf(`  %.4f %s {"level":"info","ts":%q,"msg":%q,"vm":%q,%s}`, at, vm, ts, message, vm, fields))
}

func (l *logLines) read() (*Day, error) {
	days, err := Read(strings.NewReader(strings.Join(l.lines, "\n")))
	return days["llm"], err
}

// newSmallDayLog returns the log of a day with one engine, two models and two callers: one is
// refused and retries, the other is answered at once.
func newSmallDayLog() *logLines {
	l := &logLines{}
	l.add("a", 0, "backend server listed", `"backend":"e1","service":"llm","domain":"d"`)
	l.add("b", 0.1, "backend server listed", `"backend":"e1","service":"llm","domain":"d"`)
	l.add("a", 0.5, "planning", `"by_this_vm":true`)
	l.add("a", 0.5, "pool planned for", `"service":"llm","room":100,"models":2`)
	l.add("a", 0.5, "models planned for", `"service":"llm","models":[{"name":"m1","bytes":60,"from_memory_ns":100000000,"from_disk_ns":2000000000,"from_store_ns":9000000000}]`)
	l.add("a", 0.5, "models planned for", `"service":"llm","models":[{"name":"m2","bytes":60,"from_memory_ns":100000000,"from_disk_ns":2000000000,"from_store_ns":9000000000}]`)
	l.add("a", 0.6, "engine planned for", `"engine":"e1","service":"llm","models":["m1"],"in_memory":[],"on_disk":["m1","m2"]`)
	l.add("a", 1.2, "not sent", `"request":"r1","ready_at_arrival":false`)
	l.add("a", 1.2, "request ended", `"request":"r1","route":"r","service":"llm","model":"m2","code":"wait_too_long","took":"200ms","target":"500ms","allowed":"10s","retry_after":"2s"`)
	l.add("a", 1.3, "swap planned", `"service":"llm","engine":"e1","load":"m2","unload":["m1"],"source":"disk","takes":"2s","begun":true,"purpose":"turned away"`)
	l.add("b", 4, "attempt", `"request":"r2","ready_at_arrival":true,"waited":"1ms"`)
	l.add("b", 4, "request ended", `"request":"r2","route":"r","service":"llm","model":"m2","code":"ok","took":"800ms","target":"500ms","allowed":"7.81s","first":"90ms"`)
	l.add("b", 5, "attempt", `"request":"r3","ready_at_arrival":true,"waited":"1ms"`)
	l.add("b", 5, "request ended", `"request":"r3","route":"r","service":"llm","model":"m1","code":"ok","took":"700ms","target":"500ms","allowed":"10s","first":"80ms"`)
	return l
}

func TestReadDay(t *testing.T) {
	d, err := newSmallDayLog().read()
	testkit.Need(t, err == nil, "%v", err)
	testkit.Equal(t, "requests", len(d.Requests), 3)
	first, returned, other := d.Requests[0], d.Requests[1], d.Requests[2]
	testkit.Equal(t, "the first attempt", first.ID, "r1")
	testkit.That(t, first.RetryIndex == 1 && returned.IsRetry && !other.IsRetry, "retries: %+v", d.Requests)
	testkit.That(t, returned.IsInTime() && returned.TimeToFirstToken == 90*time.Millisecond && returned.ReadyAtArrival, "got %+v", returned)
	e := d.Engines["e1"]
	testkit.That(t, e.HasStatus && e.GoneAt == d.Length && len(e.OnDisk) == 2, "got %+v", e)
	testkit.That(t, len(d.Swaps) == 1 && d.Swaps[0].Started && d.Swaps[0].Load == "m2", "got %+v", d.Swaps)
	testkit.Equal(t, "models", len(d.Models), 2)
}

// A bound computed from incomplete logs would look valid, so Read must return an error that
// names what is missing.
func TestReadReportsMissingLines(t *testing.T) {
	without := func(part string) func(*logLines) {
		return func(l *logLines) {
			kept := l.lines[:0]
			for _, line := range l.lines {
				if !strings.Contains(line, part) {
					kept = append(kept, line)
				}
			}
			l.lines = kept
		}
	}
	for _, c := range []struct {
		name    string
		corrupt func(*logLines)
		want    string
	}{
		{"no lines", func(l *logLines) { l.lines = []string{"nothing"} }, "no log lines"},
		{"no planner", without("planned for"), "the VM that planned"},
		{"half of the models", without(`"name":"m2"`), "2 models planned for"},
		{"no requests", without("request ended"), "request ended"},
		{"no engines", func(l *logLines) { without("server listed")(l); without("engine planned for")(l) }, "backend server listed"},
		{"ends are missing", without(`"request ended","vm":"b"`), "lines are missing"},
		{"dropped lines", func(l *logLines) { l.add("b", 6, "log lines dropped", `"lines":7`) }, "7 log lines were dropped"},
		{"a clock goes back", func(l *logLines) { l.add("b", 2, "attempt", `"request":"r4"`) }, "the clock of b went back by 3s"},
		{"cut lines", func(l *logLines) {
			l.lines = append(l.lines, `x {"level":"info","ts":`, `x {"level":"in`, `x {"level":"info","msg`)
		}, "break off"},
		{"an engine without status", func(l *logLines) {
			l.add("a", 5, "backend server listed", `"backend":"e2","service":"llm","domain":"d"`)
			l.add("a", 30, "residency", `"service":"llm"`)
		}, "engine e2 was listed for 25s"},
	} {
		l := newSmallDayLog()
		c.corrupt(l)
		_, err := l.read()
		testkit.That(t, err != nil && strings.Contains(err.Error(), c.want), "%s: got %v", c.name, err)
	}
}

// Corrupt log lines must lead to an error or a day, never to a panic.
func FuzzRead(f *testing.F) {
	f.Add(strings.Join(newSmallDayLog().lines, "\n"))
	f.Add(`{"ts":"2026-03-04T21:00:00Z","msg":"pool planned for","models":-1}`)
	f.Fuzz(func(t *testing.T, text string) { _, _ = Read(strings.NewReader(text)) })
}
