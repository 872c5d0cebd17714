package devsystem

import (
	"net"
	"strconv"
	"testing"
)

// firstEphemeralPort is the first port that Linux assigns to outgoing connections.
const firstEphemeralPort = 32768

// Guards against an entry VM that fails to start with "address already in use"
// because another process's outgoing connection got its port between planning and
// listening. Planned ports must not be ephemeral, and two systems planned at once
// must not share any.
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
			for _, address := range []string{e.Callers, e.Operators, e.Peers, e.Metrics} {
				_, port, err := net.SplitHostPort(address)
				if err != nil {
					t.Fatal(err)
				}
				if n, err := strconv.Atoi(port); err != nil || n >= firstEphemeralPort {
					t.Errorf("%s %s: port is in the ephemeral range", e.ID, address)
				}
				if taken[address] {
					t.Errorf("%s %s is planned twice", e.ID, address)
				}
				taken[address] = true
			}
		}
	}
}
