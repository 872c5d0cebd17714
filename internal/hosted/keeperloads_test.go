package hosted

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// Guards against swaps that wait for the engine's status, which reports the end of a load
// 0.3 s late: requests for rare models that replace each other would wait 0.9 s for a load
// of 0.5 s.
func TestPredictedLoadSkipsStatusDelay(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4")
		w.registry.assignAllShards("a")
		w.engines.statusLag = 200 * time.Millisecond
		w.listEngine(w.engines.add("e1", "m1", "m2"), "m1", "m2", "m3", "m4")
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		for _, m := range []string{"m3", "m4", "m1", "m2"} {
			took := testkit.Value(sendRequest(b, m, 5*time.Second))(w)
			testkit.That(w, took < fakeLoadTime+200*time.Millisecond, "%s took %s", m, took)
			time.Sleep(2500 * time.Millisecond)
		}
		testkit.Equal(w, "rejected requests", w.rejectedRequests, 0)
		w.checkHandoverGap()
	})
}

// An engine loads more slowly than expected, so a model that counts as loaded isn't, and
// requests for it are rejected. The prediction must be reverted and the next loads must
// wait for the engine's status, so that no request for their models is rejected.
func TestSlowLoadStopsPrediction(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4")
		w.registry.assignAllShards("a")
		w.engines.statusLag = 200 * time.Millisecond
		e := w.engines.add("e1", "m1", "m2")
		e.extraLoadTime = 2 * time.Second
		w.listEngine(e, "m1", "m2", "m3", "m4")
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		_, _ = sendRequest(b, "m3", 8*time.Second)
		time.Sleep(3 * time.Second)
		_ = testkit.Value(sendRequest(b, "m3", time.Second))(w)
		before := w.rejectedRequests
		testkit.That(w, before > 0, "nothing was rejected: the load was not predicted")
		took := testkit.Value(sendRequest(b, "m4", 8*time.Second))(w)
		testkit.That(w, took > e.extraLoadTime && took < e.extraLoadTime+2*time.Second, "m4 took %s", took)
		testkit.Equal(w, "rejected for m4", w.rejectedRequests, before)
		w.checkHandoverGap()
	})
}

// Guards against a planner that plans swap after swap on an engine whose keeper has just
// started one, as reports arrive later than the first half second of a swap, as they do in
// a large fleet. Each such swap is refused, though other engines could load the model.
func TestSwapInProgressIsKnownWithoutReports(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		models := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
		w.registry.configuration = testContract(models...)
		for i := range 2 {
			e := w.engines.add([]string{"e1", "e2"}[i], models[2*i], models[2*i+1])
			e.extraLoadTime = time.Second
			w.listEngine(e, models...)
		}
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(2 * time.Second)
		keeper := map[bool]string{true: "b", false: "a"}[a.members.isPlanner(time.Now())]
		w.registry.assignAllShards(keeper)
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		w.reportDelay = 900 * time.Millisecond
		w.mu.Unlock()
		for range 3 {
			for _, m := range models {
				go func() { _, _ = sendRequest(b, m, 6*time.Second) }()
				time.Sleep(500 * time.Millisecond)
			}
		}
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		testkit.That(w, w.swapsRefused <= maxSwapsRefused, "%d swaps were refused", w.swapsRefused)
	})
}

// maxSwapsRefused is how many swaps may be refused because an update and an order cross.
const maxSwapsRefused = 3
