package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"bergamotreel/platform/platformtest"
)

// beatInterval is how often backend servers write their entry.
const beatInterval = 1200 * time.Millisecond

// startTimeout bounds the start of the entry VMs.
const startTimeout = 20 * time.Second

// vmSettings are deploy/settings.ini.tmpl as the platform fills it in for a small deployment; only
// the addresses and the ports are those of this machine.
const vmSettings = `[vm]
id = %[1]s
domain = %[2]s
region = pos
callers_address = %[3]s
peers_address = %[4]s
ready_address = %[5]s
first_start = true
[platform]
kind = hosted
registry = %[6]s
shards = 12
order_quiet = 3000ms
apply_within = 2000ms
drain_within = 2000ms
[peers]
secret = entry-vms-of-one-closed-network-know-this
seeds = %[7]s
domains = %[9]s
[limits]
held_bytes = 48MiB
memory = 284MB
queue = 4096
[policy]
retry_budget = 0.2
retry_slack = 56
retry_window = 10s
engine_pace = true
spread_returns = true
shutdown_grace = 7200ms
[metrics]
address = %[8]s
`

// maxSeeds is how many entry VMs the settings name.
const maxSeeds = 3

// zones are those of the deployment.
var zones = []string{"pos-a", "pos-b"}

// entryVM is the process of an entry VM.
type entryVM struct {
	name, zone                     string
	callers, peers, ready, metrics string
	command                        *exec.Cmd
}

// system is a small deployment with its record.
type system struct {
	trouble bool
	store   *platformtest.Store
	servers []*backendServer
	vms     []*entryVM

	started time.Time
	// trafficStart is when the clients began.
	trafficStart time.Time
	dir          string
	storeURL     string
	done         chan struct{}

	mu     sync.Mutex
	record io.Writer
	failed error
	// runs counts how often each request ran.
	runs   map[string]int
	nextID int
}

func newSystem(record io.Writer, trouble bool) (*system, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{
		trouble: trouble, store: platformtest.NewStore(), started: time.Now(), dir: dir, done: make(chan struct{}),
		record: record, runs: make(map[string]int),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeURL = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store) }()
	for _, zone := range zones {
		s.store.ShareAmongMembers(zone)
	}
	s.note("trouble: %t", trouble)
	return s, nil
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// fail records that the case can't run.
func (s *system) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = errors.Join(s.failed, err)
}

func (s *system) err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// newRequestID returns the ID of a client attempt.
func (s *system) newRequestID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	return fmt.Sprintf("9c41d07b%08x", s.nextID)
}

// beginRun counts a run of the request and returns how often it has run.
func (s *system) beginRun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return s.runs[id]
}

// countRuns returns how often the request has run.
func (s *system) countRuns(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Ports of entry VMs are taken from below the kernel's ephemeral range, so that no outgoing
// connection takes one before the process listens.
const firstPort, lastPort = 15000, 30000

// freeAddress returns an address that nothing listens on.
func freeAddress() (string, error) {
	for range 100 {
		listener, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", errors.New("no free port")
}

// startVMs starts entry VMs in each zone and waits until all are ready.
func (s *system) startVMs(perZone int) error {
	for i := range perZone * len(zones) {
		zone := zones[i%len(zones)]
		vm := &entryVM{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), zone: zone}
		for _, address := range []*string{&vm.callers, &vm.peers, &vm.ready, &vm.metrics} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		s.vms = append(s.vms, vm)
	}
	for _, vm := range s.vms {
		if err := s.startVM(vm, s.seeds()); err != nil {
			return err
		}
	}
	for _, vm := range s.vms {
		if err := waitReady(vm); err != nil {
			return err
		}
		s.note("%s is ready", vm.name)
	}
	return nil
}

// seeds returns the addresses of entry VMs that the settings name.
func (s *system) seeds() string {
	var seeds []string
	for _, vm := range s.vms[:min(len(s.vms), maxSeeds)] {
		seeds = append(seeds, vm.peers)
	}
	return strings.Join(seeds, ",")
}

func (s *system) startVM(vm *entryVM, seeds string) error {
	file := filepath.Join(s.dir, vm.name+".ini")
	text := fmt.Sprintf(vmSettings, vm.name, vm.zone, vm.callers, vm.peers, vm.ready, s.storeURL, seeds, vm.metrics, strings.Join(zones, ","))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.dir, vm.name+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	vm.command = exec.Command("target/bergamotreel", "serve")
	vm.command.Env = append(os.Environ(), "BERGAMOTREEL_CONFIG="+file)
	vm.command.Stdout, vm.command.Stderr = output, output
	return vm.command.Start()
}

func waitReady(vm *entryVM) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + vm.ready + "/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", vm.name, startTimeout)
}

// stop ends all processes that the system started. REVIEW_KEEP keeps their logs.
func (s *system) stop() {
	close(s.done)
	for _, vm := range s.vms {
		if vm.command == nil || vm.command.Process == nil {
			continue
		}
		_ = vm.command.Process.Signal(syscall.SIGCONT)
		_ = vm.command.Process.Kill()
		_ = vm.command.Wait()
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", s.dir)
	}
}
