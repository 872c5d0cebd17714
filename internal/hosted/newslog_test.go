package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
)

// newsCount is the number of engines for which a VM goes by their keepers' news.
func newsCount(n *Node) int {
	n.backends.mu.Lock()
	defer n.backends.mu.Unlock()
	count := 0
	for _, b := range n.backends.entries {
		if !b.newsAt.IsZero() {
			count++
		}
	}
	return count
}

// bootWithNews boots a large fleet with news of an engine or more, and returns of how many.
func (w *testBed) bootWithNews(vms int) int {
	w.bootFleet(vms)
	_, err := ask(w.nodes["v7"], "rare", 10*time.Second)
	testkit.OK(w, err)
	time.Sleep(4 * time.Second)
	engines := newsCount(w.nodes["v7"])
	testkit.Need(w, engines > 0, "no news of any engine")
	w.until(5*time.Second, "have the news", vms, func(n *Node) bool { return newsCount(n) == engines })
	return engines
}

// Guards against relays that repeat what has not changed, and against news that runs out
// for want of repetition: a quiet fleet keeps all of it and sends none.
func TestUnchangedNewsIsNotSentAgain(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		const vms = 60
		engines := w.bootWithNews(vms)
		w.mu.Lock()
		before := w.relayedUpdates
		w.mu.Unlock()
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			testkit.Need(w, w.count(func(n *Node) bool { return newsCount(n) == engines }) == vms, "news ran out")
		}
		w.mu.Lock()
		sent := w.relayedUpdates - before
		w.mu.Unlock()
		testkit.That(w, sent < vms, "%d news told in 20 s without a change", sent)
	})
}

// agree waits until all VMs go by the news of as many engines, twice in a row.
func (w *testBed) agree(what string) {
	w.Helper()
	agreed := 0
	for begun := time.Now(); agreed < 2; time.Sleep(500 * time.Millisecond) {
		counts := make(map[int]int)
		w.each(func(_ string, n *Node) { counts[newsCount(n)]++ })
		testkit.Need(w, time.Since(begun) < 9*time.Second, "%s: VMs by their number of engines with news: %v", what, counts)
		agreed++
		if len(counts) > 1 || counts[0] > 0 {
			agreed = 0
		}
	}
}

// Guards against news that is lost for good: of an engine that the registry lists at a VM
// only after its keeper told of it, of a relay that dies, and of a domain that was cut off.
func TestNewsIsWholeAgain(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		const vms = 60
		w.bootWithNews(vms)
		for round := range 4 {
			switch round {
			case 0:
				n := w.nodes["v38"]
				n.backends.mu.Lock()
				for _, b := range n.backends.entries {
					b.newsAt, b.newsFrom, b.news = time.Time{}, "", entryvm.EngineNews{}
				}
				n.backends.mu.Unlock()
			case 1:
				w.kill(w.leadOf("d1"))
			case 2:
				w.setDomainsPartitioned(true)
				time.Sleep(8 * time.Second)
				w.setDomainsPartitioned(false)
			case 3:
				w.bootIn("d2", "late", false)
			}
			time.Sleep(time.Second)
			w.agree(fmt.Sprint("whole again in round ", round))
		}
	})
}

// Guards against a keeper's engine that lives on in the log after the keeper no longer
// names it, and against a sum that does not tell versions apart.
func TestNewsLog(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newNewsLog()
	say := func(engine string, version uint64) {
		l.put(now, "k", entryvm.EngineNews{ID: engine, Version: version}, true)
	}
	say("e1", 1)
	say("e2", 1)
	l.complete(now, "k")
	_, next, _ := l.since(0, false)
	first := l.renewals(now, true)
	now = now.Add(3 * time.Second)
	say("e1", 1)
	l.complete(now, "k")
	list, _, _ := l.since(next, false)
	testkit.That(t, len(list) == 0, "told again: %v", list)
	list = l.of([]string{"k"}, false)
	testkit.That(t, len(list) == 1 && list[0].News.ID == "e1", "asked for again: %v", list)
	second := l.renewals(now, true)
	testkit.That(t, len(second) == 1 && second[0].Sum != first[0].Sum && second[0].Age == 0, "renewals %v, %v", first, second)
	say("e1", 2)
	third := l.renewals(now, true)
	testkit.That(t, third[0].Sum != second[0].Sum, "the same sum for two versions")
	l.sweep(now.Add(newsFor + time.Second))
	testkit.That(t, len(l.renewals(now, false)) == 0, "renewed after its time")
}

// Guards against a dump of all news that is too large for a slow link and begins anew each
// time: it comes in parts, each of which counts.
func TestNewsComesInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newNewsLog()
	const engines = 2*newsMost + 7
	for i := range engines {
		l.put(now, "k", entryvm.EngineNews{ID: fmt.Sprint("e", i), Version: 1}, true)
	}
	got, parts := make(map[string]bool), 0
	for position, more := uint64(0), true; more; parts++ {
		var list []entryvm.RelayedNews
		list, position, more = l.since(position, false)
		testkit.That(t, len(list) <= newsMost, "%d in one part", len(list))
		for _, news := range list {
			testkit.That(t, !got[news.News.ID], "%s came twice", news.News.ID)
			got[news.News.ID] = true
		}
	}
	testkit.That(t, len(got) == engines && parts == 3, "%d of %d in %d parts", len(got), engines, parts)
}
