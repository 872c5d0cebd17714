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

// gate stands for a process that is frozen: while closed, nothing that the
// process does reaches its peers, and nothing of theirs reaches it. What was
// decided before goes out at the thaw, however late.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
	// frozen adds up the time it was closed; since is when it last closed.
	frozen time.Duration
	since  time.Time
}

func newGate() *gate { return &gate{} }

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
		g.since = time.Now()
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
		g.frozen += time.Since(g.since)
	}
}

// frozenTime is how long the process has stood still so far.
func (g *gate) frozenTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		return g.frozen + time.Since(g.since)
	}
	return g.frozen
}

// pass waits for the thaw. A frozen process does not see that its time is up:
// what it was about to send is sent.
func (g *gate) pass(ctx context.Context) context.Context {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed == nil {
		return ctx
	}
	<-closed
	return context.WithoutCancel(ctx)
}

// answer waits for the thaw as a peer sees it: for as long as its ctx allows.
func (g *gate) answer(ctx context.Context) error {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed == nil {
		return nil
	}
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type gatedLog struct {
	platformlog.Log
	gate *gate
	// reading counts the reads of the control stream that are under way.
	reading *atomic.Int32
}

func (l gatedLog) Append(ctx context.Context, stream string, data []byte) (platformlog.Offset, error) {
	return l.Log.Append(l.gate.pass(ctx), stream, data)
}

func (l gatedLog) Read(ctx context.Context, stream string, from platformlog.Offset, max int, wait time.Duration) (platformlog.Batch, error) {
	if stream == "control" {
		l.reading.Add(1)
		defer l.reading.Add(-1)
	}
	batch, err := l.Log.Read(l.gate.pass(ctx), stream, from, max, wait)
	l.gate.pass(ctx)
	return batch, err
}

type gatedEngines struct {
	engine.Client
	gate   *gate
	system *system
	// hold names orders at whose sending the process freezes.
	hold func(address string, order engine.Order) bool
	// apart tells which engines a partition has cut off.
	apart func(address string) bool
}

var errApart = fmt.Errorf("%w: partition", engine.ErrNotSent)

func (c gatedEngines) Status(ctx context.Context, address string) (engine.Status, error) {
	ctx = c.gate.pass(ctx)
	if c.apart(address) {
		return c.system.word(address, engine.Status{}, errApart)
	}
	status, err := c.heard(c.Client.Status(ctx, address))
	return c.system.word(address, status, err)
}

// heard is what a version of the system makes of an engine's word.
func (c gatedEngines) heard(status engine.Status, err error) (engine.Status, error) {
	if c.system.twin == listOnly {
		status.Draining = false
	}
	return status, err
}

func (c gatedEngines) Generate(ctx context.Context, address string, request engine.Request) (engine.Stream, error) {
	if c.apart(address) {
		return nil, errApart
	}
	c.system.sentWork(address, request.ID)
	return c.Client.Generate(ctx, address, request)
}

func (c gatedEngines) Resume(ctx context.Context, address, id string, from uint64) (engine.Stream, error) {
	if c.system.twin == noPosition {
		from++
	}
	return c.Client.Resume(ctx, address, id, from)
}

func (c gatedEngines) Order(ctx context.Context, address string, order engine.Order) (engine.Status, error) {
	if c.hold(address, order) {
		c.gate.freeze()
	}
	ctx = c.gate.pass(ctx)
	if c.apart(address) {
		return engine.Status{}, errApart
	}
	if c.system.twin == noTokens {
		order.Token = 1 << 62
	}
	return c.heard(c.Client.Order(ctx, address, order))
}

type gatedServices struct {
	service.Client
	gate *gate
}

func (c gatedServices) Do(ctx context.Context, address string, call service.Call) (service.Answer, error) {
	return c.Client.Do(c.gate.pass(ctx), address, call)
}

// mesh carries calls between entry VMs.
type mesh struct {
	mu    sync.Mutex
	nodes map[string]*entry
	cut   map[string]bool
	// parted is the prefix of the VMs of a domain that is cut off, "" for none.
	parted string
}

func newMesh() *mesh { return &mesh{nodes: make(map[string]*entry), cut: make(map[string]bool)} }

func (m *mesh) join(name string, e *entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[name] = e
}

// separate cuts the VM off from all others, or joins it again.
func (m *mesh) separate(name string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[name] = cut
}

// part cuts the VMs of a failure domain, named by their prefix, off from the
// others, or joins them again. Inside the domain they still meet.
func (m *mesh) part(prefix string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.parted = ""
	if cut {
		m.parted = prefix
	}
}

// engineApart tells whether the partition lies between an entry VM and an engine.
func (m *mesh) engineApart(vm, address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apart(vm, "v-"+strings.TrimPrefix(address, "engine-"))
}

func (m *mesh) apart(from, to string) bool {
	return m.parted != "" && strings.HasPrefix(from, m.parted) != strings.HasPrefix(to, m.parted)
}

var errCut = errors.New("no way to the peer")

func (m *mesh) reach(from, to string) (*entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.nodes[to]
	if !ok || m.cut[from] || m.cut[to] || m.apart(from, to) {
		return nil, errCut
	}
	select {
	case <-e.done:
		return nil, errCut
	default:
		return e, nil
	}
}

// link is one entry VM's way to the others.
type link struct {
	system *system
	mesh   *mesh
	from   string
	gate   *gate
}

func (l link) to(ctx context.Context, address string) (*entry, error) {
	l.gate.pass(ctx)
	e, err := l.mesh.reach(l.from, address)
	if err != nil {
		return nil, err
	}
	if err := e.gate.answer(ctx); err != nil {
		return nil, err
	}
	return e, nil
}

func (l link) Exchange(ctx context.Context, address string, digests []entryvm.Digest) ([]entryvm.Digest, error) {
	e, err := l.to(ctx, address)
	if err != nil {
		return nil, err
	}
	return e.Exchange(digests), nil
}

func (l link) Want(ctx context.Context, address string, from string, demand []entryvm.Demand) error {
	e, err := l.to(ctx, address)
	if err == nil {
		e.Want(from, demand)
	}
	return err
}

func (l link) Histories(ctx context.Context, address string, histories []entryvm.UnitHistory) error {
	e, err := l.to(ctx, address)
	if err == nil {
		e.Histories(histories)
	}
	return err
}

func (l link) Records(ctx context.Context, address string, from uint64, wait time.Duration) (entryvm.Records, error) {
	if l.system.twin == noPeers {
		return entryvm.Records{}, errCut
	}
	e, err := l.to(ctx, address)
	if err != nil {
		return entryvm.Records{}, err
	}
	records, err := e.Records(from, wait)
	if _, cut := l.to(ctx, address); cut != nil || ctx.Err() != nil {
		return entryvm.Records{}, errCut
	}
	return records, err
}

func (l link) Claimed(ctx context.Context, address string, query entryvm.ClaimQuery) (entryvm.ClaimReply, error) {
	e, err := l.to(ctx, address)
	if err != nil {
		return entryvm.ClaimReply{}, err
	}
	return e.Claimed(query), nil
}

func (l link) Claim(ctx context.Context, address string, call entryvm.ClaimCall) (entryvm.ClaimResult, error) {
	e, err := l.to(ctx, address)
	if err != nil {
		return entryvm.ClaimResult{}, err
	}
	l.system.claimCalls.Add(1)
	return e.Claim(call), nil
}

func (l link) Settle(ctx context.Context, address string, call entryvm.ClaimCall) (bool, error) {
	e, err := l.to(ctx, address)
	if err != nil {
		return false, err
	}
	return e.Settle(call), nil
}
