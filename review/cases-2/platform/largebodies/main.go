// Command largebodies is a case of the second review: many callers with large requests come at once, and the entry VMs
// exceed their memory.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bergamotreel/review/cases-2/platform/harness"
)

const (
	// bodyBytes is the configuration's limit on bodies.
	bodyBytes = 4 << 20
	// uploadBytesPerSecond is the mean speed of an uploader's own link, so that an upload takes 4.7 s. The speeds of
	// single links differ from it by speedSpread at most.
	uploadBytesPerSecond = 900_000
	speedSpread          = 0.1
	// vmBytesPerSecond bounds what reaches one VM, 80% of its link of 1,000 Mbit/s: no packet waits for long.
	vmBytesPerSecond = 100_000_000
	// A batch of uploads begins at each VM every batchInterval.
	uploadsPerBatch = 36
	batchInterval   = 9 * time.Second
	batches         = 7
	// The burst is the largest that the site file names for a kind of request. It lasts less than 4.5 s, in which one
	// batch begins. Every second batch falls into one.
	uploadsPerBurst = uploadsPerBatch * 24 / 10
	// bookersPerVM callers send small bookings one after the other on a kept connection.
	bookersPerVM  = 12
	bookerPause   = 100 * time.Millisecond
	maxLost       = 3
	maxOwnEnds    = 3
	callerTimeout = 25 * time.Second
)

const configuration = `{"version":1,"routes":[
 {"name":"digest","host":"h.example","pathPrefix":"/digest/","kind":"unsafe","timeoutMs":25000,"targetLatencyMs":3000,"priority":1,"service":"digests","maxAttempts":1},
 {"name":"book","host":"h.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"bookings","maxAttempts":1}],
 "services":[{"name":"digests","healthPath":"/health","maxConns":240,"protocol":"h1","tls":false},
  {"name":"bookings","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// run is the state of the case.
type run struct {
	record   *harness.Record
	system   *harness.System
	bookings []*harness.PlainServer
	ids      atomic.Int64
	stop     chan struct{}
	work     sync.WaitGroup

	mu       sync.Mutex
	outcomes map[string]int
	// lost are the bookings on kept connections that a server ran and whose connection ended without an answer.
	lost int
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
	system, err := harness.Start(record, configuration, harness.Small)
	if system != nil {
		defer system.Stop()
	}
	if err != nil {
		record.Printf("can't run: %v", err)
		return harness.CannotRun
	}
	r := &run{record: record, system: system, stop: make(chan struct{}), outcomes: make(map[string]int)}
	for i := range 3 {
		server := harness.NewPlainServer(fmt.Sprint("i-b", i), 6, 60*time.Millisecond)
		r.bookings = append(r.bookings, server)
		system.PutServer(server.ID, "bookings", server.Address, 6, "")
		digests := harness.NewPlainServer(fmt.Sprint("i-d", i), 32, 200*time.Millisecond)
		system.PutServer(digests.ID, "digests", digests.Address, 32, "")
	}
	return r.play()
}

// play runs the load and returns the exit code.
func (r *run) play() int {
	time.Sleep(2 * time.Second)
	var enforcing sync.WaitGroup
	stopEnforcing := make(chan struct{})
	start := time.Now()
	for _, vm := range r.system.VMs {
		enforcing.Go(func() { vm.EnforceMemory(stopEnforcing) })
		for range bookersPerVM {
			r.work.Go(func() { r.book(vm) })
		}
		r.work.Go(func() { r.upload(vm, start) })
	}
	time.Sleep(time.Until(start.Add(batches * batchInterval)))
	close(r.stop)
	r.work.Wait()
	close(stopEnforcing)
	enforcing.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for outcome, count := range r.outcomes {
		r.record.Printf("%d x %s", count, outcome)
	}
	endedOften := 0
	for _, vm := range r.system.VMs {
		r.record.Printf("%s ended by itself %d times", vm.Name, vm.OwnEnds())
		if vm.OwnEnds() >= maxOwnEnds {
			endedOften++
		}
	}
	r.record.Printf("%d bookings on kept connections ran and lost their connection without an answer, %d allowed", r.lost, maxLost)
	if r.lost > maxLost || endedOften >= 2 {
		r.record.Printf("BROKEN: LOST %v, Fault %v", r.lost > maxLost, endedOften >= 2)
		return harness.Broken
	}
	r.record.Printf("held")
	return harness.Held
}

func (r *run) count(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[outcome]++
}

func (r *run) isStopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// book sends bookings to a VM on a kept connection until the end.
func (r *run) book(vm *harness.VM) {
	for !r.isStopped() {
		conn, err := net.DialTimeout("tcp", vm.Front, time.Second)
		if err != nil {
			r.count("booking: no connection")
			time.Sleep(200 * time.Millisecond)
			continue
		}
		r.bookOn(conn, vm)
		conn.Close()
	}
}

// bookOn sends bookings on one connection until it ends.
func (r *run) bookOn(conn net.Conn, vm *harness.VM) {
	reader := bufio.NewReader(conn)
	for sent := 0; !r.isStopped(); sent++ {
		id := fmt.Sprintf("b%06d", r.ids.Add(1))
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nBergamotreel-Attempt-Id: %s\r\nBergamotreel-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbook", id)
		if err == nil {
			var answer *http.Response
			if answer, err = http.ReadResponse(reader, nil); err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				r.count(fmt.Sprint("booking: ", answer.StatusCode))
			}
		}
		if err != nil {
			r.recordLost(id, vm, sent, err)
			return
		}
		time.Sleep(bookerPause)
	}
}

func (r *run) recordLost(id string, vm *harness.VM, sentBefore int, err error) {
	time.Sleep(100 * time.Millisecond) // a request that was passed on is at its server by then
	ran := 0
	for _, server := range r.bookings {
		ran += server.Runs(id)
	}
	r.count(fmt.Sprintf("booking: connection ended, ran %d times", ran))
	r.record.Printf("booking %s at %s, request %d of its connection: ran %d times, %v", id, vm.Name, sentBefore+1, ran, err)
	if ran > 0 && sentBefore > 0 {
		r.mu.Lock()
		r.lost++
		r.mu.Unlock()
	}
}

// upload begins batches of uploads at a VM.
func (r *run) upload(vm *harness.VM, start time.Time) {
	link := &link{}
	for batch := range batches {
		time.Sleep(time.Until(start.Add(time.Duration(batch) * batchInterval)))
		uploads := uploadsPerBatch
		if harness.HasTrouble() && batch%2 == 1 {
			uploads = uploadsPerBurst
		}
		r.record.Printf("%d uploads begin at %s", uploads, vm.Name)
		for i := range uploads {
			speed := uploadBytesPerSecond * (1 - speedSpread + 2*speedSpread*float64(i)/float64(uploads))
			r.work.Go(func() { r.count("upload: " + r.uploadOne(vm, link, speed)) })
		}
	}
}

// link is what reaches a VM from its uploaders.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// reserve returns how long sending n more bytes takes on the VM's link.
func (l *link) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n) * time.Second / vmBytesPerSecond)
	return time.Until(l.free)
}

// uploadOne sends one request with a body of the largest allowed size at the speed of its caller's link, in bytes per second, and returns the
// outcome.
func (r *run) uploadOne(vm *harness.VM, link *link, speed float64) string {
	conn, err := net.DialTimeout("tcp", vm.Front, time.Second)
	if err != nil {
		return "no connection"
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	id := fmt.Sprintf("d%06d", r.ids.Add(1))
	fmt.Fprintf(conn, "POST /digest/1 HTTP/1.1\r\nHost: h.example\r\nBergamotreel-Attempt-Id: %s\r\nBergamotreel-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, callerTimeout.Milliseconds(), bodyBytes)
	piece := make([]byte, 32<<10)
	began := time.Now()
	for sent := 0; sent < bodyBytes; sent += len(piece) {
		due := began.Add(time.Duration(float64(sent) / speed * float64(time.Second)))
		time.Sleep(max(time.Until(due), link.reserve(len(piece))))
		if _, err := conn.Write(piece); err != nil {
			break // the answer may be there
		}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "connection ended"
	}
	answer.Body.Close()
	return fmt.Sprint(answer.StatusCode)
}
