package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

const (
	// maxPathLossDelay is the time within which VMs must cope with the loss of their paths to
	// the backend servers. From then on, at least minPathLossShare of the share that other VMs
	// serve must be served there, or at most maxPathLossFailures plus one in
	// failuresPerRequests may fail, by the hosting platform's rules.
	maxPathLossDelay    = 3 * time.Second
	minPathLossShare    = 2.0 / 3
	maxPathLossFailures = 10
	failuresPerRequests = 50
	// fakeDialTimeout is how long a connection attempt over a lost path takes, and
	// fakeLossDelay how long a request on an open connection is unacknowledged before it counts
	// as lost.
	fakeDialTimeout = 500 * time.Millisecond
	fakeLossDelay   = time.Second
)

// pathLoss is how VMs lose their paths to the backend servers.
type pathLoss struct {
	// refused is whether connections are refused at once instead of hanging.
	refused bool
	// keptRequests is how many requests a VM sends to each engine on open connections, which
	// are lost, before it has to make a new connection.
	keptRequests int
}

// fail returns the error of a request, or of a connection attempt if it needs a new connection, over
// a lost path.
func (l *pathLoss) fail(isNewConnection bool, sentBefore int) error {
	if !isNewConnection && sentBefore < l.keptRequests {
		time.Sleep(fakeLossDelay)
		return service.ErrOutcomeUnknown
	}
	if l.refused {
		return fmt.Errorf("%w: %w", service.ErrNotSent, service.ErrConnectionRefused)
	}
	time.Sleep(fakeDialTimeout)
	return service.ErrNotSent
}

// losePaths makes VMs lose their paths to all engines, or to those that affects returns true
// for if it is set.
func (b *engineCluster) losePaths(vms []string, loss pathLoss, affects func(engine string) bool) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	connected := make(map[string]bool)
	for _, e := range b.engines {
		connected[e.id] = !e.hasEnded
	}
	for _, vm := range vms {
		b.lostPaths[vm] = &lostPath{pathLoss: loss, affects: affects, connected: connected, sent: make(map[string]int)}
	}
}

// restorePaths ends what losePaths began.
func (b *engineCluster) restorePaths() {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	clear(b.lostPaths)
}

// restorePathsOf ends what losePaths began for some VMs.
func (b *engineCluster) restorePathsOf(vms []string) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	for _, vm := range vms {
		delete(b.lostPaths, vm)
	}
}

// allowedPathLossFailures returns how many of the requests to VMs without paths may fail.
func allowedPathLossFailures(sent int) int { return maxPathLossFailures + sent/failuresPerRequests }

// lostPath is the state of a VM without paths to engines.
type lostPath struct {
	pathLoss
	affects func(engine string) bool
	// connected are the engines that ran when the path was lost. The VM has no open connections to
	// others.
	connected map[string]bool
	// sent counts the requests by engine.
	sent map[string]int
}

// tryPath returns the error of a request or a connection attempt if the VM has no path to
// the engine.
func (b *engineCluster) tryPath(vm, engine string, isProbe bool) error {
	b.statsMu.Lock()
	lost := b.lostPaths[vm]
	if lost == nil || (lost.affects != nil && !lost.affects(engine)) {
		b.statsMu.Unlock()
		return nil
	}
	sentBefore := lost.sent[engine]
	if !isProbe {
		lost.sent[engine]++
	}
	isConnected := lost.connected[engine]
	b.statsMu.Unlock()
	return lost.fail(isProbe || !isConnected, sentBefore)
}

// tryPathTo is tryPath for a target that may be reached through another VM.
func (b vmEngineCluster) tryPathTo(target service.Target, engine string, isProbe bool) error {
	if target.Gateway == "" {
		return b.tryPath(b.vm, engine, isProbe)
	}
	b.mu.Lock()
	process := b.nodes[b.vm]
	b.mu.Unlock()
	gateway, err := peerClient{b.testCluster, b.vm, process}.lookupNode(target.Gateway)
	if err != nil {
		return fmt.Errorf("%w: %w", service.ErrNotSent, err)
	}
	time.Sleep(time.Millisecond)
	if err := gateway.beginTunnel(target.Address); err != nil {
		return fmt.Errorf("%w: %w", service.ErrNotSent, err)
	}
	defer gateway.tunnels.Add(-1)
	if b.tryPath(target.Gateway, engine, true) != nil {
		return fmt.Errorf("%w: %w", service.ErrNotSent, entryvm.ErrBackendUnreachable)
	}
	return nil
}

// refuseThrough returns the error of a gateway whose connection to an engine is refused, or that has no
// path to it.
func (b vmEngineCluster) refuseThrough(target service.Target) error {
	b.statsMu.Lock()
	e := b.engines[target.Address]
	b.statsMu.Unlock()
	if e != nil {
		if err := b.tryPathTo(target, e.id, true); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %w: %w", service.ErrNotSent, entryvm.ErrBackendUnreachable, entryvm.ErrBackendRefused)
}

// servedShares counts the requests that some VMs got and those that they answered.
type servedShares struct {
	served, sent int
}

func (s servedShares) share() float64 { return float64(s.served) / float64(max(s.sent, 1)) }

// sendAndCompare sends requests to all VMs for a time span and returns how many were served
// by the VMs in cut and by the others.
func (b *engineCluster) sendAndCompare(span, pause time.Duration, cut []string) (atCut, atOthers servedShares) {
	isCut := toSet(cut)
	b.sendAtRandom(span, pause, func(vm string, err error) {
		shares := &atOthers
		if isCut[vm] {
			shares = &atCut
		}
		shares.sent++
		if err == nil {
			shares.served++
		}
	})
	b.inFlight.Wait()
	return atCut, atOthers
}

// checkServedWithoutPaths checks that VMs that have lost their paths serve about as many of
// their requests as the others.
func (b *engineCluster) checkServedWithoutPaths(atCut, atOthers servedShares) {
	b.Helper()
	b.Logf("VMs without paths served %d of %d, the others %d of %d", atCut.served, atCut.sent, atOthers.served, atOthers.sent)
	failed := atCut.sent - atCut.served
	allowed := allowedPathLossFailures(atCut.sent)
	testkit.That(b, atCut.share() >= minPathLossShare*atOthers.share() || failed <= allowed,
		"VMs without paths to the engines served %d of %d requests, the others %d of %d", atCut.served, atCut.sent, atOthers.served, atOthers.sent)
}

// Guards against VMs that serve nothing once they have lost their paths to all backend
// servers, although other VMs still reach these and have time to spare.
func TestVMsWithoutPathsToBackendsServe(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines, cut int
		loss              pathLoss
		pause             time.Duration
		overloaded        bool
	}{
		"connections hang":                    {8, 6, 5, pathLoss{}, 50 * time.Millisecond, false},
		"connections are refused":             {8, 6, 5, pathLoss{refused: true}, 50 * time.Millisecond, false},
		"open connections lose requests":      {8, 6, 5, pathLoss{keptRequests: 2}, 50 * time.Millisecond, false},
		"open connections lose many requests": {8, 6, 5, pathLoss{keptRequests: 50}, 8 * time.Millisecond, false},
		"overloaded engine":                   {6, 1, 2, pathLoss{}, 5 * time.Millisecond, true},
		"all but one VM":                      {8, 6, 7, pathLoss{}, 50 * time.Millisecond, false},
		"single engine":                       {8, 1, 5, pathLoss{}, 100 * time.Millisecond, false},
		"large fleet":                         {30, 6, 12, pathLoss{}, 50 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
				pause := c.pause
				b.sendOtherRequests(2*time.Second, pause)
				cut := b.vms[len(b.vms)-c.cut:]
				b.losePaths(cut, c.loss, nil)
				b.sendOtherRequests(maxPathLossDelay, pause)
				atCut, atOthers := b.sendAndCompare(9*time.Second, pause, cut)
				b.checkServedWithoutPaths(atCut, atOthers)
				b.restorePaths()
				b.sendOtherRequests(maxPathLossDelay, pause)
				atCut, atOthers = b.sendAndCompare(3*time.Second, pause, cut)
				if c.overloaded {
					testkit.That(b, atCut.share() >= minPathLossShare/2*atOthers.share(), "%d of %d requests served once the paths were back", atCut.served, atCut.sent)
				} else {
					testkit.That(b, atCut.served == atCut.sent, "%d of %d requests served once the paths were back", atCut.served, atCut.sent)
				}
			})
		})
	}
}

// Guards against the quarantine of a request that lost its connections several times: where a
// VM's paths are reset, the backend servers' addresses refuse its connections as if their
// processes had ended.
func TestLostPathsAreNoCrashes(t *testing.T) {
	withEngineCluster(t, 8, 6, func(b *engineCluster) {
		const uri = "/repeated"
		b.sendOtherRequests(2*time.Second, 50*time.Millisecond)
		cut := b.vms[3:]
		b.losePaths(cut, pathLoss{refused: true, keptRequests: 1}, nil)
		for range 4 {
			for _, vm := range cut {
				b.inFlight.Go(func() { _ = b.send(vm, uri) })
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		b.restorePaths()
		time.Sleep(3 * time.Second)
		for _, vm := range b.vms {
			testkit.NoError(t, b.send(vm, uri))
		}
	})
}

// Guards against engines that get no orders while the VM that keeps them has lost its paths,
// although other VMs of their failure domain reach them.
func TestVMsWithoutPathsHandEnginesOver(t *testing.T) {
	for name, c := range map[string]struct{ vms, cut int }{
		"one VM of two in each domain":     {6, 3},
		"half of each domain, large fleet": {36, 18},
	} {
		t.Run(name, func(t *testing.T) { checkEnginesHandedOver(t, c.vms, c.cut) })
	}
}

// checkEnginesHandedOver runs a fleet in which the first VMs of each failure domain lose their
// paths.
func checkEnginesHandedOver(t *testing.T, vms, cutCount int) {
	withEngineCluster(t, vms, 9, func(b *engineCluster) {
		cut := b.vms[:cutCount]
		isCut := toSet(cut)
		b.canOrder = func(vm string) bool {
			b.statsMu.Lock()
			defer b.statsMu.Unlock()
			return b.lostPaths[vm] == nil
		}
		kept := func(by func(vm string) bool) map[string]bool {
			engines := make(map[string]bool)
			b.eachNode(func(vm string, n *Node) {
				for i := range b.startedEngines {
					id := fmt.Sprint("e", i+1)
					if e, _ := n.backends.get(id); by(vm) && e.Domain == n.config.Domain && n.keeper.canSendOrdersTo(id) {
						engines[id] = true
					}
				}
			})
			return engines
		}
		b.sendOtherRequests(2*time.Second, 30*time.Millisecond)
		testkit.That(b, len(kept(func(vm string) bool { return isCut[vm] })) > 0, "the cut VMs keep no engine")
		b.losePaths(cut, pathLoss{}, nil)
		b.sendOtherRequests(8*time.Second, 30*time.Millisecond)
		got := kept(func(vm string) bool { return !isCut[vm] })
		testkit.That(b, len(got) == b.startedEngines, "VMs with paths keep %v of %d engines", got, b.startedEngines)
		b.restorePaths()
		b.sendOtherRequests(10*time.Second, 30*time.Millisecond)
		testkit.That(b, len(kept(func(vm string) bool { return isCut[vm] })) > 0, "VMs whose paths are back keep no engine")
		testkit.Equal(b, "kept engines", len(kept(func(string) bool { return true })), b.startedEngines)
		b.checkHandoverGap()
	})
}

// Guards against a VM that counts as without paths for ever, and so as no gateway and no keeper,
// because the service to which it lost them has no backend servers any more that could show it
// otherwise.
func TestLostPathsEndWithTheirService(t *testing.T) {
	withEngineCluster(t, 3, 2, func(b *engineCluster) {
		b.losePaths(b.vms[:1], pathLoss{}, nil)
		b.sendOtherRequests(3*time.Second, 20*time.Millisecond)
		n := b.nodes[b.vms[0]]
		testkit.That(b, n.paths.areLost(), "the paths don't count as lost")
		for i := range b.startedEngines {
			b.registry.drop(fmt.Sprint("e", i+1))
		}
		time.Sleep(3 * time.Second)
		testkit.That(b, !n.paths.areLost(), "the paths to nothing count as lost")
	})
}
