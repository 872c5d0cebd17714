package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// largeDomain boots a domain in which one VM reads the registry for all, and returns its
// reader.
func (w *testBed) largeDomain() (reader string) {
	w.registry.configuration = testContract("m1")
	w.registry.deal("a")
	w.listEngine(w.engines.add("e1", "m1"))
	for _, vm := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		w.boot(vm, true)
	}
	time.Sleep(5 * time.Second)
	for _, n := range w.nodes {
		reader = n.members.reader(time.Now())
	}
	return reader
}

// each calls f with every VM that runs.
func (w *testBed) each(f func(vm string, n *Node)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, n := range w.nodes {
		f(vm, n)
	}
}

// Calls to the registry are paid for and bounded. Eight VMs that each read for
// themselves make 52 reads a second of this fake; with one that reads for all it is 19.
func TestOneVMReadsForItsDomain(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		w.largeDomain()
		before := w.registry.reads
		time.Sleep(20 * time.Second)
		perSecond := float64(w.registry.reads-before) / 20
		// The fake answers a waiting read for changes after a tenth of its wait.
		testkit.That(t, perSecond < 25, "%v reads a second", perSecond)
		w.each(func(vm string, n *Node) {
			testkit.That(t, !n.changes.stale(n.config.Boot()) && !n.configurations.stale(n.config.Boot()), "%s reads for itself", vm)
		})
	})
}

// A configuration is accepted and a backend server leaves, just as the VM that reads for
// its domain dies, or is cut off from the registry, from the others, or from all. All
// other VMs must obey both within the bounds.
func TestReaderFailsAtAChange(t *testing.T) {
	for _, how := range []string{"nothing", "killed", "cut off from the registry", "cut off from the VMs"} {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprint(how, " ", after), func(t *testing.T) {
				withTestBed(t, func(w *testBed) { w.readerFails(how, after) })
			})
		}
	}
}

func (w *testBed) readerFails(how string, after time.Duration) {
	reader := w.largeDomain()
	testkit.Need(w, reader != "", "no VM reads for all")
	time.Sleep(after)
	switch how {
	case "killed":
		w.kill(reader)
	case "cut off from the registry":
		w.registry.mu.Lock()
		w.registry.unreachable[reader] = true
		w.registry.mu.Unlock()
	case "cut off from the VMs":
		w.mu.Lock()
		w.isolated[reader] = true
		w.mu.Unlock()
	}
	w.registry.mu.Lock()
	next := *w.registry.configuration
	next.Version, next.Source = 2, []byte("two")
	w.registry.configuration = &next
	w.registry.mu.Unlock()
	w.registry.put(registry.Backend{ID: "e1", Service: testService, Address: "at-e1", Domain: "d", Slots: 8, IsEngine: true, Leaving: true})
	time.Sleep(2 * time.Second)
	w.each(func(vm string, n *Node) {
		if vm == reader && how != "nothing" {
			return
		}
		b, _ := n.backends.get("e1")
		testkit.That(w, n.version() == 2, "%s has version %d in force", vm, n.version())
		testkit.That(w, b.Leaving, "%s does not know that the backend server leaves", vm)
	})
}

// Changes reach a VM from the registry and from another VM, in any order and twice. What
// was read earlier never undoes what is newer.
func TestFeedKeepsTheOrder(t *testing.T) {
	var applied []string
	apply := func(list []registry.Change) {
		for _, c := range list {
			applied = append(applied, c.ID)
		}
	}
	batch := func(from, to registry.Cursor, ids ...string) changeBatch {
		out := changeBatch{from: from, to: to}
		for _, id := range ids {
			out.list = append(out.list, registry.Change{ID: id})
		}
		return out
	}
	var f feed
	testkit.That(t, !f.extend(batch(0, 1, "x"), apply), "extended before the whole was read")
	f.restart(3, true)
	testkit.That(t, f.extend(batch(3, 5, "d", "e"), apply), "the next ones are refused")
	testkit.That(t, !f.extend(batch(3, 4, "d"), apply), "older ones are applied after newer")
	testkit.That(t, !f.extend(batch(6, 7, "g"), apply), "a gap is passed over")
	testkit.That(t, f.extend(batch(3, 6, "d", "e", "f"), apply), "a longer run is refused")
	testkit.Equal(t, "applied", fmt.Sprint(applied), "[d e d e f]")
	since, ok := f.since(5)
	testkit.That(t, ok && since.from <= 5 && since.to == 6 && since.list[len(since.list)-1].ID == "f", "got %+v, %v", since, ok)
	_, ok = f.since(2)
	testkit.That(t, !ok, "changes that aren't kept were told")
	_, ok = f.since(9)
	testkit.That(t, !ok, "changes after a cursor of the future were told")
}

// A VM relies on a read that waited for news and found none: nothing changed until its end.
// One that comes back early with nothing, as from a registry that restarts, tells no more
// than when it began. Taken for a whole wait, it hid changes until after their bound.
func TestReadTellsNoMoreThanItWaited(t *testing.T) {
	const begun, wait = 10 * time.Second, 700 * time.Millisecond
	for _, read := range []struct {
		name string
		took time.Duration
		news bool
		want time.Duration
	}{
		{"waited in vain", wait + 4*time.Millisecond, false, begun + wait},
		{"early and empty", 70 * time.Millisecond, false, begun},
		{"with news", 70 * time.Millisecond, true, begun},
		{"with news at its end", wait + 4*time.Millisecond, true, begun},
	} {
		testkit.Equal(t, read.name, readAt(begun, begun+read.took, wait, read.news), read.want)
	}
}
