package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// changedConfiguration is plainConfiguration after a change that adds a route for all other paths.
const changedConfiguration = `{"version":9,"routes":[
 {"name":"book","host":"ficu95.example","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"xano55b","maxAttempts":1},
 {"name":"other","host":"ficu95.example","pathPrefix":"/","kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":2,"service":"xano55b","maxAttempts":1}],
 "services":[{"name":"xano55b","healthPath":"/health","maxConns":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}}`

const (
	// pathRequests is the number of requests of each client in this case.
	pathRequests = 60
	// changeAfter is how long after the clients began the configuration changes.
	changeAfter = 2 * time.Second
)

// requestURIs are what the clients ask for. Only the first belongs to a route before the change.
var requestURIs = []string{"/puxa403/book?item=a%2Fb", "/stock/drums%2Ftassa", "//stock/drums%2Ftassa"}

// runChangedPath sends requests to three paths while the configuration changes: a new route takes all
// paths that no other route takes. It returns how many requests ran with another path or query than
// the client's.
func runChangedPath(s *system) int {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, plainConfiguration, 1))
	ranAs := make(map[string]string)
	var mu sync.Mutex
	for _, zone := range zones {
		err := s.addServer("xano55b", zone, 6, "", func(b *backendServer, c *serverConn, r *http.Request, id string) {
			run := s.beginRun(id)
			mu.Lock()
			ranAs[id] = r.RequestURI
			mu.Unlock()
			s.note("server: %s runs %s as %s (run %d)", b.id, id, r.RequestURI, run)
			time.Sleep(serverWork)
			writeAnswer(c, http.StatusOK, id, b.seal(id, run), "done\n")
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
	if s.trouble {
		time.AfterFunc(changeAfter, func() {
			s.store.Put("keyed.op", "config", []byte(changedConfiguration))
			s.note("operator: configuration 9 is acknowledged")
		})
	}
	sent := make(map[string]string)
	booked, bookings := 0, 0
	var clients sync.WaitGroup
	for _, vm := range s.vms {
		for i, uri := range requestURIs {
			clients.Go(func() {
				c := &client{system: s, vm: vm}
				for range pathRequests {
					a := c.send("POST", uri, "", "{}")
					mu.Lock()
					sent[a.id] = uri
					if i == 0 {
						bookings++
						if a.status == http.StatusOK {
							booked++
						}
					}
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	violations := 0
	for id, uri := range sent {
		if as, ran := ranAs[id]; ran && as != uri {
			violations++
			s.note("UNASKED: %s was sent as %s and ran as %s", id, uri, as)
		}
	}
	s.note("%d requests, %s; %d of %d bookings answered with success, %d violations", len(sent), strings.Join(requestURIs, " "), booked, bookings, violations)
	s.checkServed(booked, bookings)
	return violations
}
