package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/state"
)

// variant names a variant of the system: the unmodified one, or a faulty one in which a
// safeguard is missing or wrong.
type variant string

const (
	unmodified variant = ""
	// noPeers follows the log only and reads no control records from other entry VMs.
	noPeers variant = "no peers"
	// listOnly relies on the VM list only and ignores the draining status of engines.
	listOnly variant = "VM list only"
	// staleStatus uses the last status of an engine, however old it is.
	staleStatus variant = "stale status"
	// noShutdown ends the process at the signal to stop.
	noShutdown variant = "no graceful shutdown"
	// noClaims sends calls that must not be repeated without a claim in the log.
	noClaims variant = "no claims"
	// unknownIsNotRun reports every failed request as not run.
	unknownIsNotRun variant = "unknown is not run"
	// noDeadline lets requests wait without a limit.
	noDeadline variant = "no maximum wait"
	// wrongResumePosition resumes a broken stream one position too late.
	wrongResumePosition variant = "wrong resume position"
	// uncoordinatedLoads makes each entry VM load the requested models without a right.
	uncoordinatedLoads variant = "uncoordinated loads"
	// noTakeover keeps the session of a dead VM alive.
	noTakeover variant = "no takeover"
	// noTokenCheck makes engines obey orders regardless of their token.
	noTokenCheck variant = "no token check"
)

// runVariants runs a script against a ready system with the contract published. The
// unmodified system must keep all guarantees, and the script must detect a violation by
// each faulty variant.
func runVariants(t *testing.T, checksTokens bool, contractText string, script func(*system), variants ...variant) {
	for _, v := range append([]variant{unmodified}, variants...) {
		t.Run(string(v), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, checksTokens, v)
				s.waitReady()
				if r := s.publish("v-a1", "c1", contractText, 0); r.Verdict != state.VerdictApplied {
					t.Fatalf("publish: %+v", r)
				}
				time.Sleep(time.Second)
				script(s)
				s.checkViolations()
			})
		})
	}
}

// errorf records the violation of a guarantee.
func (s *system) errorf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// checkViolations fails the test if the unmodified system has violations, or if a
// faulty variant has none.
func (s *system) checkViolations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.variant != unmodified && len(s.violations) == 0 {
		s.t.Errorf("the script detects no violation by the faulty variant (%s)", s.variant)
	}
	for _, violation := range s.violations {
		if s.variant == unmodified {
			s.t.Error(violation)
		}
	}
}
