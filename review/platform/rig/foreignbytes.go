package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// extraShare is the share of a faulty server's answers after which additional bytes follow, for
	// extraTime from the beginning of the traffic.
	extraShare = 0.03
	extraTime  = 5 * time.Second
	// extraClients is the number of clients at each VM in this case.
	extraClients = 15
)

// extraBytes belong to no request. They have neither the ID of one nor a server's signature.
const extraBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"

// runForeignBytes sends bookings to three servers. One of them sends additional bytes after part of
// its answers, late: where the next answer on the connection is expected. It returns how many
// clients got a success without the server's signature of their request.
func runForeignBytes(s *system) int {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, plainConfiguration, 1))
	for i := range 3 {
		faulty := i == 0 && s.trouble
		err := s.addServer("xano55b", zones[i%len(zones)], 6, "", func(b *backendServer, c *serverConn, _ *http.Request, id string) {
			if c.lateCopy != "" {
				s.note("server: %s sends additional bytes where the answer to %s is expected", b.id, id)
				_, _ = io.WriteString(c, c.lateCopy)
				c.lateCopy = ""
			}
			run := s.beginRun(id)
			s.note("server: %s runs %s (run %d)", b.id, id, run)
			time.Sleep(serverWork)
			writeAnswer(c, http.StatusOK, id, b.seal(id, run), "booked\n")
			if faulty && time.Since(s.trafficStart) < extraTime && rand.Float64() < extraShare {
				c.lateCopy = extraBytes
			}
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
	violations, answered := 0, 0
	answers := s.sendBookings(extraClients, "", "{}")
	for _, a := range answers {
		if a.status < 200 || a.status > 299 {
			continue
		}
		answered++
		if !strings.Contains(a.seal, "."+a.id+".") || a.body != "booked\n" {
			violations++
			s.note("MIXED: the client of %s got %d with the signature %q and the body %q", a.id, a.status, a.seal, a.body)
		}
	}
	s.note("%d bookings, %d answered with success, %d violations", len(answers), answered, violations)
	s.checkServed(answered, len(answers))
	return violations
}
