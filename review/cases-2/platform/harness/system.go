package harness

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bergamotreel/platform/platformtest"
)

// Exit codes of a case.
const (
	Held, Broken, CannotRun = 0, 1, 2
)

// Zone is the only failure domain of the deployments that the cases start.
const Zone = "pos-a"

// restartDelay is how long the platform takes to restart a process that has ended.
const restartDelay = time.Second

// HasTrouble reports whether the case is run with its disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, started: time.Now()}, err
}

// Printf writes one line, with the time since the start of the case.
func (r *Record) Printf(text string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(text, values...))
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

// System is a deployment: entry VMs as processes, and the stand-in of the store.
type System struct {
	Record *Record
	Store  *platformtest.Store
	// StoreAddress is the address of the store.
	StoreAddress string
	VMs          []*VM

	deployment             Deployment
	dir, program, template string
}

// VM is an entry VM.
type VM struct {
	Name, Front, Ready, Control string
	// MemoryMB is what the platform allows its process.
	MemoryMB int

	system  *System
	metrics string
	seeds   []any

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	starts  int
	// isEnding is whether the case itself has ended the process.
	isEnding bool
	ownEnds  int
}

// Deployment holds the fields of a site that the entry VMs' settings depend on. Times are in milliseconds.
type Deployment struct {
	VMs, MemoryMB, ConfigApplyMs, DrainMs, LeaseMs, RetrySlack int
}

// Small is the deployment of the site cihat-routing, with two entry VMs.
var Small = Deployment{VMs: 2, MemoryMB: 284, ConfigApplyMs: 2000, DrainMs: 2000, LeaseMs: 3000, RetrySlack: 56}

// Demands is the deployment of the site ikaramu-ops-grown, with two entry VMs, each as small as the smallest one there.
var Demands = Deployment{VMs: 2, MemoryMB: 184, ConfigApplyMs: 3000, DrainMs: 3000, LeaseMs: 3000, RetrySlack: 164}

// Start starts a system with the given configuration, and waits until all entry VMs are ready. Run it in the repository's
// root.
func Start(record *Record, configuration string, deployment Deployment) (*System, error) {
	template, err := os.ReadFile("deploy/settings.ini.tmpl")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/bergamotreel")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	s := &System{Record: record, deployment: deployment, Store: platformtest.NewStore(), dir: dir, program: program, template: string(template)}
	store := httptest.NewServer(s.Store)
	s.StoreAddress = store.Listener.Addr().String()
	s.Store.ShareAmongMembers(Zone)
	s.Store.Put("keyed.op", "config", []byte(configuration))
	var seeds []any
	for i := range deployment.VMs {
		vm := &VM{Name: fmt.Sprintf("front-%s-%d", Zone, i+1), MemoryMB: deployment.MemoryMB, system: s}
		vm.Front, vm.Ready, vm.Control, vm.metrics = freeAddress(), freeAddress(), freeAddress(), freeAddress()
		if len(seeds) < 3 {
			seeds = append(seeds, vm.Control)
		}
		s.VMs = append(s.VMs, vm)
	}
	for _, vm := range s.VMs {
		vm.seeds = seeds
		if err := vm.Start(); err != nil {
			return s, err
		}
	}
	for _, vm := range s.VMs {
		if err := vm.AwaitReady(20 * time.Second); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Stop ends all processes and removes the temporary folder.
func (s *System) Stop() {
	for _, vm := range s.VMs {
		vm.end(syscall.SIGKILL)
	}
	os.RemoveAll(s.dir)
}

// PutServer registers a backend server in the store. Models is the JSON of what a model engine holds, empty for a plain
// service.
func (s *System) PutServer(id, service, address string, slots int, models string) {
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldLeftMs":0,"sequence":1`,
		service, address, Zone, slots)
	if models != "" {
		entry += `,"stage":"mixed","models":` + models
	}
	s.Store.Put("keyed.servers", id, []byte(entry+"}"))
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return ""
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Start starts the VM's process, as the deploy file says.
func (vm *VM) Start() error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	_, metricsPort, _ := net.SplitHostPort(vm.metrics)
	zones := map[string]any{Zone: "pos"}
	d := vm.system.deployment
	fields := map[string]any{
		"nodeName": vm.Name, "zone": Zone, "region": "pos", "zones": zones, "ip": "127.0.0.1", "bootstrap": vm.starts == 0,
		"listen":        map[string]any{"front": vm.Front, "ready": vm.Ready, "control": vm.Control},
		"internalPorts": []any{metricsPort}, "seeds": vm.seeds, "limits": map[string]any{"memoryMb": vm.MemoryMB},
		"platform": map[string]any{"address": vm.system.StoreAddress, "parts": 12},
		"bounds": map[string]any{
			"leaseMs": d.LeaseMs, "configApplyMs": d.ConfigApplyMs, "drainMs": d.DrainMs, "graceS": 8, "retryRatio": 0.2,
			"retrySlack": d.RetrySlack, "retryWindowS": 10,
		},
	}
	file := filepath.Join(vm.system.dir, vm.Name+".ini")
	if err := os.WriteFile(file, []byte(Render(vm.system.template, fields)), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(vm.system.dir, fmt.Sprintf("%s-%d.log", vm.Name, vm.starts)))
	if err != nil {
		return err
	}
	command := exec.Command(vm.system.program, "serve")
	command.Env = append(os.Environ(), "BERGAMOTREEL_CONFIG="+file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	vm.command, vm.exited, vm.isEnding = command, make(chan struct{}), false
	vm.starts++
	vm.system.Record.Printf("%s started, process %d", vm.Name, command.Process.Pid)
	go func(exited chan struct{}) {
		err := command.Wait()
		log.Close()
		vm.mu.Lock()
		if !vm.isEnding {
			vm.ownEnds++
			vm.system.Record.Printf("%s has ended by itself: %v", vm.Name, err)
		}
		vm.mu.Unlock()
		close(exited)
	}(vm.exited)
	return nil
}

// AwaitReady waits until the VM answers that it is ready.
func (vm *VM) AwaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get("http://" + vm.Ready + "/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(vm.Name + " is not ready")
}

// Signal sends a signal to the VM's process.
func (vm *VM) Signal(signal syscall.Signal) error {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.command.Process.Signal(signal)
}

// end ends the VM's process with a signal and waits for its end.
func (vm *VM) end(signal syscall.Signal) {
	vm.mu.Lock()
	if vm.command == nil {
		vm.mu.Unlock()
		return
	}
	vm.isEnding = true
	_ = vm.command.Process.Signal(signal)
	exited := vm.exited
	vm.mu.Unlock()
	<-exited
}

// OwnEnds returns how often the VM's process has ended by itself or because it exceeded its memory.
func (vm *VM) OwnEnds() int {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.ownEnds
}

// ResidentBytes returns the resident memory of the VM's process, 0 if it has none.
func (vm *VM) ResidentBytes() int64 {
	vm.mu.Lock()
	pid := vm.command.Process.Pid
	vm.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes << 10
		}
	}
	return 0
}

// EnforceMemory does what the platform does to a process that exceeds its memory: it kills the process and restarts it
// after a short delay. Only resident memory counts here, in units of 2^20 bytes, which is to the process's advantage. It
// returns once stop is closed.
func (vm *VM) EnforceMemory(stop <-chan struct{}) {
	var most int64
	for {
		select {
		case <-stop:
			vm.system.Record.Printf("%s: most resident memory since its last start %d MiB", vm.Name, most>>20)
			return
		case <-time.After(10 * time.Millisecond):
		}
		resident := vm.ResidentBytes()
		most = max(most, resident)
		if resident <= int64(vm.MemoryMB)<<20 {
			continue
		}
		vm.system.Record.Printf("%s exceeds its memory: %d MiB resident, %d allowed; killed", vm.Name, resident>>20, vm.MemoryMB)
		vm.end(syscall.SIGKILL)
		vm.mu.Lock()
		vm.ownEnds++
		vm.mu.Unlock()
		time.Sleep(restartDelay)
		if err := vm.Start(); err != nil {
			vm.system.Record.Printf("%s not restarted: %v", vm.Name, err)
			return
		}
		_ = vm.AwaitReady(10 * time.Second)
		most = 0
	}
}

// StopAsPlanned stops the VM's process as the platform does: with SIGTERM, and SIGKILL once the grace is over. Then it starts
// a new process.
func (vm *VM) StopAsPlanned(grace time.Duration) {
	vm.mu.Lock()
	vm.isEnding = true
	_ = vm.command.Process.Signal(syscall.SIGTERM)
	exited := vm.exited
	vm.mu.Unlock()
	select {
	case <-exited:
		vm.system.Record.Printf("%s has stopped", vm.Name)
	case <-time.After(grace):
		vm.system.Record.Printf("%s killed at the end of its grace", vm.Name)
		vm.end(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	if err := vm.Start(); err != nil {
		vm.system.Record.Printf("%s not restarted: %v", vm.Name, err)
	}
}

// KillAndRestart kills the VM's process and starts a new one after a short delay, as the platform does.
func (vm *VM) KillAndRestart() {
	vm.end(syscall.SIGKILL)
	time.Sleep(restartDelay / 2)
	if err := vm.Start(); err != nil {
		vm.system.Record.Printf("%s not restarted: %v", vm.Name, err)
	}
}
