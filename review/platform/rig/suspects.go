package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"bergamotreel/platform/platformtest"
)

const (
	// noteEngines is the number of engines, which all hold the one model.
	noteEngines = 8
	// An engine crashes crashCount times, another one each time, for crashTime. The first crash is
	// firstCrash after the beginning of the traffic, the others crashGap after the one before.
	crashCount = 3
	crashTime  = 3 * time.Second
	firstCrash = 6 * time.Second
	crashGap   = 4 * time.Second
	// notesPerSecond are the requests at all VMs together, notesTime is how long they are sent.
	notesPerSecond = 120
	notesTime      = 75 * time.Second
	// lateNotes is the last part of that time, which the record shows apart.
	lateNotes = 30 * time.Second
	// A stream begins after firstToken and has minEvents to maxEvents events, eventGap apart.
	firstToken           = 20 * time.Millisecond
	minEvents, maxEvents = 3, 7
	eventGap             = 40 * time.Millisecond
	// noteRetry is how long a client waits after a refusal until it sends the request once more.
	noteRetry = time.Second
	// entryTTL is how long the entry of an engine that sends nothing remains: three heartbeats.
	entryTTL = 3 * beatInterval
)

// lastNoteEvent ends each stream.
const lastNoteEvent = "data: end\n\n"

// noteConfiguration has one route for short streams that can't be resumed.
const noteConfiguration = `{"version":7,"routes":[
 {"name":"note","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":4000,"targetLatencyMs":250,"priority":0,"service":"dele69a","maxAttempts":1,"sticky":true,"targetGapMs":150}],
 "services":[{"name":"dele69a","healthPath":"/health","maxConns":240,"engine":{"slots":32,"weightsSize":100,"adapterSlots":2,"loadsPerS":4,"models":[
  {"name":"m0","weightsSize":90,"loadS":6,"diskLoadS":1,"warmS":0.6}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// noteEngine is a stand-in of a model engine whose streams have no length and end with their connection.
type noteEngine struct {
	*system
	zone, address string

	mu sync.Mutex
	// id belongs to the present start of the engine, orders answers its orders and reports.
	id       string
	orders   *platformtest.Engine
	listener net.Listener
	// conns are the open connections, nil while the engine is down.
	conns map[net.Conn]bool
	beats int
}

// start begins an instance under a new ID that holds the models.
func (e *noteEngine) start(id string, models ...string) error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.id, e.orders, e.listener, e.address = id, platformtest.NewEngine("", models...), listener, listener.Addr().String()
	e.conns = make(map[net.Conn]bool)
	e.mu.Unlock()
	e.note("engine: %s starts at %s with %v", id, e.address, models)
	e.writeEntry()
	go e.accept(listener)
	return nil
}

// crash ends the instance, resets its connections and lets its entry lapse.
func (e *noteEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.note("engine: %s crashes with %d connections", e.id, len(e.conns))
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.conns = nil
	ended := e.id
	time.AfterFunc(entryTTL, func() { e.store.Put("keyed.servers", ended, nil) })
}

// beat writes the engine's entry at each heartbeat while it is up.
func (e *noteEngine) beat() {
	for {
		select {
		case <-e.done:
			return
		case <-time.After(beatInterval):
			e.writeEntry()
		}
	}
}

func (e *noteEngine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		return
	}
	e.beats++
	models := ""
	for i, m := range e.orders.HeldModels() {
		if i > 0 {
			models += ","
		}
		models += fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m)
	}
	e.store.Put("keyed.servers", e.id, fmt.Appendf(nil,
		`{"service":"dele69a","address":%q,"zone":%q,"version":"v1","slots":32,"state":"ready","coldLeftMs":0,"sequence":%d,"stage":"mixed","models":[%s],"atHand":{"inMemory":[],"onDisk":["m0"]}}`,
		e.address, e.zone, e.beats, models))
}

func (e *noteEngine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		up := e.conns != nil
		if up {
			e.conns[conn] = true
		}
		e.mu.Unlock()
		if !up {
			_ = conn.Close()
			continue
		}
		go e.serve(conn)
	}
}

// serve handles the requests of a connection until one ends it.
func (e *noteEngine) serve(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	c := &serverConn{Conn: conn}
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		id, orders := e.id, e.orders
		e.mu.Unlock()
		requestID, target := r.Header.Get("Bergamotreel-Attempt-Id"), r.Header.Get("Bergamotreel-Target-Instance")
		isCall := r.URL.Path == "/report" || r.URL.Path == "/order"
		switch {
		case target != "" && target != id:
			writeAnswer(c, http.StatusMisdirectedRequest, requestID, "Bergamotreel-Instance-Id: "+id+"\r\n", "")
		case isCall:
			r.Header.Del("Bergamotreel-Target-Instance")
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			recorder := httptest.NewRecorder()
			orders.ServeHTTP(recorder, r)
			writeAnswer(c, recorder.Code, "", "", recorder.Body.String())
		case len(orders.HeldModels()) == 0:
			writeAnswer(c, http.StatusMisdirectedRequest, requestID, "Bergamotreel-Not-Run: 1\r\n", "")
		default:
			e.stream(conn, id, requestID)
			return
		}
	}
}

// stream runs a request: it sends a short stream of events whose end is that of the connection.
func (e *noteEngine) stream(conn net.Conn, id, requestID string) {
	run := e.beginRun(requestID)
	e.note("engine: %s runs %s (run %d)", id, requestID, run)
	time.Sleep(firstToken)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBergamotreel-Attempt-Id: %s\r\nBergamotreel-Server-Seal: %s.%s.%d\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", requestID, id, requestID, run)
	events := minEvents + rand.IntN(maxEvents-minEvents+1)
	for n := 1; n < events; n++ {
		_, _ = fmt.Fprintf(conn, "id: %d\ndata: word\n\n", n)
		time.Sleep(eventGap)
	}
	_, _ = fmt.Fprintf(conn, "id: %d\n%s", events, lastNoteEvent)
}

// runSuspects sends requests for short notes, whose prompts all begin with the same part, to engines
// of which three crash, one after the other. It returns the number of requests that were refused or
// failed if that is more than the gate allows, else 0.
func runSuspects(s *system) int {
	s.store.Put("keyed.op", "config", []byte(noteConfiguration))
	var engines []*noteEngine
	for i := range noteEngines {
		e := &noteEngine{system: s, zone: zones[i%len(zones)]}
		if err := e.start(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), "m0"); err != nil {
			s.fail(err)
			return 0
		}
		engines = append(engines, e)
		go e.beat()
	}
	if err := s.startVMs(2); err != nil {
		s.fail(err)
		return 0
	}
	s.trafficStart = time.Now()
	if s.trouble {
		go s.crashInTurn(engines[:crashCount])
	}
	served, sent, lateServed, lateSent := s.sendNotes()
	unserved := sent - served
	s.note("%d requests, %d refused or failed; of %d sent in the last %s, %d were served", sent, unserved, lateSent, lateNotes, lateServed)
	if served == 0 {
		s.fail(fmt.Errorf("no request was served"))
	}
	if float64(unserved) <= maxUnserved*float64(sent) {
		return 0
	}
	return unserved
}

// crashInTurn has the engines crash and start again, empty and under new IDs, one after the other.
func (s *system) crashInTurn(engines []*noteEngine) {
	time.Sleep(firstCrash)
	for i, e := range engines {
		e.crash()
		time.Sleep(crashTime)
		if err := e.start(fmt.Sprintf("i-%08x", 0x0a6b0000+i)); err != nil {
			s.fail(err)
			return
		}
		time.Sleep(crashGap - crashTime)
	}
}

// sendNotes sends requests at a fixed rate, each by a client of its own that tries once more after a
// refusal. It returns how many were served and sent, in all and in the last part of the time.
func (s *system) sendNotes() (served, sent, lateServed, lateSent int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	end := s.trafficStart.Add(notesTime)
	ticks := time.NewTicker(time.Second / notesPerSecond)
	defer ticks.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-ticks.C
		isLate := time.Until(end) < lateNotes
		requests.Go(func() {
			headers := fmt.Sprintf("Bergamotreel-Model: m0\r\nBergamotreel-Token-Counts: 380,30\r\nBergamotreel-Prompt-Prefix: 5c1e07a2:92,%08x:288\r\n", rand.Uint32())
			body := fmt.Sprintf(`{"question":%d}`, n)
			isServed := s.sendNote(n, headers, body)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if isLate {
				lateSent++
			}
			if isServed {
				served++
				if isLate {
					lateServed++
				}
			}
		})
	}
	requests.Wait()
	return served, sent, lateServed, lateSent
}

// sendNote sends one request, and once more after a refusal. It reports whether it was served.
func (s *system) sendNote(n int, headers, body string) bool {
	for try := range 2 {
		c := &client{system: s, vm: s.vms[(n+try)%len(s.vms)]}
		a := c.send("POST", "/lohu930/note", headers, body)
		if c.conn != nil {
			c.close()
		}
		if a.status == http.StatusOK {
			return a.seal != "" && strings.HasSuffix(a.body, lastNoteEvent)
		}
		if a.status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(noteRetry)
	}
	return false
}
