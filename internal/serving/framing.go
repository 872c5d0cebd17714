package serving

import (
	"errors"
	"mime"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/contract"
	"bergamotreel/service"
)

var (
	// errEventCutOff reports that an event stream ended within an event.
	errEventCutOff = errors.New("the stream ended within an event")
	// errEndUnknown reports that a stream which the caller receives with a marked end was
	// continued by an answer without one.
	errEndUnknown = errors.New("the stream ended with its connection, complete or not")
	// errNoEvent reports that an event stream ended with its connection before its first event.
	errNoEvent = errors.New("the stream ended without an event")
)

// endAnswer checks the end of an answer that its backend server ended in good order, and sends
// the head if the body is empty.
func (f *forwarding) endAnswer(head *service.ForwardResponse) error {
	switch {
	case f.endsInsideEvent():
		return errEventCutOff
	case f.eventStream && f.order.isContinued && f.request.Method != http.MethodHead:
		return errNotContinued // the end of a stream without an event may be that of another one
	case head.Length != service.LengthUntilClose:
	case f.eventStream && f.pieces == 0:
		return errNoEvent
	case f.answer.HasBegun() && f.answerHead.Length != service.LengthUntilClose:
		return errEndUnknown
	}
	f.beginAnswer(head)
	return nil
}

// isEventStream reports whether the answer's body is an event stream.
func isEventStream(route *contract.Route, head *service.ForwardResponse) bool {
	if head.Status >= http.StatusMultipleChoices {
		return false
	}
	contentType := head.Header.Get("Content-Type")
	if contentType == "" {
		return route.Stream
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// unframedAnswersTotal counts the answers that ended with their connection, by what is known of
// their end.
const unframedAnswersTotal = "bergamotreel_unframed_answers_total"

var (
	unframedClosed      = metrics.NewCounter(unframedAnswersTotal + `{end="closed"}`)
	unframedInsideEvent = metrics.NewCounter(unframedAnswersTotal + `{end="inside_event"}`)
	unframedBroken      = metrics.NewCounter(unframedAnswersTotal + `{end="broken"}`)
)

// countUnframed counts the attempt's answer if it ended with its connection.
func (f *forwarding) countUnframed(err error) {
	switch {
	case f.framing != framingUntilClose:
	case f.endsInsideEvent():
		unframedInsideEvent.Inc()
	case err != nil:
		unframedBroken.Inc()
	default:
		unframedClosed.Inc()
	}
}

// endsInsideEvent reports whether what was received of the answer ends within an event.
func (f *forwarding) endsInsideEvent() bool { return f.eventStream && f.boundary.isInside() }

// framingUntilClose is the name of LengthUntilClose in logs.
const framingUntilClose = "until_close"

// framingName returns how the end of a body of this length is marked.
func framingName(length int64) string {
	switch length {
	case service.LengthUntilClose:
		return framingUntilClose
	case service.LengthChunked:
		return "chunked"
	default:
		return "length"
	}
}
