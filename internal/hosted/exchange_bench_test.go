package hosted

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/lease"
	"bergamotreel/registry"
)

// BenchmarkReportExchange measures one exchange of reports at the VM that answers, in a
// fleet of 63 VMs and 140 engines, where 62 other VMs each send it several reports per
// second.
func BenchmarkReportExchange(b *testing.B) {
	const vms, engines = 63, 140
	start := time.Now()
	n := New(Config{
		VM: "vm0", Address: "vm0", Domain: "d0", Incarnation: "1", Shards: testShards, Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(1)),
		Lease: lease.ShardConfig{JoinTTL: time.Second, MinHandoverGap: time.Second, MaxOrderDelay: time.Second}, ReportInterval: 100 * time.Millisecond,
		MaxApplyDelay: 2 * time.Second, MaxDrainDelay: 2 * time.Second, BootClock: func() time.Duration { return time.Since(start) },
	})
	for i := range engines {
		e := registry.Backend{ID: fmt.Sprint("e", i), Service: testService, Domain: "d0", IsEngine: true, Slots: 8}
		n.backends.applyChanges(start, []registry.Change{{ID: e.ID, Backend: &e}})
	}
	reports := make([]entryvm.Report, vms-1)
	for i := range reports {
		vm := fmt.Sprint("vm", i+1)
		reports[i] = entryvm.Report{VM: vm, Address: vm, Domain: fmt.Sprint("d", i%3), Incarnation: "1"}
		n.members.addAddresses([]string{vm})
		n.Report(reports[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		report := &reports[i%len(reports)]
		report.Sequence++
		n.Report(*report)
		n.members.exchangeInterval(time.Now(), n.members.peers[report.Address])
		n.members.minExchangeInterval(time.Now(), n.members.peers[report.Address])
	}
}
