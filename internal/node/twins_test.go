package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/state"
)

// twin says what a naive version of the system lacks.
type twin string

const (
	ours twin = ""
	// noPeers follows the log alone, never another entry VM.
	noPeers twin = "no peers"
	// listOnly believes the VM list alone, not the engine's own word.
	listOnly twin = "VM list only"
	// oldWord believes what an engine said last, however long ago.
	oldWord twin = "old word"
	// noShutdown ends the process at the signal to stop.
	noShutdown twin = "no graceful shutdown"
	// noClaims sends a call that may not be repeated without a claim in the log.
	noClaims twin = "no claims"
	// unknownIsNo tells of each request that failed that it was not run.
	unknownIsNo twin = "unknown is no"
	// noDeadline lets requests wait for as long as it takes.
	noDeadline twin = "no longest wait"
	// noPosition takes a broken stream up behind what the engine sent.
	noPosition twin = "no position"
	// ownLoads has each entry VM load what its callers ask for, without a right.
	ownLoads twin = "loads on its own"
	// noTakeover lets a session live on whose VM is dead.
	noTakeover twin = "no takeover"
	// noTokens has engines obey orders of any age.
	noTokens twin = "no tokens"
)

// inSystem runs a script against a ready system with the contract published:
// ours must keep the promise, and each naive twin must be seen to break it.
func inSystem(t *testing.T, checksTokens bool, contractText string, script func(*system), twins ...twin) {
	for _, version := range append([]twin{ours}, twins...) {
		t.Run(string(version), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, checksTokens, version)
				s.ready()
				if r := s.publish("v-a1", "c1", contractText, 0); r.Verdict != state.VerdictApplied {
					t.Fatalf("publish: %+v", r)
				}
				time.Sleep(time.Second)
				script(s)
				s.judge()
			})
		})
	}
}

// errorf notes that a promise was broken.
func (s *system) errorf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaches = append(s.breaches, fmt.Sprintf(format, args...))
}

// judge fails the test if ours broke the promise, or if a naive twin kept it.
func (s *system) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.twin != ours && len(s.breaches) == 0 {
		s.t.Errorf("the naive twin (%s) keeps the promise: the script proves nothing", s.twin)
	}
	for _, breach := range s.breaches {
		if s.twin == ours {
			s.t.Error(breach)
		}
	}
}
