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

// growTo makes the system one of so many entry VMs, spread over the domains.
func (s *system) growTo(vms int, domains ...string) {
	for i := 0; len(s.nodes) < vms; i++ {
		domain := domains[i%len(domains)]
		name := fmt.Sprint("v-", domain, 3+i/len(domains))
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEntry, Address: name, Domain: domain})
		s.start(name, name)
	}
	s.ready()
}

// An operator publishes to a fleet of 24 entry VMs, where one VM hears only those
// of its own group and sums of the others. Status must show the change in force
// on all of them within seconds, or a publish would wait in vain.
func TestChangeInForceShowsInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		s.growTo(24, "a", "b")
		published := s.publish("v-a1", "c1", text(1), 0)
		time.Sleep(8 * time.Second)
		report, err := s.node("v-a1").Operators().Status(s.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range report.VMs {
			if !vm.InForce(published.Revision) {
				t.Errorf("%s is shown at offset %d, the change is at %d", vm.ID, vm.Applied, published.Revision.Offset())
			}
		}
	})
}

// controlRecords calls each with the records of the control stream from an offset on.
func (s *system) controlRecords(from platformlog.Offset, each func(platformlog.Record)) {
	batch, err := s.log.Read(s.ctx, "control", from, 1<<20, 0)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range batch.Records {
		each(r)
	}
}

func (s *system) controlProposals(from platformlog.Offset, each func(state.Proposal)) {
	s.controlRecords(from, func(r platformlog.Record) {
		record, _ := state.Decode(r.Data)
		for _, p := range record.Proposals {
			each(p)
		}
	})
}

// busiestRelay is the VM that renewed for most others.
func (s *system) busiestRelay() string {
	most := map[string]int{}
	s.controlProposals(1, func(p state.Proposal) {
		if p.SessionsRenew != nil {
			most[p.ID.Proposer] = max(most[p.ID.Proposer], len(p.SessionsRenew.Renewals))
		}
	})
	relay := slices.MaxFunc(slices.Sorted(maps.Keys(most)), func(a, b string) int { return most[a] - most[b] })
	if most[relay] < 2 {
		s.t.Fatalf("no relay renewed for others: %v", most)
	}
	return relay
}

// In a fleet of 27 each VM's session is renewed by its group's relay. The relay
// dies, is cut from the log alone, or its appends' answers are lost and it repeats
// them. A dead one's place is taken; where the others still hear it, each member
// proposes its own renewal in time. No session ends but that of the VM itself.
func TestCollectedRenewalsSurviveTheirRelay(t *testing.T) {
	for name, disturb := range map[string]func(s *system, relay string){
		"dies":             func(s *system, relay string) { s.node(relay).kill() },
		"cut from the log": func(s *system, relay string) { s.cutFromLog(relay) },
		"twice":            func(s *system, _ string) { s.log.Faults().Set(faults.Settings{LoseProbability: 0.4}) },
	} {
		t.Run(name, func(t *testing.T) {
			short := timing
			timing = daemonTiming
			defer func() { timing = short }()
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, true)
				s.growTo(27, "a", "b", "c")
				time.Sleep(10 * time.Second)
				relay := s.busiestRelay()
				begun := s.logEnd("control")
				disturb(s, relay)
				time.Sleep(30 * time.Second)
				s.checkSessions(begun, name, relay)
			})
		})
	}
}

// checkSessions wants that no session ended since the offset but that of a VM that
// can't renew it any more.
func (s *system) checkSessions(since platformlog.Offset, name, relay string) {
	landed, own := map[state.ProposalID]int{}, 0
	s.controlProposals(since, func(p state.Proposal) {
		switch {
		case p.SessionsRenew != nil:
			landed[p.ID]++
		case p.SessionRenew != nil:
			own++
		case p.SessionOpen != nil:
			s.t.Errorf("%s lost its session and opened another", p.SessionOpen.VM)
		}
	})
	if again := slices.Max(slices.Collect(maps.Values(landed))); name == "twice" && again < 2 {
		s.t.Error("no collected renewal landed twice")
	}
	if name == "cut from the log" && own == 0 {
		s.t.Error("nobody renewed its own session")
	}
	folded := state.New()
	s.controlRecords(1, func(r platformlog.Record) { folded.Apply(uint64(r.Offset), r.Data) })
	live := 0
	for _, session := range folded.Sessions {
		switch {
		case !session.Ended:
			live++
		case session.VM != relay || name == "twice":
			s.t.Errorf("the session of %s ended", session.VM)
		}
	}
	s.t.Logf("%d sessions live, %d own renewals", live, own)
}

// What an idle fleet of so many entry VMs in three domains costs the log, and when a
// change is in force on all of them.
func TestFiguresFleet(t *testing.T) {
	short := timing
	timing = daemonTiming
	defer func() { timing = short }()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		s.growTo(*figureVMs, "a", "b", "c")
		base := s.publish("v-a1", "first", text(1), 0).Revision
		time.Sleep(20 * time.Second)
		begun, bytes, reading := s.logEnd("control"), 0, 0
		const looks = 300
		for range looks {
			time.Sleep(30 * time.Second / looks)
			reading += int(s.reading.Load())
		}
		s.printAppends("control", begun+1, 30*time.Second)
		s.controlRecords(begun+1, func(r platformlog.Record) { bytes += len(r.Data) })
		t.Logf("%d B/s in records, %.1f reads under way", bytes/30, float64(reading)/looks)
		var times quantiles
		for i := range 10 {
			time.Sleep(time.Duration(i) * 130 * time.Millisecond)
			at := time.Now()
			base = s.publish("v-a1", fmt.Sprint("c", i), text(2+i), base).Revision
			times = append(times, s.inForce(at, base, slices.Sorted(maps.Keys(s.nodes))...))
		}
		times.print(t, "in force on all")
	})
}

// In a fleet of 27 most VMs follow the control stream through their group's reader.
// The reader dies, hangs, or is cut off from the log alone and has nothing to tell. A
// change is published elsewhere at that moment: it must be in force on all VMs that
// are left within 4 s, by other groups' digests or the members' own reading.
func TestFollowingSurvivesItsReader(t *testing.T) {
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
				if reading := int(s.reading.Load()); reading >= len(s.nodes)*2/3 {
					t.Errorf("%d of %d VMs read the log", reading, len(s.nodes))
				}
				reader := s.busiestRelay()
				publisher := "v-a1"
				if reader[2] == publisher[2] {
					publisher = "v-b1"
				}
				disturb(s, reader)
				published := s.publish(publisher, "c1", text(1), 0)
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
