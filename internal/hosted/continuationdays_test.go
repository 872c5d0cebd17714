package hosted

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"time"
)

const (
	// breaksAt is the event within which streams break off while engines break them off; one new stream of
	// breakingShare does.
	breaksAt      = 3
	breakingShare = 3
)

// eventsFrom returns the numbers of the events from one on to the last.
func eventsFrom(first int) (numbers []int) {
	for i := first; i <= streamEvents; i++ {
		numbers = append(numbers, i)
	}
	return numbers
}

// wrongContinuations return what engines send that don't continue a stream after the event that a request names. An event that
// is left out isn't among them: only the events before it in the same answer show that ids rise by one.
var wrongContinuations = []func(after int) []int{
	func(int) []int { return eventsFrom(1) },
	eventsFrom,
	func(after int) []int { return append([]int{after + 1}, eventsFrom(after+1)...) },
	func(after int) []int { return append([]int{after + 1, after + 2}, eventsFrom(after+1)...) },
	func(int) []int { return nil },
}

// eventsToSend returns the numbers of the events that an engine sends after the last one that the caller has.
func (b *engineCluster) eventsToSend(e *servingEngine, after int) []int {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	if after == 0 || e.continues == nil {
		return eventsFrom(after + 1)
	}
	b.misled++
	return e.continues(after)
}

// breaksOff reports whether an engine breaks off the stream of a request.
func (b *engineCluster) breaksOff(e *servingEngine, id string, after int) bool {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return after == 0 && e.breaking && hash.Sum32()%breakingShare == 0
}

// misleadContinuations starts further faults of a day: once to three times all engines break streams off for some seconds,
// and some of them, at times all, don't continue streams where requests name. It draws from a generator of its own, so that
// the other faults of the day stay the same.
func (d *day) misleadContinuations(random *rand.Rand) {
	for range 1 + random.Intn(3) {
		at, duration := time.Duration(random.Int63n(int64(faultsEnd-8*time.Second))), time.Duration(1+random.Intn(7))*time.Second
		wrong, share, seed := random.Intn(len(wrongContinuations)), random.Intn(3), random.Int63()
		d.faultLog = append(d.faultLog, fmt.Sprintf("continuations %d of engines, share %d, at %s for %s", wrong, share, at, duration))
		d.inFlight.Go(func() {
			time.Sleep(at)
			chosen := rand.New(rand.NewSource(seed))
			d.setContinuations(true, func() func(int) []int {
				if chosen.Intn(3) > share {
					return nil
				}
				return wrongContinuations[wrong]
			})
			time.Sleep(duration)
			d.setContinuations(false, func() func(int) []int { return nil })
		})
	}
}

// setContinuations sets whether engines break streams off, and how each continues them.
func (d *day) setContinuations(breaking bool, of func() func(after int) []int) {
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	for i := range d.startedEngines {
		if e := d.engines[fmt.Sprint("at-e", i+1)]; e != nil {
			e.breaking, e.continues = breaking, of()
		}
	}
}
