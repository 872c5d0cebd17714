package hosted

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/judge"
	"bergamotreel/service"
)

const (
	// streamEvents is the number of events of a stream, eventInterval the time between two.
	streamEvents  = 5
	eventInterval = 80 * time.Millisecond
	// maxStreamAttempts is how often a caller sends a request for one stream.
	maxStreamAttempts = 3
	// streamDayDivisor is how many times fewer days of streams are played.
	streamDayDivisor = 4
)

// streamBody is the event stream of an engine, from the event after the last one that the caller has.
// If the engine ends, the stream is cut off in the event that is due: with an error or, without a
// frame, with the end of its connection.
type streamBody struct {
	cluster *engineCluster
	engine  *servingEngine
	// numbers are those of the events that are due, breaksAt is the one within which it breaks off, 0 for none.
	numbers   []int
	breaksAt  int
	remaining string
	cutOff    bool
}

// streamAnswer returns an engine's answer that is an event stream.
func (b *engineCluster) streamAnswer(e *servingEngine, f *service.ForwardRequest) *service.ForwardResponse {
	after := f.ResumeAfter
	if after == "" {
		after = f.Header.Get("Last-Event-Id")
	}
	last, _ := strconv.Atoi(after)
	length := service.LengthChunked
	if e.unframed {
		length = service.LengthUntilClose
	}
	body := &streamBody{cluster: b, engine: e, numbers: b.eventsToSend(e, last)}
	if b.breaksOff(e, f.RequestID, last) {
		body.breaksAt = breaksAt
	}
	return &service.ForwardResponse{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: length, Body: body}
}

func (s *streamBody) Read(p []byte) (int, error) {
	s.cluster.waitForPause(s.engine)
	if s.remaining == "" {
		switch {
		case s.cutOff && !s.engine.unframed:
			return 0, io.ErrUnexpectedEOF
		case s.cutOff || len(s.numbers) == 0:
			return 0, io.EOF
		}
		s.remaining = fmt.Sprintf("id: %d\ndata: %s\n\n", s.numbers[0], s.engine.version)
		s.cutOff = s.numbers[0] == s.breaksAt
		select {
		case <-s.engine.ended:
			s.cutOff = true
		case <-time.After(eventInterval):
		}
		if s.cutOff {
			s.remaining = s.remaining[:len(s.remaining)-4]
		}
		s.numbers = s.numbers[1:]
	}
	n := copy(p, s.remaining)
	s.remaining = s.remaining[n:]
	return n, nil
}

func (s *streamBody) Close() error {
	s.cluster.leaveRoom(s.engine)
	return nil
}

// streamRecorder is a caller's side of one answer.
type streamRecorder struct {
	status int
	length int64
	body   strings.Builder
}

func (r *streamRecorder) WriteHead(status int, _ http.Header, length int64) {
	r.status, r.length = status, length
}
func (r *streamRecorder) HasBegun() bool      { return r.status != 0 }
func (r *streamRecorder) HasCallerLeft() bool { return false }
func (r *streamRecorder) Write(piece []byte) error {
	r.body.Write(piece)
	return nil
}

// receivedStream is what a caller has of a stream over its attempts.
type receivedStream struct {
	lastEvent int
	// events are the numbers of all events in the order in which they came.
	events   []int
	versions map[string]bool
}

// add adds the whole events of an answer.
func (s *receivedStream) add(body string) {
	for event := range strings.SplitAfterSeq(body, "\n\n") {
		if !strings.HasSuffix(event, "\n\n") {
			continue
		}
		_, _ = fmt.Sscanf(event, "id: %d", &s.lastEvent)
		s.events = append(s.events, s.lastEvent)
		_, version, _ := strings.Cut(strings.TrimSpace(event), "data: ")
		s.versions[version] = true
	}
}

// sendStream sends a request for a stream, and takes the stream up at another VM while it is broken off.
func (d *day) sendStream(vm, id string) {
	outcome := judge.Outcome{Request: id, VM: vm, Service: testService, Sent: time.Now()}
	stream := &receivedStream{versions: make(map[string]bool)}
	for attempt := range maxStreamAttempts {
		ended, framed := d.sendStreamAttempt(vm, id, attempt, stream)
		outcome.Answered = ended && stream.lastEvent == streamEvents
		outcome.CutOff = ended && framed && stream.lastEvent < streamEvents
		if ended {
			break
		}
		d.statsMu.Lock()
		vm = d.vms[d.engineRandom.Intn(len(d.vms))]
		d.statsMu.Unlock()
	}
	outcome.Events = stream.events
	for version := range stream.versions {
		outcome.Versions = append(outcome.Versions, version)
	}
	d.statsMu.Lock()
	defer d.statsMu.Unlock()
	d.history.Outcomes = append(d.history.Outcomes, outcome)
}

// sendStreamAttempt sends one request for a stream. It reports whether the answer ended in good
// order, and whether its end was marked.
func (d *day) sendStreamAttempt(vm, firstID string, attempt int, stream *receivedStream) (ended, framed bool) {
	d.mu.Lock()
	n := d.nodes[vm]
	d.mu.Unlock()
	if n == nil {
		return false, false
	}
	id := fmt.Sprint(firstID, "-", attempt)
	d.statsMu.Lock()
	d.sentAt[id] = time.Now()
	if stream.lastEvent > 0 {
		d.takenUp++
	}
	instance := vmInstance{vm, d.vmStarts[vm]}
	d.statsMu.Unlock()
	grant, err := n.Authorize("h", "/day/"+id, "")
	if err != nil {
		return false, false
	}
	now, header := time.Now(), http.Header{}
	head := caller.RelayHead{ID: id, Model: "m1"}
	if stream.lastEvent > 0 {
		head.ResumedRequest, head.ResumedAfter = firstID+"-0", strconv.Itoa(stream.lastEvent)
		header.Set("Last-Event-Id", head.ResumedAfter)
	}
	answer := &streamRecorder{}
	err = n.Relay(context.Background(), caller.RelayRequest{
		RelayHead: head, Grant: grant, Service: testService,
		ForwardRequest: service.ForwardRequest{RequestID: id, Method: "POST", Host: "h", URI: "/day/" + id, Body: []byte("body"), Header: header},
		Arrived:        now, AnswerDeadline: now.Add(4 * time.Second), BeginDeadline: now.Add(4 * time.Second),
	}, answer)
	d.statsMu.Lock()
	killed := d.killedInstances[instance]
	d.statsMu.Unlock()
	if answer.status == http.StatusOK {
		stream.add(answer.body.String())
	}
	if stream.lastEvent == 0 && attempt > 0 {
		stream.versions = make(map[string]bool)
	}
	return err == nil && !killed && answer.status == http.StatusOK, answer.length != service.LengthUntilClose
}

// allowResuming publishes a configuration under which streams may be resumed.
func (d *day) allowResuming() {
	d.changeRoute(func(r *contract.Route) { r.Repeat, r.Stream, r.MaxAttempts = contract.RepeatResume, true, 2 })
}

// playStreamDay plays and checks the random day of a seed on which requests are for streams that may
// be resumed.
func playStreamDay(t *testing.T, seed int64) {
	t.Parallel()
	random := rand.New(rand.NewSource(seed))
	vms := 2 + random.Intn(9)
	if random.Intn(6) == 0 {
		vms = maxFullMeshPeers + 2 + random.Intn(12)
	}
	configure := func(w *testCluster) {
		w.domains, w.retryShare, w.retrySlack = spreadDomainCount, retryRatio, fleetRetrySlack(vms)
	}
	engines := 2 + random.Intn(6)
	withStreamingEngineCluster(t, vms, engines, configure, func(b *engineCluster) {
		d := &day{engineCluster: b, random: random, repeatable: true, streaming: true, kinds: faultKinds}
		d.allowResuming()
		d.misleadContinuations(rand.New(rand.NewSource(^seed)))
		d.runAndCheck(engines)
		d.Logf("%d streams continued wrongly, %d taken up", d.misled, d.takenUp)
	})
}

// Guards against streams with events of two software versions, events that are out of order, come twice or are missing, and
// cut-off streams that their callers take for whole, while faults of several kinds overlap and engines don't continue
// streams where they are told.
func TestRandomDaysOfStreams(t *testing.T) {
	for seed := *daysFrom; seed < *daysFrom+int64(*daySeeds/streamDayDivisor); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playStreamDay(t, seed) })
	}
}
