package crash

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission/quarantine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
)

// quietFleet is a Fleet of three backend servers of which nothing more is known.
type quietFleet struct{ Fleet }

func (quietFleet) CountServers() int                { return 3 }
func (quietFleet) FindServer(string) (Server, bool) { return Server{}, false }

func newTestDetector(incarnation string) *Detector {
	return New(Config{Fleet: quietFleet{}, Incarnation: incarnation, Logger: zap.NewNop()})
}

// report returns the report of one VM's detector to another VM, whose newest report is last.
func report(now time.Time, vm string, c *Detector, last entryvm.Report) entryvm.Report {
	r := entryvm.Report{VM: vm, Incarnation: c.config.Incarnation}
	c.Publish(now, &r, &last)
	return r
}

func (c *Detector) recordTestCrash(now time.Time, request quarantine.Fingerprint) {
	c.suspects.RecordCrash(now, now, "engine@1", []quarantine.Subject{{Fingerprint: request}})
}

// Guards against a VM that lacks suspects for good after a restart: a report that was built for its former process
// holds only what that one lacked, and its position counted for all.
func TestReportForFormerProcess(t *testing.T) {
	now := time.Now()
	sender, former, restarted := newTestDetector("s"), newTestDetector("1"), newTestDetector("2")
	sender.recordTestCrash(now, 1)
	first := report(now, "vm-1", sender, report(now, "vm-2", former, entryvm.Report{VM: "vm-1"}))
	former.Merge(now, &first)
	known := report(now, "vm-2", former, first)
	testkit.Equal(t, "suspects of the former process", former.suspects.Len(), 1)

	sender.recordTestCrash(now, 2)
	late := report(now, "vm-1", sender, known)
	testkit.Equal(t, "suspects that the former process lacks", len(late.Suspects), 1)
	restarted.Merge(now, &late)
	for range 2 {
		next := report(now, "vm-1", sender, report(now, "vm-2", restarted, late))
		restarted.Merge(now, &next)
		late = next
	}
	testkit.Equal(t, "suspects after the restart", restarted.suspects.Len(), 2)
	testkit.Equal(t, "suspects sent again", len(late.Suspects), 0)
}
