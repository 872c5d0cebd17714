package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// spoiledShare is the share of a faulty server's answers whose status is spoiled.
	spoiledShare = 0.02
	// A disruption lasts spoilTime, spoilCount times, with spoilPause between. Half of the servers are
	// faulty, the other half the next time.
	spoilCount = 6
	spoilTime  = 5500 * time.Millisecond
	spoilPause = time.Second
	// calmTime is how long the clients go on after that.
	calmTime = 60 * time.Second
	// bookingsPerSecond are the bookings at all VMs together.
	bookingsPerSecond = 100
	// spoiledStatus is no status of HTTP: they have three digits, the first of which is 1 to 5.
	spoiledStatus = 0
	// maxUnserved is the share of requests that may be refused or fail (rule Gate).
	maxUnserved = 0.6
)

// runHang sends bookings to two servers that spoil the status of a few answers, each in turn, for a
// while. It returns the number of bookings that were refused or failed if that is more than the gate
// allows, else 0.
func runHang(s *system) int {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, plainConfiguration, 1))
	for i, zone := range zones {
		err := s.addServer("xano55b", zone, 6, "", func(b *backendServer, c *serverConn, _ *http.Request, id string) {
			run := s.beginRun(id)
			time.Sleep(serverWork)
			status := http.StatusOK
			if s.isSpoiling(i) && rand.Float64() < spoiledShare {
				status = spoiledStatus
				s.note("server: %s spoils the status of its answer to %s", b.id, id)
			}
			writeAnswer(c, status, id, b.seal(id, run), "booked\n")
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
	served, sent, lateServed, lateSent := s.sendAtRate()
	unserved := sent - served
	s.note("%d bookings, %d refused or failed; of %d sent in the last %s, %d were served", sent, unserved, lateSent, calmTime/2, lateServed)
	if served == 0 {
		s.fail(fmt.Errorf("no booking was served"))
	}
	if float64(unserved) <= maxUnserved*float64(sent) {
		return 0
	}
	return unserved
}

// isSpoiling reports whether the server of this index is faulty now.
func (s *system) isSpoiling(index int) bool {
	since := time.Since(s.trafficStart)
	round := int(since / (spoilTime + spoilPause))
	return s.trouble && round < spoilCount && since%(spoilTime+spoilPause) < spoilTime && round%len(zones) == index
}

// sendAtRate sends bookings at a fixed rate, on connections that clients keep. It returns how many were
// served and sent, in all and in the second half of the calm time.
func (s *system) sendAtRate() (served, sent, lateServed, lateSent int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	idle := make([][]*client, len(s.vms))
	end := s.trafficStart.Add(spoilCount*(spoilTime+spoilPause) + calmTime)
	ticks := time.NewTicker(time.Second / bookingsPerSecond)
	defer ticks.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-ticks.C
		vm := n % len(s.vms)
		isLate := time.Until(end) < calmTime/2
		requests.Go(func() {
			mu.Lock()
			c := &client{system: s, vm: s.vms[vm]}
			if last := len(idle[vm]) - 1; last >= 0 {
				c, idle[vm] = idle[vm][last], idle[vm][:last]
			}
			mu.Unlock()
			a := c.send("POST", fmt.Sprintf("/puxa403/book?pan=%d", n), "", "{}")
			mu.Lock()
			defer mu.Unlock()
			idle[vm] = append(idle[vm], c)
			sent++
			if isLate {
				lateSent++
			}
			if a.status == http.StatusOK {
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
