// Command slowreaders is a case of the second review: an entry VM is stopped as planned while callers read whole answers
// slowly.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"bergamotreel/review/cases-2/platform/harness"
)

const (
	readersPerVM = 8
	// answerBytes and readBytesPerSecond make an answer take 15 s.
	answerBytes        = 450 << 10
	readBytesPerSecond = 30 << 10
	receiveBuffer      = 8 << 10
	// callerTimeout is the deadline of the site's patient callers.
	callerTimeout = 17 * time.Second
	// The platform stops a process with SIGTERM and kills it grace later.
	stopAfter = time.Second
	grace     = 8 * time.Second
)

const configuration = `{"version":1,"routes":[
 {"name":"list","host":"h.example","pathPrefix":"/list/","kind":"unsafe","timeoutMs":17000,"targetLatencyMs":3000,"priority":1,"service":"lists","maxAttempts":1}],
 "services":[{"name":"lists","healthPath":"/health","maxConns":240,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// server is a sound backend server that has written each answer long before its caller has read it.
type server struct {
	record *harness.Record
	mu     sync.Mutex
	// finished is when the answer to each request was written to its end.
	finished map[string]time.Time
}

const serverID = "i-l0"

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bergamotreel-Attempt-Id")
	w.Header().Set("Bergamotreel-Attempt-Id", id)
	if target := r.Header.Get("Bergamotreel-Target-Instance"); target != "" && target != serverID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Bergamotreel-Server-Seal", "seal-"+serverID)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	if _, err := w.Write(make([]byte, answerBytes)); err != nil {
		s.record.Printf("server: answer to %s broken off: %v", id, err)
		return
	}
	s.mu.Lock()
	s.finished[id] = time.Now()
	s.mu.Unlock()
	s.record.Printf("server: answer to %s written to its end", id)
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
	s := &server{record: record, finished: make(map[string]time.Time)}
	system.PutServer(serverID, "lists", httptest.NewServer(s).Listener.Addr().String(), 32, "")
	time.Sleep(2 * time.Second)
	return play(system, s)
}

// outcome is what a caller has got.
type outcome struct {
	id  string
	vm  *harness.VM
	got int64
	err error
}

func play(system *harness.System, s *server) int {
	requests := readersPerVM * len(system.VMs)
	outcomes := make(chan outcome, requests)
	for i := range requests {
		vm := system.VMs[i%len(system.VMs)]
		go func() { outcomes <- read(fmt.Sprintf("r%02d", i), vm) }()
	}
	time.Sleep(stopAfter)
	stopped := time.Now()
	if harness.HasTrouble() {
		system.Record.Printf("SIGTERM to %s", system.VMs[0].Name)
		go system.VMs[0].StopAsPlanned(grace)
	}
	cut := 0
	for range requests {
		o := <-outcomes
		s.mu.Lock()
		finished, isFinished := s.finished[o.id]
		s.mu.Unlock()
		system.Record.Printf("%s at %s: %d of %d bytes, %v", o.id, o.vm.Name, o.got, answerBytes, o.err)
		if o.got == answerBytes && o.err == nil {
			continue
		}
		// Not counted: the server was still at work in the last sixth of the grace.
		if isFinished && finished.Before(stopped.Add(grace*5/6)) {
			cut++
		}
	}
	system.Record.Printf("%d whole answers of servers were cut off", cut)
	if cut > 0 {
		system.Record.Printf("BROKEN")
		return harness.Broken
	}
	system.Record.Printf("held")
	return harness.Held
}

// read sends one request and reads its answer slowly.
func read(id string, vm *harness.VM) outcome {
	o := outcome{id: id, vm: vm}
	conn, err := net.DialTimeout("tcp", vm.Front, time.Second)
	if err != nil {
		o.err = err
		return o
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	fmt.Fprintf(conn, "POST /list/1 HTTP/1.1\r\nHost: h.example\r\nBergamotreel-Attempt-Id: %s\r\nBergamotreel-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		id, callerTimeout.Milliseconds())
	answer, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
	if err != nil {
		o.err = err
		return o
	}
	if answer.StatusCode != http.StatusOK {
		o.err = fmt.Errorf("status %d", answer.StatusCode)
		return o
	}
	const piece = 3 << 10
	for began := time.Now(); o.err == nil && o.got < answerBytes; {
		n, err := io.CopyN(io.Discard, answer.Body, piece)
		o.got += n
		o.err = err
		time.Sleep(time.Until(began.Add(time.Duration(o.got) * time.Second / readBytesPerSecond)))
	}
	if o.got == answerBytes {
		o.err = nil
	}
	return o
}
