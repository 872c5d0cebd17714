package node_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/platformlog"
	"bergamotreel/service"
)

// gate simulates a process that can be frozen. While it is frozen, no call from the
// process reaches its peers and no call from them reaches it. What the process decided
// before the freeze is sent when it is unfrozen, however late.
type gate struct {
	mu sync.Mutex
	// unfrozen is closed at the end of the current freeze and nil while the process
	// runs.
	unfrozen chan struct{}
	// pastFreezes is the total duration of earlier freezes, frozenAt the start of the
	// latest one.
	pastFreezes time.Duration
	frozenAt    time.Time
}

func newGate() *gate { return &gate{} }

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unfrozen == nil {
		g.unfrozen = make(chan struct{})
		g.frozenAt = time.Now()
	}
}

func (g *gate) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unfrozen != nil {
		close(g.unfrozen)
		g.unfrozen = nil
		g.pastFreezes += time.Since(g.frozenAt)
	}
}

// frozenTime returns how long the process has been frozen in total.
func (g *gate) frozenTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unfrozen != nil {
		return g.pastFreezes + time.Since(g.frozenAt)
	}
	return g.pastFreezes
}

// waitAsProcess blocks a call by the process while it is frozen. The returned context
// of a call that was blocked has no deadline, since a frozen process does not notice
// that its deadline has passed and sends the call anyway.
func (g *gate) waitAsProcess(ctx context.Context) context.Context {
	g.mu.Lock()
	unfrozen := g.unfrozen
	g.mu.Unlock()
	if unfrozen == nil {
		return ctx
	}
	<-unfrozen
	return context.WithoutCancel(ctx)
}

// waitAsPeer blocks a call to the process while it is frozen, at most until ctx ends.
func (g *gate) waitAsPeer(ctx context.Context) error {
	g.mu.Lock()
	unfrozen := g.unfrozen
	g.mu.Unlock()
	if unfrozen == nil {
		return nil
	}
	select {
	case <-unfrozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type gatedLog struct {
	platformlog.Log
	gate *gate
	// controlReads counts the reads of the control stream that are in flight.
	controlReads *atomic.Int32
}

func (l gatedLog) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	return l.Log.Append(l.gate.waitAsProcess(ctx), stream, data)
}

func (l gatedLog) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	if stream == "control" {
		l.controlReads.Add(1)
		defer l.controlReads.Add(-1)
	}
	batch, err := l.Log.Read(l.gate.waitAsProcess(ctx), stream, from, max, wait)
	l.gate.waitAsProcess(ctx)
	return batch, err
}

type gatedEngines struct {
	engine.Client
	gate   *gate
	system *system
	// shouldFreeze reports whether the process freezes before it sends the order.
	shouldFreeze func(address string, order engine.Order) bool
	// isPartitioned reports whether a partition cuts the engine off.
	isPartitioned func(address string) bool
}

var errPartitioned = fmt.Errorf("%w: partition", engine.ErrNotSent)

func (c gatedEngines) Status(ctx context.Context, address string) (engine.Status, error) {
	ctx = c.gate.waitAsProcess(ctx)
	if c.isPartitioned(address) {
		return c.system.receiveStatus(address, engine.Status{}, errPartitioned)
	}
	status, err := c.applyVariant(c.Client.Status(ctx, address))
	return c.system.receiveStatus(address, status, err)
}

// applyVariant returns the engine status as the running variant of the system reads it.
func (c gatedEngines) applyVariant(status engine.Status, err error) (engine.Status, error) {
	if c.system.variant == listOnly {
		status.Draining = false
	}
	return status, err
}

func (c gatedEngines) Generate(ctx context.Context, address string, request engine.Request) (engine.Stream, error) {
	if c.isPartitioned(address) {
		return nil, errPartitioned
	}
	c.system.recordSent(address, request.ID)
	return c.Client.Generate(ctx, address, request)
}

func (c gatedEngines) Resume(ctx context.Context, address, id string, from uint64) (engine.Stream, error) {
	if c.system.variant == wrongResumePosition {
		from++
	}
	return c.Client.Resume(ctx, address, id, from)
}

func (c gatedEngines) Order(ctx context.Context, address string, order engine.Order) (engine.Status, error) {
	if c.shouldFreeze(address, order) {
		c.gate.freeze()
	}
	ctx = c.gate.waitAsProcess(ctx)
	if c.isPartitioned(address) {
		return engine.Status{}, errPartitioned
	}
	if c.system.variant == noTokenCheck {
		order.Token = 1 << 62
	}
	return c.applyVariant(c.Client.Order(ctx, address, order))
}

type gatedServices struct {
	service.Client
	gate *gate
}

func (c gatedServices) Do(ctx context.Context, address string, call service.Call) (service.Answer, error) {
	return c.Client.Do(c.gate.waitAsProcess(ctx), address, call)
}

// mesh carries calls between entry VMs.
type mesh struct {
	mu       sync.Mutex
	nodes    map[string]*entry
	isolated map[string]bool
	// partitionedPrefix is the name prefix of the VMs of the failure domain that is cut
	// off, or "" if there is none.
	partitionedPrefix string
}

func newMesh() *mesh { return &mesh{nodes: make(map[string]*entry), isolated: make(map[string]bool)} }

func (m *mesh) add(name string, e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[name] = e
}

// setIsolated cuts the VM off from all others, or reconnects it.
func (m *mesh) setIsolated(name string, isolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isolated[name] = isolated
}

// setPartition cuts the VMs of a failure domain, given by their name prefix, off from
// all others, or reconnects them. VMs of the same domain still reach each other.
func (m *mesh) setPartition(prefix string, partitioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitionedPrefix = ""
	if partitioned {
		m.partitionedPrefix = prefix
	}
}

// isEnginePartitioned reports whether the partition lies between an entry VM and an
// engine.
func (m *mesh) isEnginePartitioned(vm, address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isPartitioned(vm, "v-"+strings.TrimPrefix(address, "engine-"))
}

func (m *mesh) isPartitioned(from, to string) bool {
	return m.partitionedPrefix != "" && strings.HasPrefix(from, m.partitionedPrefix) != strings.HasPrefix(to, m.partitionedPrefix)
}

var errUnreachable = errors.New("peer unreachable")

func (m *mesh) findReachable(from, to string) (*entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.nodes[to]
	if !ok || m.isolated[from] || m.isolated[to] || m.isPartitioned(from, to) {
		return nil, errUnreachable
	}
	select {
	case <-e.done:
		return nil, errUnreachable
	default:
		return e, nil
	}
}

// peerLink carries the calls of one entry VM to the others.
type peerLink struct {
	system *system
	mesh   *mesh
	from   string
	gate   *gate
}

func (l peerLink) dial(ctx context.Context, address string) (*entry, error) {
	l.gate.waitAsProcess(ctx)
	e, err := l.mesh.findReachable(l.from, address)
	if err != nil {
		return nil, err
	}
	if err := e.gate.waitAsPeer(ctx); err != nil {
		return nil, err
	}
	return e, nil
}

func (l peerLink) Exchange(ctx context.Context, address string, digests []entryvm.Digest) ([]entryvm.Digest, error) {
	e, err := l.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return e.Exchange(digests), nil
}

func (l peerLink) Want(ctx context.Context, address string, from string, demand []entryvm.Demand) error {
	e, err := l.dial(ctx, address)
	if err == nil {
		e.Want(from, demand)
	}
	return err
}

func (l peerLink) Histories(ctx context.Context, address string, histories []entryvm.UnitHistory) error {
	e, err := l.dial(ctx, address)
	if err == nil {
		e.Histories(histories)
	}
	return err
}

func (l peerLink) Records(ctx context.Context, address string, from uint64, wait time.Duration) (entryvm.Records, error) {
	if l.system.variant == noPeers {
		return entryvm.Records{}, errUnreachable
	}
	e, err := l.dial(ctx, address)
	if err != nil {
		return entryvm.Records{}, err
	}
	records, err := e.Records(from, wait)
	if _, unreachable := l.dial(ctx, address); unreachable != nil || ctx.Err() != nil {
		return entryvm.Records{}, errUnreachable
	}
	return records, err
}

func (l peerLink) Claimed(ctx context.Context, address string, query entryvm.ClaimQuery) (entryvm.ClaimReply, error) {
	e, err := l.dial(ctx, address)
	if err != nil {
		return entryvm.ClaimReply{}, err
	}
	return e.Claimed(query), nil
}

func (l peerLink) Claim(ctx context.Context, address string, call entryvm.ClaimCall) (entryvm.ClaimResult, error) {
	e, err := l.dial(ctx, address)
	if err != nil {
		return entryvm.ClaimResult{}, err
	}
	l.system.claimCalls.Add(1)
	return e.Claim(call), nil
}

func (l peerLink) Settle(ctx context.Context, address string, call entryvm.ClaimCall) (bool, error) {
	e, err := l.dial(ctx, address)
	if err != nil {
		return false, err
	}
	return e.Settle(call), nil
}
