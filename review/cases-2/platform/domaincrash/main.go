// Command domaincrash is a case of the second review: the engines of one failure domain crash together, once, and all requests
// that resemble those that ran there are refused from then on.
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

const (
	weightsMB = 83_000
	modelMB   = 50_000
	diskTime  = 500 * time.Millisecond
	storeTime = 10200 * time.Millisecond
	// domainEngines is how many engines each of the four failure domains has.
	domainEngines = 3
	// The callers of either kind each send a request every interval.
	digestCallers, chatCallers = 12, 2
	interval                   = 2500 * time.Millisecond
	streamEvents               = 8
	requestTimeout             = 12 * time.Second
	// calmFor is the time before the crash, downFor how long the engines are down, playFor the time of the whole traffic.
	calmFor = 15 * time.Second
	downFor = 3 * time.Second
	playFor = 95 * time.Second
	// maxLostShare is the share of the requests that may be refused or fail.
	maxLostShare = 0.6
)

const configuration = `{"version":1,"routes":[
 {"name":"digest","host":"h.example","pathPrefix":"/digest/","kind":"stream","timeoutMs":12000,"targetLatencyMs":3000,"priority":1,"service":"llm","maxAttempts":2,"sticky":true,"targetGapMs":2000},
 {"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"stream","timeoutMs":12000,"targetLatencyMs":3000,"priority":1,"service":"llm","maxAttempts":2,"sticky":true,"targetGapMs":2000}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":500,"protocol":"h1","tls":false,"engine":{"slots":16,"weightsSize":83000,"adapterSlots":8,"loadsPerS":21,"models":[
  {"name":"rare","weightsSize":50000,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40},
  {"name":"common","weightsSize":50000,"loadS":10.2,"diskLoadS":0.5,"warmS":0.4,"adapters":0,"adapterMb":40}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// run is the state of the case. Counts are of requests, by what became of them.
type run struct {
	record  *harness.Record
	system  *harness.System
	engines []*harness.Engine
	started time.Time

	mu                                 sync.Mutex
	ids                                int
	sent, served                       int
	lateDigests, lateServed, lateChats int
	lateChatsServed                    int
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
	r := &run{record: record, system: system}
	if err := r.startEngines(); err != nil {
		record.Printf("can't run: %v", err)
		return harness.CannotRun
	}
	return r.play()
}

// startEngines starts the engines: those of the first failure domain hold one of the models, all others the other one.
func (r *run) startEngines() error {
	for _, domain := range []string{harness.Zone, "pos-b", "pos-c", "pos-d"} {
		model := "common"
		if domain == harness.Zone {
			model = "rare"
		}
		for i := range domainEngines {
			engine := &harness.Engine{ID: fmt.Sprint("i-", domain, i), Service: "llm", Domain: domain, WeightsMB: weightsMB,
				ModelMB: map[string]int{"rare": modelMB, "common": modelMB}, DiskTime: diskTime, StoreTime: storeTime, Slots: 16, OnDisk: []string{model}}
			if err := r.system.StartEngine(engine, model); err != nil {
				return err
			}
			if model == "rare" {
				r.engines = append(r.engines, engine)
			}
		}
	}
	return nil
}

// play sends the requests, crashes the engines of one domain between them, and returns the exit code.
func (r *run) play() int {
	time.Sleep(time.Second)
	r.started = time.Now()
	var requests sync.WaitGroup
	stopped := make(chan struct{})
	for i := range digestCallers + chatCallers {
		requests.Go(func() { r.sendAll(i, &requests, stopped) })
	}
	time.Sleep(calmFor)
	if harness.HasTrouble() {
		for _, engine := range r.engines {
			engine.Crash("its failure domain is lost")
		}
		time.Sleep(downFor)
		for _, engine := range r.engines {
			if err := engine.Start(); err != nil {
				r.record.Printf("engine not started again: %v", err)
			}
		}
	}
	time.Sleep(time.Until(r.started.Add(playFor)))
	close(stopped)
	requests.Wait()
	lost := r.sent - r.served
	r.record.Printf("%d requests, %d refused or failed; digests of the last minute %d, served %d; chats of the last minute %d, served %d",
		r.sent, lost, r.lateDigests, r.lateServed, r.lateChats, r.lateChatsServed)
	if float64(lost) > maxLostShare*float64(r.sent) {
		r.record.Printf("BROKEN")
		return harness.Broken
	}
	r.record.Printf("held")
	return harness.Held
}

// sendAll sends one caller's requests until the end, one each interval, whether those before it have ended or not.
func (r *run) sendAll(caller int, requests *sync.WaitGroup, stopped <-chan struct{}) {
	time.Sleep(interval * time.Duration(caller) / (digestCallers + chatCallers))
	for tick := time.Tick(interval); ; {
		requests.Go(func() { r.send(caller) })
		select {
		case <-tick:
		case <-stopped:
			return
		}
	}
}

// send sends one request and counts it.
func (r *run) send(caller int) {
	path, model := "/digest/season", "rare"
	if caller >= digestCallers {
		path, model = "/chat/season", "common"
	}
	r.mu.Lock()
	r.ids++
	id := r.ids
	r.mu.Unlock()
	sentAt := time.Since(r.started)
	status, events, reason := r.exchange(path, model, id)
	isServed := status == http.StatusOK && events == streamEvents
	r.record.Printf("q%05d, sent at %.1f s for %s: status %d, %d of %d events %s", id, sentAt.Seconds(), model, status, events, streamEvents, reason)
	isLate := sentAt > playFor-time.Minute
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if isServed {
		r.served++
	}
	late, lateServed := &r.lateDigests, &r.lateServed
	if model == "common" {
		late, lateServed = &r.lateChats, &r.lateChatsServed
	}
	if isLate {
		*late++
		if isServed {
			*lateServed++
		}
	}
}

// exchange sends a request with a prompt of its own to one of the VMs. It returns the answer's status, 0 for none, the number of
// events and the body of a failure.
func (r *run) exchange(path, model string, id int) (status, events int, reason string) {
	conn, err := net.DialTimeout("tcp", r.system.VMs[id%len(r.system.VMs)].Front, time.Second)
	if err != nil {
		return 0, 0, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nBergamotreel-Attempt-Id: q%05d\r\nBergamotreel-Model: %s\r\nBergamotreel-Token-Counts: 100,%d\r\n"+
		"Bergamotreel-Prompt-Prefix: %x:100\r\nBergamotreel-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", path, id, model, streamEvents, 0xa000+id, requestTimeout.Milliseconds())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, err.Error()
	}
	defer answer.Body.Close()
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		switch {
		case strings.HasPrefix(lines.Text(), "data:"):
			events++
		case answer.StatusCode != http.StatusOK:
			reason += lines.Text()
		}
	}
	return answer.StatusCode, events, reason
}
