package pathloss_test

import (
	"testing"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing/pathloss"
)

// Guards against a VM that finds each backend server unreachable by itself after it has lost
// its paths to all, and loses a request on each.
func TestTwoLostPathsCountForAll(t *testing.T) {
	var m pathloss.Monitor
	testkit.That(t, !m.RecordLostPath("one", 5), "one lost path counts for all")
	testkit.That(t, !m.RecordLostPath("one", 5), "one lost path counts twice")
	testkit.That(t, m.RecordLostPath("two", 5) && m.IsLost(), "two lost paths don't count for all")
	testkit.That(t, !m.RecordLostPath("three", 5), "paths are lost twice")
	testkit.That(t, m.RecordDirectAnswer() && !m.IsLost(), "an answer doesn't end the loss")
	testkit.That(t, !m.RecordDirectAnswer(), "an answer ends the loss twice")
}

// Guards against a VM that gives up paths that work: while some backend server answers it, the
// others are judged one at a time.
func TestAnswersBetweenLostPaths(t *testing.T) {
	var m pathloss.Monitor
	for _, backend := range []string{"one", "two", "three"} {
		testkit.That(t, !m.RecordLostPath(backend, 5), "paths are lost although a backend server answers")
		testkit.That(t, m.HasRecords(), "no records")
		testkit.That(t, !m.RecordDirectAnswer() && !m.HasRecords(), "an answer left records")
	}
}

// Guards against a service with a single backend server whose lost path is never recognized.
func TestLostPathOfTheOnlyBackend(t *testing.T) {
	var m pathloss.Monitor
	testkit.That(t, m.RecordLostPath("one", 1), "not lost")
}

// Guards against a lost path to the only backend server that is never recognized because an ended one
// was still listed when it was found.
func TestLostPathOfTheLastBackendListed(t *testing.T) {
	var m pathloss.Monitor
	testkit.That(t, !m.RecordLostPath("one", 2), "one lost path of two counts for all")
	testkit.That(t, !m.Recount(2) && m.Recount(1) && m.IsLost(), "not lost once the other has left the list")
	var calm pathloss.Monitor
	testkit.That(t, !calm.Recount(1) && !calm.Recount(0), "lost without a record")
}
