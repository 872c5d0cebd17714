package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// engineMemory is the engine's memory for weights, modelSize that of each model.
	engineMemory, modelSize = 200, 90
	// adapterPlaces is how many adapters the engine holds.
	adapterPlaces = 8
	// loadTime is how long a load takes.
	loadTime = 300 * time.Millisecond
	// orderDelay is how late the unanswered order is carried out.
	orderDelay = 10 * time.Second
	// engineDown is how long the engine is down, vmDown how long the entry VM's process is.
	engineDown, vmDown = time.Second, 1500 * time.Millisecond
	// demandTime is how long the clients ask for models after that.
	demandTime = 14 * time.Second
)

// overfillConfiguration has one engine pool whose engines have room for two of four models.
const overfillConfiguration = `{"version":7,"routes":[
 {"name":"draft","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":12000,"targetLatencyMs":250,"priority":2,"service":"dele69a","maxAttempts":1,"targetGapMs":150}],
 "services":[{"name":"dele69a","healthPath":"/health","maxConns":240,"engine":{"slots":16,"weightsSize":200,"adapterSlots":8,"loadsPerS":4,"models":[
  {"name":"m1","weightsSize":90,"loadS":0.3,"diskLoadS":0.3,"warmS":0.3,"adapters":9,"adapterMb":1},
  {"name":"m2","weightsSize":90,"loadS":0.3,"diskLoadS":0.3,"warmS":0.3},
  {"name":"m3","weightsSize":90,"loadS":0.3,"diskLoadS":0.3,"warmS":0.3},
  {"name":"m4","weightsSize":90,"loadS":0.3,"diskLoadS":0.3,"warmS":0.3}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`

// modelEngine is a stand-in of a model engine that starts again under its ID after a crash.
type modelEngine struct {
	*system
	id, zone, address string
	listener          net.Listener

	mu       sync.Mutex
	born     int64
	sequence uint64
	models   map[string]map[string]bool
	// loading is the model of the order that is being carried out, empty for none.
	loading string
	// lateUnit is the model or MODEL/ADAPTER whose first load gets no answer and is carried out late,
	// empty for none.
	lateUnit string
	overfull int
	beats    int
	// conns are the open connections, nil while the engine is down.
	conns map[net.Conn]bool
}

// modelOrder is the body of an order.
type modelOrder struct {
	Operation, Model, Adapter, Holder string
	Expected                          *uint64
}

// unit returns the model, or MODEL/ADAPTER.
func (o *modelOrder) unit() string {
	if o.Adapter == "" {
		return o.Model
	}
	return o.Model + "/" + o.Adapter
}

// start begins an instance that holds the models.
func (e *modelEngine) start(held ...string) error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.address = listener, listener.Addr().String()
	e.born, e.sequence, e.loading = time.Now().UnixMilli(), 0, ""
	e.models, e.conns = make(map[string]map[string]bool), make(map[net.Conn]bool)
	for _, m := range held {
		e.models[m] = make(map[string]bool)
	}
	e.mu.Unlock()
	e.writeEntry()
	server := &http.Server{Handler: e, ConnState: func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.conns != nil && state == http.StateNew {
			e.conns[c] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the instance and resets its connections.
func (e *modelEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.conns = nil
}

// beat writes the engine's entry at each heartbeat while it is up.
func (e *modelEngine) beat() {
	for {
		select {
		case <-e.done:
			return
		case <-time.After(beatInterval):
			e.writeEntry()
		}
	}
}

func (e *modelEngine) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns == nil {
		return
	}
	e.beats++
	e.store.Put("keyed.servers", e.id, fmt.Appendf(nil,
		`{"service":"dele69a","address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","coldLeftMs":0,"sequence":%d,"born":%d,"stage":"mixed","models":%s,"atHand":{"inMemory":[],"onDisk":["m1","m2","m3","m4"]}}`,
		e.address, e.zone, e.beats, e.born, e.describeModels()))
}

// describeModels returns the models that the engine holds in the form of reports. Call with mu held.
func (e *modelEngine) describeModels() string {
	list := []map[string]any{}
	for _, m := range slices.Sorted(maps.Keys(e.models)) {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": append([]string{}, slices.Sorted(maps.Keys(e.models[m]))...)})
	}
	text, _ := json.Marshal(list)
	return string(text)
}

// ServeHTTP implements http.Handler.
func (e *modelEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("Bergamotreel-Target-Instance"); target != "" && target != e.id {
		w.Header().Set("Bergamotreel-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"mixed","models":%s,"atHand":{"inMemory":[],"onDisk":["m1","m2","m3","m4"]},"busy":%t,"sequence":%d,"born":%d,"queued":0,"active":0,"kvUsed":0,"kvTotal":90000,"handles":0,"state":"ready"}`,
			e.describeModels(), e.loading != "", e.sequence, e.born)
	case "/order":
		var order modelOrder
		if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if e.delays(order) {
			panic(http.ErrAbortHandler) // no answer
		}
		w.WriteHeader(e.carryOut(order, "order"))
	default:
		e.serveRequest(w, r)
	}
}

// delays reports whether the order gets no answer, and has it carried out late then.
func (e *modelEngine) delays(order modelOrder) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Operation != "load" || order.unit() != e.lateUnit {
		return false
	}
	e.lateUnit = ""
	e.note("engine: load of %s after %d orders of %s gets no answer", order.unit(), *order.Expected, order.Holder)
	time.AfterFunc(orderDelay, func() { e.note("engine: late order answered %d", e.carryOut(order, "late order")) })
	return true
}

// carryOut accepts or rejects an order and returns the status of its answer.
func (e *modelEngine) carryOut(order modelOrder, what string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.accept(order)
	expected := "any"
	if order.Expected != nil {
		expected = fmt.Sprint(*order.Expected)
	}
	e.note("engine: %s %s %s of %s after %s orders: %d, now %d orders, holds %s", what, order.Operation, order.unit(),
		order.Holder, expected, status, e.sequence, e.describeModels())
	return status
}

// countAdapters returns the number of adapters of all models. Call with mu held.
func (e *modelEngine) countAdapters() int {
	count := 0
	for _, adapters := range e.models {
		count += len(adapters)
	}
	return count
}

// accept is carryOut without the record. Call with mu held.
func (e *modelEngine) accept(order modelOrder) int {
	adapters, held := e.models[order.Model]
	switch {
	case e.conns == nil:
		return http.StatusServiceUnavailable // the engine is down
	case order.Expected != nil && *order.Expected != e.sequence, e.loading != "" && order.Adapter == "":
		return http.StatusConflict
	case order.Adapter != "" && !held:
		return http.StatusBadRequest
	case order.Adapter != "" && adapters[order.Adapter] == (order.Operation == "load"):
		return http.StatusOK
	case order.Adapter != "" && order.Operation == "load":
		e.sequence++
		if count := e.countAdapters(); count == adapterPlaces {
			e.overfull++
			e.note("LIMIT: the engine holds %d adapters of %d and is ordered to load %s", count, adapterPlaces, order.unit())
			return http.StatusAccepted
		}
		adapters[order.Adapter] = true
		return http.StatusAccepted
	case order.Adapter != "":
		e.sequence++
		delete(adapters, order.Adapter)
		return http.StatusOK
	case held == (order.Operation == "load"):
		return http.StatusOK
	case order.Operation == "unload":
		e.sequence++
		delete(e.models, order.Model)
		return http.StatusAccepted
	}
	e.sequence++
	if needed := (len(e.models) + 1) * modelSize; needed > engineMemory {
		e.overfull++
		e.note("LIMIT: the engine holds %v and is ordered to load %s: %d of %d", slices.Sorted(maps.Keys(e.models)), order.Model, needed, engineMemory)
		return http.StatusAccepted
	}
	e.loading = order.Model
	born := e.born
	time.AfterFunc(loadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born && e.loading == order.Model {
			e.models[order.Model], e.loading = make(map[string]bool), ""
		}
	})
	return http.StatusAccepted
}

// serveRequest answers a client's request.
func (e *modelEngine) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Bergamotreel-Attempt-Id")
	w.Header().Set("Bergamotreel-Attempt-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	model, adapter, _ := strings.Cut(r.Header.Get("Bergamotreel-Model"), "/")
	e.mu.Lock()
	adapters, held := e.models[model]
	held = held && (adapter == "" || adapters[adapter])
	e.mu.Unlock()
	if !held {
		w.Header().Set("Bergamotreel-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run := e.beginRun(id)
	w.Header().Set("Bergamotreel-Server-Seal", fmt.Sprintf("%s.%s.%d", e.id, id, run))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
}

// runOverfill has an engine leave one load unanswered. Then the engine crashes and starts again under
// its ID, and the process of its keeper is killed and starts again. The load is carried out late. It
// returns how often the engine was ordered to load more than it holds.
func runOverfill(s *system) int {
	s.store.Put("keyed.op", "config", []byte(overfillConfiguration))
	e := &modelEngine{system: s, id: "i-7f3a91c2", zone: zones[0]}
	if err := e.start("m1", "m2"); err != nil {
		s.fail(err)
		return 0
	}
	go e.beat()
	if err := s.startVMs(1); err != nil {
		s.fail(err)
		return 0
	}
	time.Sleep(2 * time.Second) // the keeper owns the engine's shard
	if s.trouble {
		e.mu.Lock()
		e.lateUnit = "m3"
		e.mu.Unlock()
	}
	// The engine has accepted two orders when the load is sent: an adapter's load, and an unload that
	// makes room. Two loads after its restart bring it to the same number.
	answered := 0
	for _, unit := range []string{"m1", "m2", "m1/a1", "m3"} {
		answered += s.ask(unit, 5*time.Second)
	}
	if s.trouble {
		s.restartBoth(e)
	}
	for end := time.Now().Add(demandTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, unit := range []string{"m1", "m4"} {
			answered += s.ask(unit, 0)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.note("%d requests answered with success, %d orders for more than the engine holds", answered, e.overfull)
	s.checkServed(answered, 20)
	return e.overfull
}

// restartBoth crashes the engine, kills the process of its keeper, which is the only entry VM in the
// engine's zone, and starts both again.
func (s *system) restartBoth(e *modelEngine) {
	keeper := s.vms[0]
	s.note("the engine crashes, %s is killed", keeper.name)
	e.crash()
	_ = keeper.command.Process.Kill()
	_ = keeper.command.Wait()
	time.Sleep(engineDown)
	if err := e.start(); err != nil {
		s.fail(err)
		return
	}
	s.note("the engine is back, empty")
	time.Sleep(vmDown - engineDown)
	if err := s.startVM(keeper, s.seeds()); err != nil {
		s.fail(err)
	}
}

// ask sends a request for a model or an adapter, and repeats it for the given time until it is
// answered with success. It returns 1 then, else 0.
func (s *system) ask(unit string, patience time.Duration) int {
	headers := fmt.Sprintf("Connection: close\r\nBergamotreel-Model: %s\r\nBergamotreel-Token-Counts: 700,80\r\nBergamotreel-Prompt-Prefix: 5c1e07a2:172,91bd3f06:528\r\n", unit)
	for end := time.Now().Add(patience); ; time.Sleep(100 * time.Millisecond) {
		c := &client{system: s, vm: s.vms[0]}
		a := c.send("POST", "/lohu930/2f", headers, "{}")
		if c.conn != nil {
			c.close()
		}
		if a.status == http.StatusOK {
			return 1
		}
		if !time.Now().Before(end) {
			return 0
		}
	}
}
