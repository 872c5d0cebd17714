package hosted

import (
	"context"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// slowListRegistry calls meanwhile before a whole list of backend servers that was read arrives.
type slowListRegistry struct {
	registry.Registry
	meanwhile func()
}

func (r slowListRegistry) Backends(ctx context.Context) (registry.Backends, error) {
	list, err := r.Registry.Backends(ctx)
	r.meanwhile()
	return list, err
}

// Guards against a whole list that another VM's newer one has overtaken and that undoes the newer changes, here that a
// backend server leaves, while they count as known.
func TestOvertakenListUndoesNothing(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		n := w.boot("a", true)
		time.Sleep(5 * time.Second)
		inner := n.config.Peers.Registry
		n.config.Peers.Registry = slowListRegistry{inner, func() {
			w.registry.mu.Lock()
			leaving := w.registry.backends["e1"]
			w.registry.mu.Unlock()
			leaving.Leaving = true
			w.registry.put(leaving)
			newer := testkit.Value(inner.Backends(w.Context()))(w)
			encoded := testkit.Value(compress(testkit.Value(encodeBackends(newer.List))(w)))(w)
			testkit.OK(w, n.snapshots.adoptBackends(n.config.BootClock(), &entryvm.KnowledgeReply{
				BackendsPosition: &entryvm.FeedPosition{Cursor: uint64(newer.Next)}, Backends: encoded,
			}))
		}}
		n.backendsFeed.Reset(0, false)
		n.readBackends(w.Context(), &n.backendsFeed, 0)
		n.config.Peers.Registry = inner
		b, listed := n.backends.get("e1")
		position, _ := n.backendsFeed.Position()
		end := testkit.Value(inner.Backends(w.Context()))(w).Next
		testkit.That(w, listed && b.Leaving && position == end, "listed %t, leaving %t, at %d of %d", listed, b.Leaving, position, end)
	})
}
