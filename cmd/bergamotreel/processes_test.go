package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"net/http"

	"bergamotreel/internal/devsystem"
	"bergamotreel/internal/httpjson"
	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

// processTimeout bounds each wait for a process. It is generous, as the test checks no
// speed.
const processTimeout = 60 * time.Second

// TestSeparateProcesses runs each part of the system as a separate process, as an operator
// does. Callers get an answer after a cold start, a complete stream, and one booking for two
// attempts. Then one entry VM is killed and another is asked to stop: the stopped one exits
// with 0, and the remaining ones still answer.
func TestSeparateProcesses(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"bergamotreel", "standin"} {
		build(t, filepath.Join(dir, name), "bergamotreel/cmd/"+name)
	}
	p := &processes{t: t, dir: dir}
	system := p.startSystem()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	testkit.OK(t, system.PublishContracts(ctx))
	testkit.OK(t, system.Check(ctx, testWriter{t}))

	killed, stopped := p.entries[1], p.entries[3]
	testkit.OK(t, killed.Process.Kill())
	testkit.OK(t, stopped.Process.Signal(syscall.SIGTERM))
	if err := stopped.Wait(); err != nil {
		t.Errorf("the entry VM exits with %v after SIGTERM", err)
	}
	survivors := &devsystem.System{Entries: []devsystem.Entry{system.Entries[0], system.Entries[2]}, CountBookings: system.CountBookings}
	if err := survivors.CheckModel(ctx, "damage-13b"); err != nil {
		t.Errorf("remaining entry VMs after a kill and a stop: %v", err)
	}
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(p)))
	return len(p), nil
}

func build(t *testing.T, binary, pkg string) {
	t.Helper()
	out, err := exec.Command("go", "build", "-o", binary, pkg).CombinedOutput()
	testkit.Need(t, err == nil, "%v: %s", err, out)
}

// processes starts processes that are killed at the end of the test.
type processes struct {
	t       *testing.T
	dir     string
	plan    *devsystem.Plan
	entries []*exec.Cmd
}

func (p *processes) start(binary string, args ...string) *exec.Cmd {
	p.t.Helper()
	command := exec.Command(filepath.Join(p.dir, binary), args...)
	command.Stderr = os.Stderr
	testkit.OK(p.t, command.Start())
	p.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return command
}

// startStandin starts a stand-in, waits until it listens, and returns its address.
func (p *processes) startStandin(verb string, args ...string) string {
	p.t.Helper()
	address := testkit.Value(p.plan.FreeAddress())(p.t)
	p.start("standin", append([]string{verb, "--listen", address}, args...)...)
	for begun := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return address
		}
		testkit.Need(p.t, time.Since(begun) <= processTimeout, "%s does not listen", verb)
	}
}

// startSystem starts one log, VM list, weight store and service, four engines
// and four entry VMs in two failure domains.
func (p *processes) startSystem() *devsystem.System {
	plan, err := devsystem.NewPlan()
	testkit.OK(p.t, err)
	p.t.Cleanup(func() { _ = plan.Close() })
	p.plan = plan
	plan.LogURL = "http://" + p.startStandin("log")
	plan.StoreURL = "http://" + p.startStandin("weightstore", "--bytes-per-second", "16e9")
	for i, domain := range plan.Domains() {
		for j := range 2 {
			args := []string{
				"--weight-store", plan.StoreURL, "--memory-bytes", fmt.Sprint(int64(160 << 30)),
				"--token-time", "5ms", "--disk-bytes-per-second", "68e9",
			}
			if j == 0 {
				args = append(args, "--checks-tokens")
			}
			plan.AddBackend(vmlist.VM{
				ID: fmt.Sprintf("engine-%d-%d", i, j), Kind: vmlist.KindEngine, Domain: domain,
				Address: p.startStandin("engine", args...),
			})
		}
	}
	booking := p.startStandin("service")
	plan.AddBackend(vmlist.VM{
		ID: "booking-1", Kind: vmlist.KindService, Domain: plan.Domains()[0], Service: "booking", Address: booking,
	})
	testkit.OK(p.t, plan.AddEntries())
	list, err := json.Marshal(vmlist.List{VMs: plan.VMs})
	testkit.OK(p.t, err)
	plan.ListURL = "http://" + p.startStandin("vmlist", "--file", p.write("vms.json", list))
	for i, text := range plan.SettingsFiles() {
		file := p.write(fmt.Sprintf("entry-%d.ini", i), []byte(text))
		p.entries = append(p.entries, p.start("bergamotreel", "serve", "--config", file))
	}
	return &devsystem.System{Entries: plan.Entries, CountBookings: func() int { return countBookings(p.t, booking) }}
}

// write writes a file for a process to read and returns its path.
func (p *processes) write(name string, content []byte) string {
	p.t.Helper()
	file := filepath.Join(p.dir, name)
	testkit.OK(p.t, os.WriteFile(file, content, 0o600))
	return file
}

// countBookings returns how often the service stand-in has run POST /book.
func countBookings(t *testing.T, address string) int {
	var calls []struct {
		Method, Path string
		Times        int
	}
	testkit.OK(t, httpjson.Call(t.Context(), http.DefaultClient, http.MethodGet, "http://"+address+"/admin/calls", &calls))
	total := 0
	for _, call := range calls {
		if call.Method == http.MethodPost && call.Path == "/book" {
			total += call.Times
		}
	}
	return total
}
