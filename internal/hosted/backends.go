package hosted

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/registry"
)

const (
	// returnTime is how long after the registry's return an entry that lapsed
	// meanwhile may take to be back: its backend server lives, and could not renew.
	returnTime = 2200 * time.Millisecond
	// newsFor is how long a keeper's word on an engine goes before the registry's:
	// twice the time in which a keeper repeats it. One that is gone says nothing more.
	newsFor = 6 * time.Second
)

// backendTable is what this VM knows of the backend servers: the registry's list,
// with the newer word of the engines' keepers. It is safe for concurrent use.
type backendTable struct {
	logger *zap.Logger

	mu      sync.Mutex
	entries map[string]*backend
	// byService are the entries by service, sorted; nil where it has to be made anew.
	byService map[string][]*backend
	listed    bool
	// anyDown is false where none is taken for dead, and lackingUntil when the last unit
	// that was turned away may be asked for again: each report asks for both.
	anyDown      bool
	lackingUntil time.Time
	// ended is for takeEnded.
	ended map[string]bool
	// former are the starts of those dropped lately: one that is listed again may be
	// another start, to which orders of before are still on their way.
	former map[string]formerStart
	// leavingChangedAt is when the last one was found to leave by what it said.
	leavingChangedAt time.Time
	// returnedAt is when the registry answered again after an outage, olderUntil until when
	// its entries may be older than what is known here.
	returnedAt time.Time
	olderUntil time.Time
}

// backend is a backend server with what is known of its newest start.
type backend struct {
	registry.Backend
	// removeAt is when it is dropped unless it is back, zero while it is listed.
	removeAt time.Time
	news     entryvm.EngineNews
	newsFrom string
	newsAt   time.Time
	// newsSum is its part of the sum over its keeper's news.
	newsSum uint64
	// loadedAt is when the model that is being loaded should be there, by the news.
	loadedAt time.Time
	lacking  map[string]time.Time
	// saidLeaving is whether an answer of this start said that it leaves. The entry may be
	// older, or not be accepted for long.
	saidLeaving bool
	// downFor is set while it is taken for dead, as it accepted no connection;
	// probeAt is when it is tried again, and downFor how long that was put off.
	probeAt time.Time
	downFor time.Duration
	// models are those that take requests, with their adapters, and since when.
	models map[string]heldModel
	// start is the newest one known, 0 where it tells none; restartedAt is when that was
	// found to have changed, zero if it never was.
	start       int64
	restartedAt time.Time
}

// heldModel is a model that takes requests on an engine.
type heldModel struct {
	since    time.Time
	adapters map[string]bool
}

func newBackendTable(logger *zap.Logger) *backendTable {
	return &backendTable{logger: logger, entries: make(map[string]*backend), ended: make(map[string]bool), former: make(map[string]formerStart)}
}

// replace takes a whole list.
func (t *backendTable) replace(now time.Time, list []registry.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = true
	there := make(map[string]bool, len(list))
	for _, b := range list {
		there[b.ID] = true
		t.put(now, b)
	}
	for id := range t.entries {
		if !there[id] {
			t.remove(now, id)
		}
	}
}

// change takes changes in order.
func (t *backendTable) change(now time.Time, changes []registry.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		switch {
		case c.Unreadable:
			t.discard(now, c.ID)
		case c.Backend == nil:
			t.remove(now, c.ID)
		default:
			t.put(now, *c.Backend)
		}
	}
}

func (t *backendTable) put(now time.Time, b registry.Backend) {
	known := t.entries[b.ID]
	if now.Before(t.olderUntil) {
		if known == nil && t.leftBefore(b) {
			return
		}
		if known != nil && known.Leaving && known.Started == b.Started {
			b.Leaving, b.LeavesIn = true, known.LeavesIn
		}
	}
	if known == nil {
		former := t.former[b.ID]
		known = &backend{lacking: make(map[string]time.Time), start: former.start, restartedAt: former.restartedAt, Backend: b}
		known.saidLeaving = former.saidLeaving && b.Started != 0
		t.entries[b.ID] = known
		t.byService = nil
		t.started(now, known, b.Started)
		t.logger.Info("backend server listed", zap.String("backend", b.ID), zap.String("service", b.Service),
			zap.String("address", b.Address), zap.String("domain", b.Domain), zap.Bool("leaving", b.Leaving))
	} else if known.Leaving != b.Leaving {
		t.logger.Info("backend server leaving", zap.String("backend", b.ID), zap.Bool("leaving", b.Leaving),
			zap.Duration("leaves_in", b.LeavesIn))
	}
	if known.Service != b.Service {
		t.byService = nil
	}
	another := known.Started != b.Started
	known.Backend = b
	known.removeAt = time.Time{}
	if another {
		t.started(now, known, b.Started)
	}
	known.merge(now)
}

// remove drops an entry. Failure: the registry was away, entries of living backend
// servers lapsed meanwhile, and every VM would take the whole fleet for gone. So
// soon after an outage an entry stays until its server had time to be back.
func (t *backendTable) remove(now time.Time, id string) {
	known := t.entries[id]
	if known == nil || !known.removeAt.IsZero() {
		return
	}
	until := t.returnedAt.Add(returnTime)
	if t.returnedAt.IsZero() || !now.Before(until) {
		t.drop(now, id)
		t.logger.Info("backend server gone", zap.String("backend", id), zap.String("service", known.Service))
		return
	}
	known.removeAt = until
	t.logger.Info("backend server doubtful", zap.String("backend", id), zap.Duration("gone_in", until.Sub(now)))
}

// drop forgets an entry. Call with mu held.
func (t *backendTable) drop(now time.Time, id string) {
	before := t.entries[id]
	t.former[id] = formerStart{start: before.start, saidLeaving: before.saidLeaving, restartedAt: before.restartedAt, droppedAt: now}
	delete(t.entries, id)
	t.byService = nil
	t.ended[id] = true
}

// returned notes the end of an outage of the registry.
func (t *backendTable) returned(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returnedAt = now
}

// restored notes that the registry came back from an older copy: entries that are missing
// are not removed until their writers had time to write them again, and starts that were
// seen to leave do not come back.
func (t *backendTable) restored(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.returnedAt, t.olderUntil = now, now.Add(returnTime)
}

// leftBefore tells whether an entry is of a start that was dropped lately. Call with mu
// held.
func (t *backendTable) leftBefore(b registry.Backend) bool {
	former, known := t.former[b.ID]
	return known && former.start == b.Started
}

// sweep drops what was not back in time.
func (t *backendTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.former, func(_ string, f formerStart) bool { return now.Sub(f.droppedAt) > maxOrderDelay })
	for id, b := range t.entries {
		if !b.removeAt.IsZero() && !now.Before(b.removeAt) {
			t.drop(now, id)
			t.logger.Info("backend server gone", zap.String("backend", id), zap.String("service", b.Service))
		}
		if b.newsAt.IsZero() || now.Sub(b.newsAt) <= newsFor {
			continue
		}
		b.newsAt = time.Time{}
		b.news = entryvm.EngineNews{}
		b.merge(now)
	}
}

// applyNews applies a keeper's news of an engine; it returns whether anything changed, and whether
// the engine goes by that word now. keeper names the process that speaks.
func (t *backendTable) applyNews(now time.Time, keeper string, news entryvm.EngineNews) (changed, holds bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[news.ID]
	if known == nil {
		return false, false
	}
	if known.newsFrom == keeper && known.news.Version >= news.Version {
		holds = known.news.Version == news.Version && !known.newsAt.IsZero()
		if holds {
			known.newsAt = now
		}
		return false, holds
	}
	if news.Started != 0 && news.Started < known.Started {
		return false, false // of a start that has ended, by the entry
	}
	if known.newsFrom != keeper && !known.newsAt.IsZero() && known.news.Started == news.Started && known.news.Orders > news.Orders {
		return false, false // a former keeper's
	}
	known.news, known.newsFrom, known.newsAt = news, keeper, now
	known.newsSum = newsSum(news.ID, news.Version)
	known.loadedAt = now.Add(news.LoadingFor)
	t.started(now, known, news.Started)
	known.merge(now)
	return true, true
}

// renewNews notes that all that some keepers last said still holds. It returns those
// of whose news another part is known here.
func (t *backendTable) renewNews(now time.Time, renewals []entryvm.NewsRenewal) (lacking []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]uint64, len(renewals))
	for _, b := range t.entries {
		if !b.newsAt.IsZero() {
			sums[b.newsFrom] += b.newsSum
		}
	}
	at := make(map[string]time.Time, len(renewals))
	for _, r := range renewals {
		if sums[r.Keeper] == r.Sum {
			at[r.Keeper] = now.Add(-r.Age)
		} else {
			lacking = append(lacking, r.Keeper)
		}
	}
	for _, b := range t.entries {
		if renewed := at[b.newsFrom]; !b.newsAt.IsZero() && b.newsAt.Before(renewed) {
			b.newsAt = renewed
		}
	}
	return lacking
}

// merge works out what takes requests on the engine. Its keeper gave the orders and
// knows at once what the registry's entry says seconds later: which models are about
// to go, which have come, and the adapters, for which the entry doesn't change.
func (b *backend) merge(now time.Time) {
	models := make(map[string]heldModel)
	add := func(model string, adapters []string) {
		held := heldModel{since: now, adapters: make(map[string]bool, len(adapters))}
		if before, ok := b.models[model]; ok {
			held.since = before.since
		}
		for _, adapter := range adapters {
			held.adapters[adapter] = true
		}
		models[model] = held
	}
	if !b.newsAt.IsZero() {
		for _, m := range b.news.Models {
			add(m.Model, m.Adapters)
		}
	} else {
		for _, m := range b.Models {
			add(m.Model, m.Adapters)
		}
	}
	b.models = models
}

// swapping tells whether a keeper is changing what the engine holds.
func (b *backend) swapping() bool { return !b.newsAt.IsZero() && b.news.Swapping }

// reservedBytes is the room on the engine that late orders to an earlier start may take.
func (b *backend) reservedBytes() int64 {
	if b.newsAt.IsZero() {
		return 0
	}
	return b.news.ReservedBytes
}

// loaded notes an adapter that this VM had loaded, before its keeper's news comes.
func (t *backendTable) loaded(id, model, adapter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil {
		return
	}
	if held, ok := b.models[model]; ok {
		held.adapters[adapter] = true
	}
	clear(b.lacking)
}

// get returns a copy of an entry.
func (t *backendTable) get(id string) (backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil {
		return backend{}, false
	}
	return *b, true
}

// holds tells whether a backend server that takes requests holds the model.
func (t *backendTable) holds(service, model string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.of(service) {
		if _, ok := b.models[model]; ok && !b.leaves() && b.downFor == 0 {
			return true
		}
	}
	return false
}

// each calls f with every entry of the service; f must not keep it.
func (t *backendTable) each(service string, f func(*backend)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.of(service) {
		f(b)
	}
}

// of returns the entries of the service. Call with mu held.
func (t *backendTable) of(service string) []*backend {
	if t.byService == nil {
		t.index()
	}
	return t.byService[service]
}

// index sorts the entries: each request goes through those of its service.
func (t *backendTable) index() {
	t.byService = make(map[string][]*backend)
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		b := t.entries[id]
		t.byService[b.Service] = append(t.byService[b.Service], b)
	}
}

// known tells whether a list was read.
func (t *backendTable) known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed
}

// list returns what the registry says of all backend servers.
func (t *backendTable) list() []registry.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []registry.Backend
	for _, b := range t.entries {
		entry := b.Backend
		entry.Leaving = b.leaves()
		out = append(out, entry)
	}
	return out
}
