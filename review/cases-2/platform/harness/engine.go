package harness

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Order is an order to an engine.
type Order struct {
	Operation, Model, Adapter, Holder string
	Expected                          *uint64
	FencingToken                      *uint64
}

// Engine is a model engine that carries out orders as the platform's pages say. It may start again under its ID: then it
// holds nothing and counts its orders anew, but keeps the weights on its disk. It is safe for concurrent use.
type Engine struct {
	ID, Service, Address string
	// Domain is its failure domain, Zone if empty.
	Domain string
	// WeightsMB is how much it holds, ModelMB the size of each model.
	WeightsMB int
	ModelMB   map[string]int
	// DiskTime is how long a load from its disk takes, StoreTime a load from the weight store.
	DiskTime, StoreTime time.Duration
	// OnDisk are the models whose weights are on its disk.
	OnDisk []string
	Slots  int
	// LateBy, if set, returns how much later an order is carried out that gets no answer, 0 for one that is answered.
	LateBy func(Order) time.Duration

	system   *System
	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	beats    uint64
	sequence uint64
	models   map[string]bool
	// busyUntil is when the order in progress ends, loading the model that it loads.
	busyUntil time.Time
	loading   string
	// runs are the requests that run, by model.
	runs      map[string]int
	overloads []string
	holders   []string
}

// StartEngine starts an engine and registers it.
func (s *System) StartEngine(e *Engine, models ...string) error {
	e.system, e.runs = s, make(map[string]int)
	e.Address = freeAddress()
	if err := e.Start(models...); err != nil {
		return err
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			e.Register()
		}
	}()
	return nil
}

// Start starts the engine's process with the given models.
func (e *Engine) Start(models ...string) error {
	listener, err := net.Listen("tcp", e.Address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	e.born, e.sequence, e.models, e.busyUntil, e.loading = time.Now(), 0, make(map[string]bool), time.Time{}, ""
	for _, model := range models {
		e.models[model] = true
	}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.system.Record.Printf("engine %s started with %v", e.ID, models)
	e.Register()
	return nil
}

// Crash ends the engine's process.
func (e *Engine) Crash(why string) {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		e.system.Record.Printf("engine %s ends: %s", e.ID, why)
		server.Close()
	}
}

// Overloads returns what the engine was ordered to hold beyond its memory.
func (e *Engine) Overloads() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.overloads)
}

// LastHolder returns the holder of the last order.
func (e *Engine) LastHolder() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.holders) == 0 {
		return ""
	}
	return e.holders[len(e.holders)-1]
}

// Sequence returns how many orders the engine has accepted since its start.
func (e *Engine) Sequence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

// Holds reports whether the engine runs requests for the model.
func (e *Engine) Holds(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishOrder()
	return e.server != nil && e.models[model]
}

// finishOrder applies the load in progress if it is due. Call with mu held.
func (e *Engine) finishOrder() {
	if e.loading != "" && !time.Now().Before(e.busyUntil) {
		e.models[e.loading] = true
		e.loading = ""
	}
}

// describe returns what the engine says of itself. Call with mu held.
func (e *Engine) describe() map[string]any {
	e.finishOrder()
	models := []map[string]any{}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return map[string]any{
		"stage": "mixed", "models": models, "born": e.born.UnixMilli(), "state": "ready",
		"atHand": map[string]any{"inMemory": []string{}, "onDisk": e.OnDisk},
	}
}

// Register writes the engine's entry, as it does with each heartbeat.
func (e *Engine) Register() {
	e.mu.Lock()
	if e.server == nil {
		e.mu.Unlock()
		return
	}
	e.beats++
	entry := e.describe()
	entry["service"], entry["address"], entry["zone"], entry["version"], entry["slots"] = e.Service, e.Address, cmp.Or(e.Domain, Zone), "v1", e.Slots
	entry["coldLeftMs"], entry["sequence"] = 0, e.beats
	e.mu.Unlock()
	encoded, _ := json.Marshal(entry)
	e.system.Store.Put("keyed.servers", e.ID, encoded)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Bergamotreel-Attempt-Id"); id != "" {
		w.Header().Set("Bergamotreel-Attempt-Id", id)
	}
	if target := r.Header.Get("Bergamotreel-Target-Instance"); target != "" && target != e.ID {
		w.Header().Set("Bergamotreel-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/report":
		e.serveReport(w)
	case "/order":
		e.serveOrder(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	report := e.describe()
	report["busy"], report["sequence"] = e.loading != "", e.sequence
	report["queued"], report["active"], report["kvUsed"], report["kvTotal"], report["handles"] = 0, 0, 0, 90000, 0
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Holder == "" || order.FencingToken == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.holders = append(e.holders, order.Holder)
	e.mu.Unlock()
	if e.LateBy != nil {
		if late := e.LateBy(order); late > 0 {
			e.system.Record.Printf("engine %s: order %s gets no answer, carried out %s later", e.ID, order, late)
			time.AfterFunc(late, func() {
				status := e.carryOut(order)
				e.system.Record.Printf("engine %s: late order %s: %d", e.ID, order, status)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status := e.carryOut(order)
	e.system.Record.Printf("engine %s: order %s of %s: %d", e.ID, order, order.Holder, status)
	w.WriteHeader(status)
}

// String shows what an order is about.
func (o Order) String() string {
	expected := "any count"
	if o.Expected != nil {
		expected = fmt.Sprint("count ", *o.Expected)
	}
	return strings.TrimSuffix(fmt.Sprintf("%s %s/%s", o.Operation, o.Model, o.Adapter), "/") + " at " + expected
}

// carryOut carries out an order and returns the status that answers it.
func (e *Engine) carryOut(order Order) int {
	e.mu.Lock()
	if e.server == nil {
		e.mu.Unlock()
		return 0
	}
	e.finishOrder()
	held := e.models[order.Model]
	switch {
	case e.loading != "" || (order.Expected != nil && *order.Expected != e.sequence):
		e.mu.Unlock()
		return http.StatusConflict
	case order.Adapter != "" || (order.Operation == "load") == held:
		e.mu.Unlock()
		return http.StatusOK
	}
	e.sequence++
	if order.Operation != "load" {
		delete(e.models, order.Model)
		e.mu.Unlock()
		go e.Register()
		return http.StatusAccepted
	}
	sum := e.ModelMB[order.Model]
	for model := range e.models {
		sum += e.ModelMB[model]
	}
	if sum > e.WeightsMB {
		overload := fmt.Sprintf("ordered to %s beside %v: %d of %d MB", order, slices.Sorted(maps.Keys(e.models)), sum, e.WeightsMB)
		e.overloads = append(e.overloads, overload)
		e.mu.Unlock()
		go e.Crash(overload)
		return http.StatusAccepted
	}
	takes := e.StoreTime
	if slices.Contains(e.OnDisk, order.Model) {
		takes = e.DiskTime
	}
	e.loading, e.busyUntil = order.Model, time.Now().Add(takes)
	e.mu.Unlock()
	time.AfterFunc(takes+time.Millisecond, e.Register)
	return http.StatusAccepted
}

// eventInterval is the time between two events of a stream.
const eventInterval = 250 * time.Millisecond

// serveRequest runs a stream of as many events as Bergamotreel-Token-Counts asks for.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	model := r.Header.Get("Bergamotreel-Model")
	e.mu.Lock()
	e.finishOrder()
	held := e.models[model]
	e.mu.Unlock()
	if !held {
		w.Header().Set("Bergamotreel-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	events := 1
	if _, output, found := strings.Cut(r.Header.Get("Bergamotreel-Token-Counts"), ","); found {
		_, _ = fmt.Sscan(output, &events)
	}
	w.Header().Set("Bergamotreel-Server-Seal", "seal-"+e.ID)
	w.Header().Set("Bergamotreel-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range events {
		if i > 0 {
			select {
			case <-time.After(eventInterval):
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, model)
		_ = http.NewResponseController(w).Flush()
	}
}
