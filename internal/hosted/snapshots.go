package hosted

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/feed"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

const (
	// startHold is how long a VM that starts waits for a snapshot before it reads the registry itself,
	// and waitingHold how long if other VMs answer that they are waiting too. VMs that start together
	// know each other after startChangesHold; until then they don't read changes themselves.
	startHold        = 500 * time.Millisecond
	startChangesHold = time.Second
	waitingHold      = 2 * time.Second
	// maxSnapshotAgeFactor is the multiple of maxDelay up to which what another VM knows is used. A VM
	// that gets an old snapshot reads the changes since then at once.
	maxSnapshotAgeFactor = 2
	// deputyAgeFraction and askAgeFraction are the ages, as fractions of maxDelay, from which the deputy
	// reads the registry because the reader's answers are late, and from which the others ask for
	// snapshots. Only from feed.MaxAgeFraction on do they read the registry too.
	deputyAgeFraction = 0.6
	askAgeFraction    = 0.7
	// announceHoldFraction is the fraction of maxDelay that an announced configuration may take to
	// arrive from another VM before this VM reads it from the registry.
	announceHoldFraction = 0.25
	// snapshotRetryInterval is the pause after the first attempt that did not bring everything. It grows
	// with each attempt up to maxSnapshotRetryInterval.
	snapshotRetryInterval    = 50 * time.Millisecond
	maxSnapshotRetryInterval = 500 * time.Millisecond
	// askInterval is the minimum time between two rounds of questions because feeds are old.
	askInterval = 200 * time.Millisecond
	// snapshotTimeout bounds a transfer. It is long because a transfer that is abandoned would begin
	// again at its first byte; one that stalls ends sooner.
	snapshotTimeout = 10 * time.Second
	// snapshotFanOut is how many VMs get snapshots from one VM of their failure domain.
	snapshotFanOut = 16
	// maxSnapshotBytes bounds a decompressed snapshot.
	maxSnapshotBytes = 64 << 20
)

var (
	snapshotsReceived = metrics.NewCounter("bergamotreel_snapshots_received_total")
	snapshotsFailed   = metrics.NewCounter("bergamotreel_snapshots_failed_total")
	snapshotsSent     = metrics.NewCounter("bergamotreel_snapshots_sent_total")
	snapshotBytesSent = metrics.NewCounter("bergamotreel_snapshot_bytes_sent_total")
)

var (
	errSnapshotTooLarge = errors.New("snapshot too large")
	errNoPosition       = errors.New("the sender is of an older version")
	errSnapshotTooOld   = errors.New("its sender has not known the registry's changes for too long")
)

// snapshots hands the configuration and the list of backend servers on from VM to VM, so that the
// registry sends them once for each failure domain instead of once for each VM: all VMs share the rate
// of its answers. The VMs of a domain form a tree with the domain's reader at its root. A VM that gets
// nothing in time reads the registry itself. It is safe for concurrent use.
type snapshots struct {
	node *Node
	// signal makes run look for what this VM lacks.
	signal chan struct{}

	mu sync.Mutex
	// announced is the newest version of the configuration that the domain's reader named.
	announced uint64
	// askedAt is when this VM last asked for a snapshot because its feeds were old.
	askedAt                 time.Duration
	configuration, backends encodedSnapshot
}

func newSnapshots(n *Node) *snapshots {
	return &snapshots{node: n, signal: make(chan struct{}, 1)}
}

// run gets what this VM lacks from other VMs until ctx ends.
func (s *snapshots) run(ctx context.Context) {
	for {
		select {
		case <-s.signal:
			s.fetch(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// request has run get the topics that this VM has to read as a whole, and holds back its own reads of
// them meanwhile.
func (s *snapshots) request() {
	n := s.node
	if len(n.members.snapshotSources(time.Now()).addresses) == 0 {
		return
	}
	until := n.config.BootClock() + startHold
	for _, f := range []*feed.State{&n.configurationFeed, &n.backendsFeed} {
		if _, known := f.Position(); !known {
			f.Hold(until)
		}
	}
	wake(s.signal)
}

// announce has run get a version of the configuration that the domain's reader has. This VM reads the
// registry if it has no such version in time.
func (s *snapshots) announce(version uint64) {
	s.mu.Lock()
	isNew := version > s.announced
	s.announced = max(s.announced, version)
	s.mu.Unlock()
	if !isNew {
		return
	}
	n := s.node
	f := &n.configurationFeed
	hold := feed.Fraction(announceHoldFraction, f.MaxDelay)
	f.Hold(n.config.BootClock() + hold)
	time.AfterFunc(hold, func() {
		if n.configurationVersion() < version {
			f.Expire()
		}
	})
	wake(s.signal)
}

// askIfOld has run ask other VMs for what a feed lacks before this VM has to read it itself.
func (s *snapshots) askIfOld(f *feed.State) {
	now := s.node.config.BootClock()
	if f.Age(now) <= feed.Fraction(askAgeFraction, f.MaxDelay) {
		return
	}
	s.mu.Lock()
	due := now-s.askedAt >= askInterval
	if due {
		s.askedAt = now
	}
	s.mu.Unlock()
	if due {
		wake(s.signal)
	}
}

// lacks returns what this VM should get from others now.
func (s *snapshots) lacks() (configuration, backends bool) {
	n := s.node
	s.mu.Lock()
	announced := s.announced
	s.mu.Unlock()
	isLacking := func(f *feed.State) bool {
		now := n.config.BootClock()
		_, known := f.Position()
		return (!known && f.IsHeld(now)) || (known && f.Age(now) > feed.Fraction(askAgeFraction, f.MaxDelay))
	}
	return isLacking(&n.configurationFeed) || n.configurationVersion() < announced, isLacking(&n.backendsFeed)
}

// fetch asks other VMs in turn for what this VM lacks, until it has everything or each of them was asked
// in vain. A VM that starts goes on asking until it has to read the registry.
func (s *snapshots) fetch(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		configuration, backends := s.lacks()
		sources := s.node.members.snapshotSources(time.Now())
		count := len(sources.addresses)
		isHeld := s.node.configurationFeed.IsHeld(s.node.config.BootClock()) || s.node.backendsFeed.IsHeld(s.node.config.BootClock())
		if (!configuration && !backends) || count == 0 || (attempt >= count && !isHeld) {
			return
		}
		if err := s.fetchFrom(ctx, sources.addresses[attempt%count], configuration, backends); err != nil {
			snapshotsFailed.Inc()
		}
		if !sources.isTree {
			s.holdChanges()
		}
		if configuration, backends = s.lacks(); configuration || backends {
			pause.For(ctx, min(time.Duration(attempt+1)*snapshotRetryInterval, maxSnapshotRetryInterval))
		}
	}
}

// fetchFrom gets from the VM at address what it has of the topics that this VM lacks.
func (s *snapshots) fetchFrom(ctx context.Context, address string, configuration, backends bool) error {
	n := s.node
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	sentAt := n.config.BootClock()
	cursor, _ := n.backendsFeed.Position()
	reply, err := n.config.Peers.EntryVMs.Knowledge(ctx, address, entryvm.KnowledgeArgs{
		ForFeed: true, Configuration: n.configurationVersion(), WithoutBackends: !backends, BackendsCursor: uint64(cursor),
	})
	if err != nil {
		return err
	}
	if len(reply.Configuration) > 0 && reply.ConfigurationPosition == nil {
		return errNoPosition
	}
	if configuration && reply.ConfigurationPosition != nil {
		err = s.adoptConfiguration(address, sentAt, &reply)
	}
	if backends && reply.BackendsPosition != nil {
		err = errors.Join(err, s.adoptBackends(sentAt, &reply))
	}
	if reply.ConfigurationPosition == nil || (backends && reply.BackendsPosition == nil) {
		s.extendHold()
	}
	if err != nil {
		n.config.Logger.Warn("snapshot from a peer not used", zap.String("peer", address), telemetry.Reason(err))
	}
	return err
}

// extendHold lets this VM wait longer after its start, as the VM that it asked is waiting too.
func (s *snapshots) extendHold() {
	n := s.node
	until := n.startedAt + waitingHold
	for _, f := range []*feed.State{&n.configurationFeed, &n.backendsFeed} {
		if _, known := f.Position(); !known && f.IsHeld(n.config.BootClock()) {
			f.Hold(max(until, n.config.BootClock()))
		}
	}
}

// holdChanges keeps a VM that has just started, and got a snapshot from a seed, from reading changes
// until it knows which VM of its domain does.
func (s *snapshots) holdChanges() {
	n := s.node
	for _, f := range []*feed.State{&n.configurationFeed, &n.backendsFeed} {
		if _, known := f.Position(); known {
			now := n.config.BootClock()
			f.Hold(min(n.startedAt+startChangesHold, now-f.Age(now)+feed.Fraction(feed.MaxAgeFraction, f.MaxDelay)))
		}
	}
}

// backOff keeps this VM from reading a topic itself for a while after a failed read, if other VMs of its
// domain read it.
func (s *snapshots) backOff(f *feed.State) {
	n := s.node
	if sources := n.members.snapshotSources(time.Now()); !sources.isTree || sources.isDeputy {
		return
	}
	failures, pause := f.RecordFailure()
	f.Hold(n.config.BootClock() + pause/2 + n.jitter(failures, pause))
}

// checkAge fails if the sender of a snapshot has not known all changes of the topic for too long.
func checkAge(f *feed.State, position *entryvm.FeedPosition) error {
	if position.Age > maxSnapshotAgeFactor*f.MaxDelay {
		return errSnapshotTooOld
	}
	return nil
}

// adoptConfiguration puts a configuration from another VM in force.
func (s *snapshots) adoptConfiguration(address string, sentAt time.Duration, reply *entryvm.KnowledgeReply) error {
	n, position := s.node, reply.ConfigurationPosition
	f := &n.configurationFeed
	if err := checkAge(f, position); err != nil {
		return err
	}
	if len(reply.Configuration) > 0 {
		source, err := decompress(reply.Configuration)
		if err != nil {
			return err
		}
		configuration, err := n.config.Peers.Registry.Parse(source)
		if err != nil {
			return err
		}
		n.applyConfiguration(configuration, "peer "+address)
		snapshotsReceived.Inc()
	}
	if n.configurationVersion() < position.Version {
		return nil // the version can't be used here
	}
	f.Advance(registry.Cursor(position.Cursor), sentAt-position.Age, func() {})
	return nil
}

// adoptBackends uses a list of backend servers from another VM.
func (s *snapshots) adoptBackends(sentAt time.Duration, reply *entryvm.KnowledgeReply) error {
	n, position := s.node, reply.BackendsPosition
	f := &n.backendsFeed
	if err := checkAge(f, position); err != nil {
		return err
	}
	cursor := registry.Cursor(position.Cursor)
	known, ok := f.Position()
	switch {
	case ok && known == cursor:
		f.Confirm(sentAt - position.Age)
		return nil
	case ok && known > cursor, len(reply.Backends) == 0:
		return nil // this VM knows more than the sender
	}
	encoded, err := decompress(reply.Backends)
	if err != nil {
		return err
	}
	var list []registry.Backend
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&list); err != nil {
		return err
	}
	n.prepareWholeList(registry.Backends{List: list, Next: cursor})
	if f.Advance(cursor, sentAt-position.Age, func() { n.backends.replace(time.Now(), list) }) {
		snapshotsReceived.Inc()
		n.handleBackendChanges()
	}
	return nil
}
