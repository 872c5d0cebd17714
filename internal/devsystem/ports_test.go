package devsystem

import (
	"net"
	"strconv"
	"testing"
)

// ephemeralPorts is where Linux begins to number outgoing connections.
const firstEphemeralPort = 32768

// An operator's whole system does not start: an entry VM ends with "address
// already in use". Its port was free when it was planned; until the entry VM
// listened, an outgoing connection of another process had been given it. So no
// planned port may be one that outgoing connections get, and two systems planned
// at once share none.
func TestPlannedPortsAreNotShared(t *testing.T) {
	taken := map[string]bool{}
	for range 2 {
		plan, err := NewPlan()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = plan.Close() }()
		if err := plan.AddEntries(); err != nil {
			t.Fatal(err)
		}
		for _, e := range plan.Entries {
			for _, address := range []string{e.Callers, e.Operators, e.Peers, e.Telemetry} {
				_, port, err := net.SplitHostPort(address)
				if err != nil {
					t.Fatal(err)
				}
				if n, err := strconv.Atoi(port); err != nil || n >= firstEphemeralPort {
					t.Errorf("%s %s: outgoing connections may get this port", e.ID, address)
				}
				if taken[address] {
					t.Errorf("%s %s is planned twice", e.ID, address)
				}
				taken[address] = true
			}
		}
	}
}
