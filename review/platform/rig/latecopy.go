package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"bergamotreel/platform/platformtest"
)

const (
	// shedShare is the share of the requests that the faulty engines reject although their health check
	// is good, copyShare that of their answers after which a second copy follows late.
	shedShare, copyShare = 0.45, 0.03
	// engineCount is the number of engines, each with a model of its own. The first faultyCount are
	// faulty.
	engineCount, faultyCount = 14, 2
	// The disruption lasts disruptionTime, disruptions times, with disruptionPause between.
	disruptions     = 4
	disruptionTime  = 5 * time.Second
	disruptionPause = 5 * time.Second
	// streamClients is the number of clients of sound engines at each VM. Each faulty engine has one
	// client at each VM.
	streamClients = 4
)

// engineConfiguration has one route for streams that can't be resumed.
const engineConfiguration = `{"version":7,"routes":[
 {"name":"draft","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"stream","timeoutMs":12000,"targetLatencyMs":250,"priority":2,"service":"dele69a","maxAttempts":1,"targetGapMs":150}],
 "services":[{"name":"dele69a","healthPath":"/health","maxConns":240,"engine":{"slots":32,"weightsSize":100,"adapterSlots":2,"loadsPerS":4,"models":[%s]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`

// runLateCopy sends requests for streams that may not be resumed to engines that each hold one model.
// Some engines reject part of their requests as not run, and after part of their answers a second copy
// arrives late: where the next answer on the connection is expected. It returns how many requests
// ran more than once, or ran and were answered that they had not.
func runLateCopy(s *system) int {
	models := ""
	for i := range engineCount {
		if i > 0 {
			models += ","
		}
		models += fmt.Sprintf(`{"name":"m%d","weightsSize":90,"loadS":6,"diskLoadS":1,"warmS":0.6}`, i)
	}
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, engineConfiguration, models))
	for i := range engineCount {
		if err := s.addEngine(i, i < faultyCount); err != nil {
			s.fail(err)
			return 0
		}
	}
	if err := s.startVMs(2); err != nil {
		s.fail(err)
		return 0
	}
	s.trafficStart = time.Now()
	violations, answered := 0, 0
	answers := s.sendDrafts()
	for _, a := range answers {
		id, status := a.id, a.status
		if status == http.StatusOK {
			answered++
		}
		switch runs := s.countRuns(id); {
		case runs > 1:
			violations++
			s.note("TWICE: %s ran %d times, its client got %d", id, runs, status)
		case runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			violations++
			s.note("REFUSED: %s ran, and its client got %d", id, status)
		}
	}
	s.note("%d requests, %d answered with success, %d violations", len(answers), answered, violations)
	s.checkServed(answered, len(answers))
	return violations
}

// addEngine starts an engine that holds the model of its index.
func (s *system) addEngine(index int, faulty bool) error {
	model := fmt.Sprintf("m%d", index)
	orders := platformtest.NewEngine("", model)
	return s.addServer("dele69a", zones[index%len(zones)], 32, model, func(b *backendServer, c *serverConn, r *http.Request, id string) {
		if r.URL.Path == "/report" || r.URL.Path == "/order" {
			r.Header.Del("Bergamotreel-Target-Instance")
			recorder := httptest.NewRecorder()
			orders.ServeHTTP(recorder, r)
			writeAnswer(c, recorder.Code, "", "", recorder.Body.String())
			return
		}
		if c.lateCopy != "" {
			s.note("server: %s sends a late copy where the answer to %s is expected", b.id, id)
			_, _ = io.WriteString(c, c.lateCopy)
			c.lateCopy = ""
		}
		if faulty && s.isDisrupted() && rand.Float64() < shedShare {
			s.note("server: %s rejects %s", b.id, id)
			b.finish(c, rejection(id), true)
			return
		}
		run := s.beginRun(id)
		s.note("server: %s runs %s (run %d)", b.id, id, run)
		time.Sleep(serverWork)
		events := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		b.finish(c, formatAnswer(http.StatusOK, id, "Content-Type: text/event-stream\r\n"+b.seal(id, run), events), faulty && s.isDisrupted())
	})
}

// isDisrupted reports whether the faulty engines are faulty now.
func (s *system) isDisrupted() bool {
	since := time.Since(s.trafficStart)
	return s.trouble && since < disruptions*(disruptionTime+disruptionPause) &&
		since%(disruptionTime+disruptionPause) < disruptionTime
}

// finish sends an answer, and keeps a copy of a part of a faulty server's answers for later.
func (b *backendServer) finish(c *serverConn, answer string, faulty bool) {
	_, _ = io.WriteString(c, answer)
	if faulty && rand.Float64() < copyShare {
		c.lateCopy = answer
	}
}

// sendDrafts sends all requests and returns their answers.
func (s *system) sendDrafts() []clientAnswer {
	var answers []clientAnswer
	var mu sync.Mutex
	var clients sync.WaitGroup
	end := s.trafficStart.Add(disruptions * (disruptionTime + disruptionPause))
	for _, vm := range s.vms {
		for i := range faultyCount + streamClients {
			clients.Go(func() {
				c := &client{system: s, vm: vm}
				for time.Now().Before(end) {
					model := i
					if i >= faultyCount {
						model = faultyCount + rand.IntN(engineCount-faultyCount)
					}
					headers := fmt.Sprintf("Bergamotreel-Model: m%d\r\nBergamotreel-Token-Counts: 700,80\r\nBergamotreel-Prompt-Prefix: 5c1e07a2:172,%08x:528\r\n", model, rand.Uint32())
					a := c.send("POST", "/lohu930/2f", headers, "{}")
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(time.Second) // what is still under way at a server is counted
	return answers
}
