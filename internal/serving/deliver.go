package serving

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/contract"
	"bergamotreel/service"
)

const (
	// maxBufferedAnswer bounds the answers that are read completely before any byte
	// is forwarded, so that the request can be repeated if the answer is cut off.
	maxBufferedAnswer = 64 << 10
	// copyBufferSize is the size of the buffer through which an answer is copied.
	copyBufferSize = 16 << 10
)

const headerContentEncoding = "Content-Encoding"

// unverifiedStarts counts the attempts to continue a stream that were given up because the backend server may
// have started again.
var unverifiedStarts = metrics.NewCounter("bergamotreel_resumed_streams_unverified_total")

// errServerFailed reports that the backend server answered with a 5xx status.
var errServerFailed = errors.New("the backend server failed")

// verifyAndDeliver forwards the answer to the caller. A server that continues a stream must not have started
// again since its version was read; it has accepted the request by now, so a start that is still the same
// is the one that runs it.
func (f *forwarding) verifyAndDeliver(ctx context.Context, head *service.ForwardResponse, guard *stallGuard) error {
	if f.origin.Version != "" && head.Status < http.StatusInternalServerError && !f.server.forwardDirectory().VerifyStart(ctx, f.target) {
		unverifiedStarts.Inc()
		return errStartUnverified
	}
	return f.deliver(ctx, head, guard)
}

// deliver forwards the answer to the caller.
func (f *forwarding) deliver(ctx context.Context, head *service.ForwardResponse, guard *stallGuard) error {
	f.framing, f.eventStream = framingName(head.Length), isEventStream(f.request.Route, head)
	failed := head.Status >= http.StatusInternalServerError
	switch {
	case failed && f.canRepeat():
		return errServerFailed
	case failed && f.answer.HasBegun():
		return errServerFailed // a failure can't continue a resumed stream
	case f.answer.HasBegun() && !f.continuesAnswer(head):
		return errNotContinued
	case !failed && f.eventStream && !f.continuesWeights(head):
		return errOtherWeights
	case !failed && (f.request.Route.Repeat == contract.RepeatResume || f.isTakenUp()):
		return f.deliverEvents(ctx, head, guard)
	case f.canBuffer(head):
		return f.deliverBuffered(head, guard)
	default:
		return f.deliverUnbuffered(head, guard)
	}
}

// isTakenUp reports whether the answer is a stream that the caller wants to go on after an event that it names.
func (f *forwarding) isTakenUp() bool { return f.eventStream && f.request.ResumedAfter != "" }

// canBuffer reports whether the whole answer is read before any of it is forwarded. The
// length of an answer to HEAD is not that of its body, which is empty.
func (f *forwarding) canBuffer(head *service.ForwardResponse) bool {
	return f.request.Route.Repeat == contract.RepeatSafe && f.request.Method != http.MethodHead &&
		head.Length >= 0 && head.Length <= maxBufferedAnswer
}

// deliverBuffered reads the answer to its end before it forwards anything.
func (f *forwarding) deliverBuffered(head *service.ForwardResponse, guard *stallGuard) error {
	body := make([]byte, head.Length)
	if _, err := io.ReadFull(head.Body, body); err != nil {
		return err
	}
	// The body must end here: further bytes wouldn't belong to this answer.
	if n, err := head.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return errors.Join(errors.New("answer without its end"), err)
	}
	f.acceptPiece(guard, body, io.EOF)
	f.beginAnswer(head)
	if len(body) == 0 {
		return nil
	}
	return f.writeAnswer(body)
}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// deliverUnbuffered forwards the answer as it arrives.
func (f *forwarding) deliverUnbuffered(head *service.ForwardResponse, guard *stallGuard) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := head.Body.Read(buffer[:])
		if !f.acceptPiece(guard, buffer[:n], err) {
			return errReplaced
		}
		if n > 0 {
			f.beginAnswer(head)
			if err := f.writeAnswer(buffer[:n]); err != nil {
				return err
			}
			f.endPiece(guard)
		}
		if errors.Is(err, io.EOF) {
			return f.endAnswer(head)
		}
		if err != nil {
			return err
		}
	}
}

// continuesAnswer reports whether the head is that of an answer which can go on with what the caller's answer began.
func (f *forwarding) continuesAnswer(head *service.ForwardResponse) bool {
	route, begun := f.request.Route, f.answerHead
	return head.Status == begun.Status && isEventStream(route, head) == isEventStream(route, begun) &&
		head.Header.Get(headerContentEncoding) == begun.Header.Get(headerContentEncoding)
}

// deliverEvents forwards complete events while they are in order.
func (f *forwarding) deliverEvents(ctx context.Context, head *service.ForwardResponse, guard *stallGuard) error {
	if head.Length >= 0 {
		head.Length = service.LengthChunked // the length of one attempt's answer isn't that of the resumed stream
	}
	events := newEventReader(head.Body, &f.server.eventMemory)
	defer events.close()
	isFirst := true
	for {
		whole, err := events.next()
		if !f.acceptPiece(guard, whole, err) {
			return errReplaced
		}
		if errors.Is(err, io.EOF) && f.endsInsideEvent() {
			return errEventCutOff
		}
		received := len(whole)
		var wrong error
		if f.eventStream {
			// First, as events that are accepted count as passed on.
			if isFirst && !f.beginsWithWeights(whole, head.WeightsField) {
				return errOtherWeights
			}
			whole, wrong = f.acceptEvents(whole)
		}
		if len(whole) > 0 {
			if f.eventStream {
				f.followWeights(head, whole, isFirst)
				isFirst = false
			}
			f.bindVersion()
			f.beginAnswer(head)
			if err := f.writeAnswer(whole); err != nil {
				return err
			}
			f.lastDelivered = time.Now()
		}
		if wrong != nil {
			wrongContinuations.Inc()
			return wrong
		}
		if received > 0 {
			f.endPiece(guard)
		}
		if errors.Is(err, io.EOF) {
			return f.endAnswer(head)
		}
		if err != nil {
			return err
		}
	}
}

// acceptEvents returns those of the events that are in order, and an error if there are others. Comments in front of
// the event that shows whether the answer continues the stream are dropped: they would begin the caller's answer.
func (f *forwarding) acceptEvents(events []byte) ([]byte, error) {
	accepted, wrong := f.order.accept(events)
	if f.order.isContinued {
		accepted = 0
	}
	return events[:accepted], wrong
}

// beginAnswer sends the head of the first attempt that returns data; a resumed
// stream keeps that head.
func (f *forwarding) beginAnswer(head *service.ForwardResponse) {
	if !f.answer.HasBegun() {
		f.answerHead = head
		f.answer.WriteHead(head.Status, head.Header, head.Length)
	}
}

func (f *forwarding) writeAnswer(data []byte) error {
	if err := f.answer.Write(data); err != nil {
		return terminalError{err}
	}
	return nil
}

// acceptPiece records that a piece of the answer arrived, with the error that followed
// it. It returns false if the piece must be dropped, as the request continues elsewhere;
// the end of the answer is accepted all the same.
func (f *forwarding) acceptPiece(guard *stallGuard, piece []byte, err error) bool {
	now := time.Now()
	if errors.Is(err, io.EOF) {
		guard.stop()
	} else if len(piece) > 0 && !guard.beginDelivery(now) {
		return false
	}
	if len(piece) > 0 {
		if f.eventStream {
			f.boundary.advance(piece)
		}
		f.observePace(now)
		f.recordProgress(now)
	}
	return true
}

// endPiece records that a piece was delivered: from now on, the backend server is
// silent until the next one.
func (f *forwarding) endPiece(guard *stallGuard) {
	f.lastReceived = time.Now()
	guard.endDelivery(f.lastReceived)
}

// recordProgress records that data of the answer arrived, and the time to its first
// data.
func (f *forwarding) recordProgress(now time.Time) {
	f.server.recordReceived(now)
	f.lastReceived = now
	f.pieces++
	f.reportProgress(now)
	if f.pending.timeToFirstToken == 0 {
		f.pending.recordFirstToken(now)
	}
}
