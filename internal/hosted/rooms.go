package hosted

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/permit"
	"bergamotreel/entryvm"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/telemetry"
	"bergamotreel/routing"
)

const (
	// permitsPerRoomRequest is how many permits for room are requested at a time.
	permitsPerRoomRequest = 1
	// abandonedTTL is how long a request whose answer was not received to its end counts as in
	// flight: the backend server may work on it.
	abandonedTTL = time.Second
	// releaseDelay is how long after the end of a request the issuer learns of it. Requests that end meanwhile are
	// reported together.
	releaseDelay = 10 * time.Millisecond
	// maxRoomRequests is for how many backend servers room is requested at the same time. An
	// unused permit leaves a slot empty.
	maxRoomRequests = 2
)

// backendRooms divides the slots of fragile backend servers, which crash if they reject many
// requests, among the entry VMs. It is safe for concurrent use.
type backendRooms struct {
	node *Node

	mu sync.Mutex
	// byBackend holds the backend servers that are fragile or recently were.
	byBackend map[string]*backendRoom
	// changedAt is when any of them last changed.
	changedAt time.Time
	// rooms holds the rooms that this VM divides.
	rooms map[string]*permit.Room
	// version counts the observations made by this VM.
	version uint64
}

// backendRoom is the state of a backend server's room on this VM.
type backendRoom struct {
	entryvm.FragileBackend
	service      string
	receivedAt   time.Time
	seenVersions seenVersions
	permits      permit.Holder
	// ownInFlight is how many requests this VM had in flight there when it last reported.
	ownInFlight int
	// reportRejection is whether the backend server has rejected a request that the issuer
	// doesn't know of yet.
	reportRejection bool
	// abandoned holds the times at which requests were abandoned.
	abandoned []time.Time
	// isReleasing is whether the issuer will be told that requests have ended.
	isReleasing bool
}

var fragileBackendsTotal = metrics.NewCounter("bergamotreel_fragile_backends_total")

func newBackendRooms(n *Node) *backendRooms {
	return &backendRooms{node: n, byBackend: make(map[string]*backendRoom), rooms: make(map[string]*permit.Room)}
}

// RecordMaxRejections implements serving.ForwardDirectory.
func (n *Node) RecordMaxRejections(backend string, maxRejections int, rejected bool) {
	r, now := n.rooms, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.byBackend[backend]
	if (b == nil && maxRejections > 0) || (b != nil && b.MaxRejections != maxRejections) {
		r.version++
		r.observe(entryvm.FragileBackend{Backend: backend, MaxRejections: maxRejections, Origin: n.origin(), Version: r.version}, now, n.config.VM)
		b = r.byBackend[backend]
	}
	if rejected && b != nil && b.MaxRejections > 0 {
		b.reportRejection = true
		go r.requestRoom(backend, 0)
	}
}

// RecordAbandoned implements serving.ForwardDirectory.
func (n *Node) RecordAbandoned(backend string) {
	n.rooms.mu.Lock()
	defer n.rooms.mu.Unlock()
	if b := n.rooms.byBackend[backend]; b != nil && b.MaxRejections > 0 {
		b.abandoned = append(b.abandoned, time.Now())
	}
}

// RecordRunEnd implements serving.ForwardDirectory. Without it, the issuer would count a request until this VM next asks
// for room.
func (n *Node) RecordRunEnd(backend string) {
	n.rooms.mu.Lock()
	defer n.rooms.mu.Unlock()
	b := n.rooms.byBackend[backend]
	if b == nil || b.MaxRejections == 0 || b.isReleasing {
		return
	}
	b.isReleasing = true
	time.AfterFunc(releaseDelay, func() { n.rooms.requestRoom(backend, 0) })
}

// observe applies an observation if it is the newest. Call with mu held.
func (r *backendRooms) observe(f entryvm.FragileBackend, receivedAt time.Time, from string) {
	b := r.byBackend[f.Backend]
	if b == nil {
		listed, ok := r.node.backends.get(f.Backend)
		if !ok {
			return // forget would never be called for it
		}
		b = &backendRoom{service: listed.Service, seenVersions: make(seenVersions), permits: permit.Holder{TTL: permit.RoomPermitTTL}}
		r.byBackend[f.Backend] = b
	}
	if !b.seenVersions.record(f.Origin, f.Version) || !receivedAt.After(b.receivedAt) {
		return
	}
	before := b.MaxRejections
	b.FragileBackend, b.receivedAt = f, receivedAt
	if before == f.MaxRejections {
		return
	}
	r.changedAt = time.Now()
	r.node.config.Logger.Info("backend server's rejections bounded", zap.String("backend", f.Backend),
		zap.Int("per_second", f.MaxRejections), zap.String("from", from))
	if f.MaxRejections == 0 {
		delete(r.rooms, f.Backend)
		return
	}
	fragileBackendsTotal.Inc()
}

// addPermits marks the candidates on which requests need a permit and sets the number of
// permits that this VM holds for each. If it holds none for any of them, it requests some for
// those that seem to have the most room.
func (r *backendRooms) addPermits(now time.Time, candidates []routing.Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byBackend) == 0 {
		return
	}
	total := 0
	var withoutPermit []*routing.Candidate
	for i := range candidates {
		c := &candidates[i]
		b := r.byBackend[c.Engine]
		if b == nil {
			b = r.addNewBackend(now, c.Engine)
		}
		if b == nil || b.MaxRejections == 0 {
			continue
		}
		available := b.permits.Available(now)
		if c.PermitRequired { // for the rate limit too
			available = min(available, c.Permits)
		}
		c.PermitRequired, c.Permits = true, available
		total += available
		if available == 0 && c.Ready && !c.Leaving {
			withoutPermit = append(withoutPermit, c)
		}
	}
	if total == 0 {
		r.requestForFreest(now, withoutPermit)
	}
}

// requestForFreest requests permits for the candidates with the fewest requests in flight. Call
// with mu held.
func (r *backendRooms) requestForFreest(now time.Time, candidates []*routing.Candidate) {
	slices.SortStableFunc(candidates, func(a, b *routing.Candidate) int {
		return cmp.Compare(b.Slots-b.PeersInFlight-r.byBackend[b.Engine].ownInFlight, a.Slots-a.PeersInFlight-r.byBackend[a.Engine].ownInFlight)
	})
	requested := 0
	for _, c := range candidates {
		if requested == maxRoomRequests {
			return
		}
		if r.byBackend[c.Engine].permits.StartRequest(now) {
			requested++
			go r.requestRoom(c.Engine, permitsPerRoomRequest)
		}
	}
}

// addNewBackend adds a backend server that has not answered yet if others of its service are
// fragile: one that has just started has room for everybody's requests. It returns nil if
// they aren't. Call with mu held.
func (r *backendRooms) addNewBackend(now time.Time, backend string) *backendRoom {
	listed, ok := r.node.backends.get(backend)
	if !ok {
		return nil
	}
	for _, b := range r.byBackend {
		if b.service == listed.Service && b.MaxRejections > 0 {
			r.version++
			r.observe(entryvm.FragileBackend{Backend: backend, MaxRejections: b.MaxRejections, Origin: r.node.origin(), Version: r.version}, now, "another of its service")
			return r.byBackend[backend]
		}
	}
	return nil
}

// recordRunning records how many requests this VM has in flight on each backend server.
func (r *backendRooms) recordRunning(running []serving.RunningCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byBackend) == 0 {
		return
	}
	for _, b := range r.byBackend {
		b.ownInFlight = 0
	}
	for _, run := range running {
		if b := r.byBackend[run.Backend]; b != nil {
			b.ownInFlight += run.Count
		}
	}
}

// tryUse uses a permit for a fragile backend server. It returns false if there is none.
func (r *backendRooms) tryUse(now time.Time, backend string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.byBackend[backend]
	return b == nil || b.MaxRejections == 0 || b.permits.TryUse(now)
}

// requestRoom requests want permits, which may be 0, from the issuer and reports to it what
// this VM holds.
func (r *backendRooms) requestRoom(backend string, want int) {
	args, issuer, ok := r.buildRequest(time.Now(), backend, want)
	if !ok {
		return
	}
	reply, err := callIssuer(r.node, issuer, args, r.node.Room, r.node.config.Peers.EntryVMs.Room)
	if err != nil {
		r.node.config.Logger.Info("issuer of room does not answer", zap.String("backend", backend), zap.String("issuer", issuer), telemetry.Reason(err))
	}
	if want == 0 {
		return
	}
	r.mu.Lock()
	if b := r.byBackend[backend]; b != nil {
		if err != nil {
			b.permits.FailRequest(time.Now(), permitBackoff)
		} else {
			b.permits.CompleteRequest(time.Now(), reply.Granted, reply.Retry)
		}
	}
	r.mu.Unlock()
	if reply.Granted > 0 {
		r.node.serving.Wake()
	}
}

// buildRequest returns the message to the issuer and the issuer's address.
func (r *backendRooms) buildRequest(now time.Time, backend string, want int) (args entryvm.RoomArgs, issuer string, ok bool) {
	issuer = r.node.issuers.get(now, backend)
	r.node.serving.WithLockedState(func(_ *admission.Controller, router *routing.Router) {
		inFlight := router.InFlightOn(backend)
		r.mu.Lock()
		defer r.mu.Unlock()
		b := r.byBackend[backend]
		if b == nil {
			return
		}
		b.abandoned = slices.DeleteFunc(b.abandoned, func(at time.Time) bool { return now.Sub(at) > abandonedTTL })
		args = entryvm.RoomArgs{Fragile: b.toMessage(now), VM: r.node.config.VM, Requested: want,
			Held: b.permits.Available(now) + inFlight + len(b.abandoned), Rejected: b.reportRejection}
		b.reportRejection, b.isReleasing = false, false
		ok = true
	})
	return args, issuer, ok
}

func (b *backendRoom) toMessage(now time.Time) entryvm.FragileBackend {
	message := b.FragileBackend
	message.Age = max(0, now.Sub(b.receivedAt))
	return message
}

// Room implements entryvm.Coordinator: it grants permits for room on a fragile backend server.
func (n *Node) Room(args entryvm.RoomArgs) entryvm.RoomReply {
	r, now, id := n.rooms, time.Now(), args.Fragile.Backend
	b, listed := n.backends.get(id)
	if !listed {
		return entryvm.RoomReply{Retry: permitBackoff}
	}
	inFlight := n.members.inFlight(now, id)
	n.serving.WithLockedState(func(_ *admission.Controller, router *routing.Router) { inFlight += router.InFlightOn(id) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.merge(now, "", args.Fragile)
	room := r.rooms[id]
	if room == nil {
		room = &permit.Room{}
		r.rooms[id] = room
	}
	if args.Rejected {
		room.RecordRejection(now)
	}
	granted, retry := room.Issue(now, permit.RoomRequest{VM: args.VM, Held: args.Held, Want: args.Requested, Slots: b.countSlots(), InFlight: inFlight})
	return entryvm.RoomReply{Granted: granted, Retry: retry}
}

// publish adds the fragile backend servers to a report, and those that recently were.
func (r *backendRooms) publish(now time.Time, report *entryvm.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byBackend) == 0 || !isSignalReportDue(now, r.changedAt, report) {
		return
	}
	for id, b := range r.byBackend {
		if b.MaxRejections == 0 && now.Sub(b.receivedAt) > liftedLimitTTL {
			delete(r.byBackend, id)
			continue
		}
		report.Fragile = append(report.Fragile, b.toMessage(now))
	}
}

// mergeReport merges what another VM's report says of fragile backend servers.
func (r *backendRooms) mergeReport(now time.Time, from string, list []entryvm.FragileBackend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range list {
		r.merge(now, from, f)
	}
}

// merge merges one of them. One that is no longer fragile matters only if it is known here.
// Call with mu held.
func (r *backendRooms) merge(now time.Time, from string, f entryvm.FragileBackend) {
	if f.MaxRejections > 0 || r.byBackend[f.Backend] != nil {
		r.observe(f, now.Add(-f.Age), from)
	}
}

// forget drops the state of a backend server that is gone or has restarted.
func (r *backendRooms) forget(backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byBackend, backend)
	delete(r.rooms, backend)
}
