package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// lostShare is the share of the requests that the faulty server ran and whose answer is lost, for
	// lostTime from the beginning of the traffic.
	lostShare = 0.05
	lostTime  = 5500 * time.Millisecond
	// keyClients is the number of clients at each VM in this case, bookingsEach the number of requests
	// of each client.
	keyClients, bookingsEach = 6, 60
	// serverWork is how long a server works on a request.
	serverWork = 30 * time.Millisecond
)

// plainConfiguration has one unsafe route to a plain service.
const plainConfiguration = `{"version":7,"routes":[
 {"name":"book","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"xano55b","maxAttempts":%d}],
 "services":[{"name":"xano55b","healthPath":"/health","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`

// runIdempotencyKey sends bookings without a body that carry the standard header Idempotency-Key.
// One of two servers runs some and closes the connection without an answer. It returns how many
// bookings ran more than once.
func runIdempotencyKey(s *system) int {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, plainConfiguration, 1))
	lost := make(map[string]bool)
	var mu sync.Mutex
	for i, zone := range zones {
		err := s.addServer("xano55b", zone, 6, "", func(b *backendServer, c *serverConn, _ *http.Request, id string) {
			run := s.beginRun(id)
			s.note("server: %s runs %s (run %d)", b.id, id, run)
			time.Sleep(serverWork)
			if i == 0 && s.trouble && time.Since(s.trafficStart) < lostTime && rand.Float64() < lostShare {
				mu.Lock()
				lost[id] = true
				mu.Unlock()
				s.note("server: %s loses the answer to %s", b.id, id)
				c.reset()
				return
			}
			writeAnswer(c, http.StatusOK, id, b.seal(id, run), "booked\n")
		})
		if err != nil {
			s.fail(err)
			return 0
		}
	}
	if err := s.startVMs(1); err != nil {
		s.fail(err)
		return 0
	}
	s.trafficStart = time.Now()
	answers := s.sendBookings(keyClients, "Idempotency-Key: \"%s\"\r\n", "")
	violations, answered := 0, 0
	for _, a := range answers {
		if a.status == http.StatusOK {
			answered++
		}
		if runs := s.countRuns(a.id); runs > 1 {
			violations++
			s.note("TWICE: %s ran %d times, its client got %d", a.id, runs, a.status)
		}
	}
	s.note("%d bookings, %d answered with success, %d lost answers, %d ran more than once", len(answers), answered, len(lost), violations)
	s.checkServed(answered, len(answers))
	return violations
}

// checkServed fails the case unless most requests were served.
func (s *system) checkServed(answered, sent int) {
	if answered < sent/2 {
		s.fail(fmt.Errorf("%d of %d requests were served", answered, sent))
	}
}

// sendBookings sends the bookings of all clients, clientsEach at each VM, and returns their answers. A %s in the header lines stands for a
// new ID.
func (s *system) sendBookings(clientsEach int, headers, body string) []clientAnswer {
	var answers []clientAnswer
	var mu sync.Mutex
	var clients sync.WaitGroup
	for _, vm := range s.vms {
		for range clientsEach {
			clients.Go(func() {
				c := &client{system: s, vm: vm}
				for n := range bookingsEach {
					own := strings.ReplaceAll(headers, "%s", s.newRequestID())
					a := c.send("POST", fmt.Sprintf("/puxa403/book?pan=%d", n), own, body)
					mu.Lock()
					answers = append(answers, a)
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	time.Sleep(time.Second) // what is still under way at a server is counted
	return answers
}
