// Command lateloads is a case of the second review: an engine starts again under its ID while orders of an entry VM's former
// process are still to be carried out, and is ordered to load more than it holds.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"bergamotreel/review/cases-2/platform/harness"
)

// The models are as large as the site's smallest and largest ones, and the engine holds as much as the site's engines do.
const (
	weightsMB = 83_000
	smallMB   = 16_100
	largeMB   = 34_300
	diskTime  = 500 * time.Millisecond
	storeTime = 10200 * time.Millisecond
	// Late orders are carried out 2 to 12 s later.
	firstLateBy  = 9500 * time.Millisecond
	secondLateBy = 11500 * time.Millisecond
	// engineDownFor is how long the crashed engine is down.
	engineDownFor = 2 * time.Second
	// crashAfter is the time from the kill of the keeper's process to the crash of the engine.
	crashAfter     = 500 * time.Millisecond
	streamEvents   = 40
	requestTimeout = 14 * time.Second
)

const configuration = `{"version":1,"routes":[
 {"name":"draft","host":"h.example","pathPrefix":"/draft/","kind":"stream","timeoutMs":17000,"targetLatencyMs":4000,"priority":1,"service":"llm","maxAttempts":1,"sticky":true,"targetGapMs":2000}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":500,"protocol":"h1","tls":false,"engine":{"slots":16,"weightsSize":83000,"adapterSlots":8,"loadsPerS":21,"models":[
  {"name":"first","weightsSize":16100,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"second","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"third","weightsSize":16100,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"fourth","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"busy1","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"busy2","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"busy3","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"busy4","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"busy5","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"busy6","weightsSize":34300,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// run is the state of the case.
type run struct {
	record *harness.Record
	system *harness.System
	engine *harness.Engine
	ids    int
	stop   chan struct{}
	mu     sync.Mutex
}

func main() {
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*path))
}

func runCase(path string) int {
	record, err := harness.NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return harness.CannotRun
	}
	defer record.Close()
	system, err := harness.Start(record, configuration, harness.Demands)
	if system != nil {
		defer system.Stop()
	}
	if err != nil {
		record.Printf("can't run: %v", err)
		return harness.CannotRun
	}
	r := &run{record: record, system: system, stop: make(chan struct{})}
	if err := r.startEngines(); err != nil {
		record.Printf("can't run: %v", err)
		return harness.CannotRun
	}
	return r.play()
}

// startEngines starts the engine that will start again, empty, and three others that hold the busy models.
func (r *run) startEngines() error {
	sizes := map[string]int{"first": smallMB, "second": largeMB, "third": smallMB, "fourth": largeMB}
	for i := range busyModels {
		sizes[busyModel(i)] = largeMB
	}
	r.engine = &harness.Engine{ID: "i-e0", Service: "llm", WeightsMB: weightsMB, ModelMB: sizes, DiskTime: diskTime, StoreTime: storeTime, Slots: 16,
		OnDisk: []string{"first", "second", "third", "fourth"}}
	if harness.HasTrouble() {
		r.engine.LateBy = firstTryAt(map[uint64]time.Duration{1: firstLateBy, 2: secondLateBy})
	}
	if err := r.system.StartEngine(r.engine); err != nil {
		return err
	}
	for i := range busyModels / 2 {
		models := []string{busyModel(2 * i), busyModel(2*i + 1)}
		other := &harness.Engine{ID: fmt.Sprint("i-o", i), Service: "llm", WeightsMB: weightsMB, ModelMB: sizes, DiskTime: diskTime, StoreTime: storeTime, Slots: 16, OnDisk: models}
		if err := r.system.StartEngine(other, models...); err != nil {
			return err
		}
	}
	return nil
}

// busyModels is the number of models that the other engines hold, two each.
const busyModels = 6

func busyModel(i int) string { return fmt.Sprint("busy", i+1) }

// firstTryAt returns a function by which the first try of the load behind each number of orders gets no answer and is
// carried out late. All other orders are answered.
func firstTryAt(late map[uint64]time.Duration) func(harness.Order) time.Duration {
	var mu sync.Mutex
	return func(order harness.Order) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if order.Operation != "load" || order.Adapter != "" || order.Expected == nil {
			return 0
		}
		by := late[*order.Expected]
		delete(late, *order.Expected)
		return by
	}
}

// play sends the requests, ends the engine and its keeper's process between them, and returns the exit code.
func (r *run) play() int {
	var busy sync.WaitGroup
	for i := range busyModels {
		busy.Go(func() { r.keepBusy(busyModel(i), i) })
	}
	for deadline := time.Now().Add(10 * time.Second); r.engine.Sequence() < loadsBefore; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.record.Printf("can't run: the engine was not ordered to load %d models", loadsBefore)
			return harness.CannotRun
		}
	}
	if harness.HasTrouble() {
		r.endKeeperAndEngine()
	}
	served := r.ask("second", 1, requestTimeout)
	// Streams run on the engine when the late orders are carried out.
	streams := make(chan bool, 2)
	for range 2 {
		go func() { streams <- r.ask("second", streamEvents, requestTimeout) }()
	}
	r.record.Printf("the streams are whole: %v, %v", <-streams, <-streams)
	close(r.stop)
	busy.Wait()
	overloads := r.engine.Overloads()
	r.record.Printf("served after the crash: %v; overloads: %v", served, overloads)
	switch {
	case len(overloads) > 0:
		r.record.Printf("BROKEN")
		return harness.Broken
	case !served:
		r.record.Printf("can't run: the model was not served after the crash")
		return harness.CannotRun
	default:
		r.record.Printf("held")
		return harness.Held
	}
}

// loadsBefore is how many models the entry VMs load on the empty engine by themselves: its disk has them.
const loadsBefore = 3

// endKeeperAndEngine kills the process of the entry VM that orders the engine, crashes the engine, and starts both again.
func (r *run) endKeeperAndEngine() {
	for _, vm := range r.system.VMs {
		if vm.Name == r.engine.LastHolder() {
			r.record.Printf("SIGKILL to %s", vm.Name)
			go vm.KillAndRestart()
		}
	}
	time.Sleep(crashAfter)
	r.engine.Crash("crash")
	time.Sleep(engineDownFor)
	if err := r.engine.Start(); err != nil {
		r.record.Printf("engine not started again: %v", err)
	}
}

// keepBusy runs one stream of a model after the other until the end.
func (r *run) keepBusy(model string, caller int) {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(100 * time.Millisecond):
			r.send(model, 20, 10*time.Second, caller)
		}
	}
}

// ask sends a request for a model, and again while it is refused, until it is served or the time is over.
func (r *run) ask(model string, events int, timeout time.Duration) bool {
	for try, deadline := 0, time.Now().Add(timeout); time.Now().Before(deadline); try++ {
		status, got := r.send(model, events, time.Until(deadline), try)
		r.record.Printf("request for %s: status %d, %d of %d events", model, status, got, events)
		if status == http.StatusOK {
			return got == events
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// send sends one request to one of the VMs and returns its status, 0 for none, and the number of events.
func (r *run) send(model string, events int, timeout time.Duration, at int) (status, got int) {
	vm := r.system.VMs[at%len(r.system.VMs)]
	r.mu.Lock()
	r.ids++
	id := fmt.Sprintf("q%05d", r.ids)
	r.mu.Unlock()
	conn, err := net.DialTimeout("tcp", vm.Front, time.Second)
	if err != nil {
		return 0, 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: h.example\r\nBergamotreel-Attempt-Id: %s\r\nBergamotreel-Model: %s\r\nBergamotreel-Token-Counts: 100,%d\r\n"+
		"Bergamotreel-Prompt-Prefix: %x:100\r\nBergamotreel-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", id, model, events, r.ids, timeout.Milliseconds())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			got++
		}
	}
	return answer.StatusCode, got
}
