package hosted

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

const (
	// linkBytesPerSecond is the rate that all reads of the registry share, by the hosting platform's
	// settings, and readBeginTimeout how long a VM waits for an answer to begin.
	linkBytesPerSecond = 80e6
	readBeginTimeout   = time.Second
	// entryBytes is the size of a backend server's entry in the list, with enginesPerVM of them for each
	// VM; the list comes in pages of entriesPerPage. emptyAnswerBytes is the size of an answer without
	// records.
	entryBytes       = 600
	enginesPerVM     = 10
	entriesPerPage   = 500
	emptyAnswerBytes = 300
)

// registryLink is the link over which a registry sends all answers to reads, one after the other. The
// bytes of an answer that its reader no longer waits for are sent all the same.
type registryLink struct {
	mu sync.Mutex
	// freeAt is when all answers so far are sent.
	freeAt time.Time
	// listEntries is the number of entries that the list of backend servers is taken to have.
	listEntries int
	// reads and bytes count the answers.
	reads, bytes int
}

// send waits until an answer has arrived. It fails if the answer doesn't begin in time.
func (l *registryLink) send(ctx context.Context, bytes int) error {
	l.mu.Lock()
	now := time.Now()
	beginsAt := now
	if l.freeAt.After(now) {
		beginsAt = l.freeAt
	}
	l.freeAt = beginsAt.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	l.reads++
	l.bytes += bytes
	arrivesIn := l.freeAt.Sub(now)
	l.mu.Unlock()
	if beginsAt.Sub(now) > readBeginTimeout {
		pause.For(ctx, readBeginTimeout)
		return registry.ErrUnavailable
	}
	if !pause.For(ctx, arrivesIn) {
		return registry.ErrUnavailable
	}
	return nil
}

// counts returns the numbers of answers and their bytes so far.
func (l *registryLink) counts() (reads, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.bytes
}

func (r vmRegistry) Configuration(ctx context.Context) (*registry.Configuration, registry.Cursor, error) {
	next, cursor, err := r.fakeRegistry.Configuration(ctx)
	if r.link != nil && err == nil {
		err = r.link.send(ctx, len(next.Source))
	}
	return next, cursor, err
}

func (r vmRegistry) Backends(ctx context.Context) (registry.Backends, error) {
	list, err := r.fakeRegistry.Backends(ctx)
	if r.link == nil || err != nil {
		return list, err
	}
	for left := r.link.listEntries; left > 0; left -= entriesPerPage {
		if err := r.link.send(ctx, min(left, entriesPerPage)*entryBytes); err != nil {
			return registry.Backends{}, err
		}
	}
	return list, nil
}

// awaitOverLink is AwaitConfiguration over the registry's link. It returns nothing while there is no
// newer configuration.
func (r vmRegistry) awaitOverLink(ctx context.Context, from registry.Cursor, wait time.Duration) (*registry.Configuration, registry.Cursor, error) {
	for deadline := time.Now().Add(wait); ; pause.For(ctx, 10*time.Millisecond) {
		next, cursor, err := r.fakeRegistry.Configuration(ctx)
		switch {
		case err != nil:
			return nil, from, err
		case cursor > from:
			return next, cursor, r.link.send(ctx, len(next.Source))
		case !time.Now().Before(deadline):
			return nil, from, r.link.send(ctx, emptyAnswerBytes)
		case ctx.Err() != nil:
			return nil, from, ctx.Err()
		}
	}
}

// awaitBackendsOverLink is AwaitBackends over the registry's link.
func (r vmRegistry) awaitBackendsOverLink(ctx context.Context, from registry.Cursor, wait time.Duration) (registry.Changes, error) {
	for deadline := time.Now().Add(wait); ; pause.For(ctx, 10*time.Millisecond) {
		changes, err := r.fakeRegistry.AwaitBackends(ctx, from, 0)
		if err == nil && len(changes.List) == 0 && time.Now().Before(deadline) && ctx.Err() == nil {
			continue
		}
		if err == nil {
			err = r.link.send(ctx, emptyAnswerBytes+len(changes.List)*entryBytes)
		}
		if err != nil {
			return registry.Changes{Next: from}, err
		}
		return changes, nil
	}
}

// largeSource is the size of a configuration with 1,450 routes.
const largeSource = 450_000

// fleetReadCost is what a fleet reads from the registry and how long it takes.
type fleetReadCost struct {
	reads, bytes int
	last         time.Duration
}

func (c fleetReadCost) String() string {
	return fmt.Sprintf("%d reads, %.2f MB, last VM after %s", c.reads, float64(c.bytes)/1e6, c.last.Round(10*time.Millisecond))
}

// measureReads waits until a condition holds at all VMs, for 20 s at most, and returns what was read
// until then.
func (w *testCluster) measureReads(holds func(*Node) bool) fleetReadCost {
	reads, bytes := w.registry.link.counts()
	startedAt := time.Now()
	for missing := 1; missing > 0 && time.Since(startedAt) < 20*time.Second; {
		time.Sleep(20 * time.Millisecond)
		missing = 0
		w.eachNode(func(_ string, n *Node) {
			if !holds(n) {
				missing++
			}
		})
	}
	last := time.Since(startedAt)
	readsNow, bytesNow := w.registry.link.counts()
	return fleetReadCost{readsNow - reads, bytesNow - bytes, last}
}

// Guards against a fleet whose VMs all read the list of backend servers or a configuration from the
// registry at once: their answers come later than each VM waits for them, and what is read again feeds
// the queue.
func TestConfigurationReachesFleetInTime(t *testing.T) {
	for _, vms := range []int{8, 75, 300} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				w.registry.configuration = testContract("m1")
				w.registry.configuration.Source = make([]byte, largeSource)
				w.registry.link = &registryLink{listEntries: enginesPerVM * vms}
				w.assignSpreadShards()
				for i := range spreadDomainCount {
					e := w.engines.add(fmt.Sprint("e", i), "m1")
					e.domain = fmt.Sprint("d", i)
					w.listEngine(e)
				}
				for i := range vms {
					w.bootSpread(i)
				}
				start := w.measureReads(func(n *Node) bool { return n.Ready() == nil })
				for i := range enginesPerVM * vms {
					w.registry.put(registry.Backend{ID: fmt.Sprint("new-", i), Service: "plain", Address: fmt.Sprint("at-new-", i), Domain: "d0", Slots: 1})
				}
				listed := spreadDomainCount + enginesPerVM*vms
				entries := w.measureReads(func(n *Node) bool { return n.backends.count() == listed })
				time.Sleep(5 * time.Second)
				w.publishConfiguration(2)
				change := w.measureReads(func(n *Node) bool { return n.configurationVersion() == 2 })
				t.Logf("start: %s; new entries: %s; change: %s", start, entries, change)
				testkit.That(t, start.last <= 3*time.Second, "the last VM was ready after %s", start.last)
				testkit.That(t, entries.last <= 3*time.Second, "the last VM had all entries after %s", entries.last)
				testkit.That(t, change.last <= 2*time.Second, "the change was in force at the last VM after %s", change.last)
			})
		})
	}
}

// publishConfiguration has the registry accept a large configuration of the given version.
func (w *testCluster) publishConfiguration(version uint64) {
	next := testContract("m1")
	next.Version, next.Source = version, make([]byte, largeSource)
	w.registry.setConfiguration(next)
}
