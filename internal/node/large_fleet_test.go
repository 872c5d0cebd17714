package node_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/platformlog"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// growTo adds entry VMs to the system until it has the given number, distributed over
// the domains.
func (s *system) growTo(vms int, domains ...string) {
	for i := 0; len(s.nodes) < vms; i++ {
		domain := domains[i%len(domains)]
		name := fmt.Sprint("v-", domain, 3+i/len(domains))
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEntry, Address: name, Domain: domain})
		s.start(name, name)
	}
	s.waitReady()
}

// In a fleet of 24 entry VMs, each VM receives only the digests of its own group and
// sums of the other groups. The status must nevertheless show a published change as in
// force on all VMs within seconds, since a publish waits for this.
func TestStatusShowsChangeInForceInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		s.growTo(24, "a", "b")
		published := s.publish("v-a1", "c1", baseContract(1), 0)
		time.Sleep(8 * time.Second)
		report, err := s.node("v-a1").Operators().Status(s.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range report.VMs {
			if !vm.HasApplied(published.Revision) {
				t.Errorf("%s is shown at offset %d, the change is at %d", vm.ID, vm.Applied, published.Revision.Offset())
			}
		}
	})
}

// controlRecords calls visit with the records of the control stream from an offset on.
func (s *system) controlRecords(from platformlog.Offset, visit func(platformlog.Record)) {
	batch, err := s.log.Read(s.ctx, "control", from, 1<<20, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range batch.Records {
		visit(r)
	}
}

func (s *system) controlProposals(from platformlog.Offset, visit func(state.Proposal)) {
	s.controlRecords(from, func(r platformlog.Record) {
		record, _ := state.Decode(r.Data)
		for _, p := range record.Proposals {
			visit(p)
		}
	})
}

// busiestRelay returns the VM that renewed the most sessions in one proposal.
func (s *system) busiestRelay() string {
	maxRenewals := map[string]int{}
	s.controlProposals(1, func(p state.Proposal) {
		if p.SessionsRenew != nil {
			maxRenewals[p.ID.Proposer] = max(maxRenewals[p.ID.Proposer], len(p.SessionsRenew.Renewals))
		}
	})
	relay := slices.MaxFunc(slices.Sorted(maps.Keys(maxRenewals)), func(a, b string) int { return maxRenewals[a] - maxRenewals[b] })
	if maxRenewals[relay] < 2 {
		s.t.Fatalf("no relay renewed for others: %v", maxRenewals)
	}
	return relay
}

// In a fleet of 27, the relay of each group renews the sessions of its members. The
// relay dies, is cut off from the log only, or repeats its appends because their
// answers are lost. A dead relay must be replaced. While a relay cut off from the log
// still exchanges digests with its group, each member must propose its own renewal in
// time. No session but the relay's own may end.
func TestCollectedRenewalsSurviveRelayFailure(t *testing.T) {
	for name, disturb := range map[string]func(s *system, relay string){
		"dies":             func(s *system, relay string) { s.node(relay).kill() },
		"cut from the log": func(s *system, relay string) { s.cutFromLog(relay) },
		"repeats appends":  func(s *system, _ string) { s.log.Faults().Set(faults.Settings{LoseProbability: 0.4}) },
	} {
		t.Run(name, func(t *testing.T) {
			saved := testLease
			testLease = daemonLease
			defer func() { testLease = saved }()
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, true)
				s.growTo(27, "a", "b", "c")
				time.Sleep(10 * time.Second)
				relay := s.busiestRelay()
				start := s.logEnd("control")
				disturb(s, relay)
				time.Sleep(30 * time.Second)
				s.checkSessions(start, name, relay)
			})
		})
	}
}

// checkSessions checks that since the offset no session has ended but that of a relay
// that can't renew it.
func (s *system) checkSessions(since platformlog.Offset, name, relay string) {
	appended, ownRenewals := map[state.ProposalID]int{}, 0
	s.controlProposals(since, func(p state.Proposal) {
		switch {
		case p.SessionsRenew != nil:
			appended[p.ID]++
		case p.SessionRenew != nil:
			ownRenewals++
		case p.SessionOpen != nil:
			s.t.Errorf("%s lost its session and opened another", p.SessionOpen.VM)
		}
	})
	if maxAppends := slices.Max(slices.Collect(maps.Values(appended))); name == "repeats appends" && maxAppends < 2 {
		s.t.Error("no collected renewal was appended twice")
	}
	if name == "cut from the log" && ownRenewals == 0 {
		s.t.Error("no VM renewed its own session")
	}
	replayed := state.New()
	s.controlRecords(1, func(r platformlog.Record) { replayed.Apply(uint64(r.Offset), r.Data) })
	live := 0
	for _, session := range replayed.Sessions {
		switch {
		case !session.Ended:
			live++
		case session.VM != relay || name == "repeats appends":
			s.t.Errorf("the session of %s ended", session.VM)
		}
	}
	s.t.Logf("%d sessions live, %d own renewals", live, ownRenewals)
}

// TestFiguresFleet measures the log traffic of an idle fleet of figures.vms entry VMs
// in three domains, and the time until a change is in force on all of them.
func TestFiguresFleet(t *testing.T) {
	saved := testLease
	testLease = daemonLease
	defer func() { testLease = saved }()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		s.growTo(*figureVMs, "a", "b", "c")
		base := s.publish("v-a1", "first", baseContract(1), 0).Revision
		time.Sleep(20 * time.Second)
		start, bytes, reading := s.logEnd("control"), 0, 0
		const samples = 300
		for range samples {
			time.Sleep(30 * time.Second / samples)
			reading += int(s.controlReads.Load())
		}
		s.printAppends("control", start+1, 30*time.Second)
		s.controlRecords(start+1, func(r platformlog.Record) { bytes += len(r.Data) })
		t.Logf("%d B/s in records, %.1f reads under way", bytes/30, float64(reading)/samples)
		var times latencies
		for i := range 10 {
			time.Sleep(time.Duration(i) * 130 * time.Millisecond)
			at := time.Now()
			base = s.publish("v-a1", fmt.Sprint("c", i), baseContract(2+i), base).Revision
			times = append(times, s.waitInForce(at, base, slices.Sorted(maps.Keys(s.nodes))...))
		}
		times.print(t, "in force on all")
	})
}

// In a fleet of 27, most VMs follow the control stream through their group's reader.
// The reader dies, hangs, or is cut off from the log only and has no new records to
// pass on, while a change is published elsewhere. The change must be in force on all
// remaining VMs within 4 s, through the digests of other groups or because members read
// the log themselves.
func TestFollowingSurvivesReaderFailure(t *testing.T) {
	for name, disturb := range map[string]func(s *system, reader string){
		"dies":             func(s *system, reader string) { s.node(reader).kill() },
		"hangs":            func(s *system, reader string) { s.node(reader).gate.freeze() },
		"cut from the log": func(s *system, reader string) { s.cutFromLog(reader) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, true)
				s.growTo(27, "a", "b", "c")
				time.Sleep(10 * time.Second)
				if reading := int(s.controlReads.Load()); reading >= len(s.nodes)*2/3 {
					t.Errorf("%d of %d VMs read the log", reading, len(s.nodes))
				}
				reader := s.busiestRelay()
				publisher := "v-a1"
				if reader[2] == publisher[2] {
					publisher = "v-b1"
				}
				disturb(s, reader)
				published := s.publish(publisher, "c1", baseContract(1), 0)
				time.Sleep(4 * time.Second)
				for vm, n := range s.nodes {
					got, err := n.Operators().Contract(s.ctx, "trinidad")
					if vm != reader && (err != nil || got.Version < published.Revision) {
						t.Errorf("%s has version %d (%v), published is %d", vm, got.Version, err, published.Revision)
					}
				}
			})
		})
	}
}
