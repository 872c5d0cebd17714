package main

import (
	"fmt"
	"time"
)

// adapterIdleTime is how long adapters rest before another one is asked for: the keeper evicts none
// that was used lately.
const adapterIdleTime = 4 * time.Second

// adapterConfiguration has one engine pool with one model, whose engines have eight places for its
// nine adapters.
const adapterConfiguration = `{"version":7,"routes":[
 {"name":"draft","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":12000,"targetLatencyMs":250,"priority":2,"service":"dele69a","maxAttempts":1,"targetGapMs":150}],
 "services":[{"name":"dele69a","healthPath":"/health","maxConns":240,"engine":{"slots":16,"weightsSize":200,"adapterSlots":8,"loadsPerS":4,"models":[
  {"name":"m1","weightsSize":90,"loadS":0.3,"diskLoadS":0.3,"warmS":0.3,"adapters":9,"adapterMb":1}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`

// runOverfillAdapters has an engine leave the load of a ninth adapter unanswered. Then the engine crashes
// and starts again under its ID, and the load is carried out late. It returns how often the engine was
// ordered to load more adapters than it has places for.
func runOverfillAdapters(s *system) int {
	s.store.Put("keyed.op", "config", []byte(adapterConfiguration))
	e := &modelEngine{system: s, id: "i-7f3a91c2", zone: zones[0]}
	if err := e.start("m1"); err != nil {
		s.fail(err)
		return 0
	}
	go e.beat()
	if err := s.startVMs(1); err != nil {
		s.fail(err)
		return 0
	}
	time.Sleep(2 * time.Second) // the keeper owns the engine's shard
	answered := 0
	for n := 1; n <= adapterPlaces; n++ {
		answered += s.ask(fmt.Sprint("m1/a", n), 3*time.Second)
	}
	time.Sleep(adapterIdleTime)
	if s.trouble {
		e.mu.Lock()
		e.lateUnit = "m1/a9"
		e.mu.Unlock()
	}
	// Nine orders precede the load: eight loads and the unload that makes room. After the restart, the
	// load of the model and eight adapters are nine again.
	answered += s.ask("m1/a9", 3*time.Second)
	if s.trouble {
		s.note("the engine crashes")
		e.crash()
		time.Sleep(engineDown)
		if err := e.start(); err != nil {
			s.fail(err)
			return 0
		}
		s.note("the engine is back, empty")
	}
	for end := time.Now().Add(demandTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for n := 1; n <= adapterPlaces; n++ {
			answered += s.ask(fmt.Sprint("m1/a", n), 0)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.note("%d requests answered with success, %d orders for more adapters than the engine holds", answered, e.overfull)
	s.checkServed(answered, 20)
	return e.overfull
}
