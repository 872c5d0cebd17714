package serving

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	// errNotContinued reports that a backend server doesn't go on after the event that the request names, or that
	// this can't be told.
	errNotContinued = errors.New("the answer doesn't continue the stream")
	// errOutOfOrder reports that the ids of a stream's events don't rise.
	errOutOfOrder = errors.New("an event's id isn't above the one before")
)

// wrongContinuations counts the attempts that were given up because their events don't continue the stream or
// aren't in order.
var wrongContinuations = metrics.NewCounter("bergamotreel_resumed_streams_out_of_order_total")

// eventOrder checks that the events of a stream are in order, over all attempts that bring them. Their ids are
// numbers that rise, by how much isn't specified. A run that doesn't go on where the request names is another one,
// and what two runs write doesn't fit together.
type eventOrder struct {
	// last is the last id that was accepted and is a number, hasLast whether there is one. isNumbered is whether it is
	// that of the last event; if not, no other run can go on after that event.
	last                uint64
	hasLast, isNumbered bool
	// lastID is the last id as it was sent, empty before the first.
	lastID []byte
	// isContinued is whether the current attempt has to continue the stream and none of its events was accepted yet.
	isContinued bool
	// step is the difference between the ids of the last two events of a run, 0 while none is known. isIrregular is
	// whether there were several differences, so that a missing event doesn't show.
	step        uint64
	isIrregular bool
	// runSteps counts the differences between events of the current attempt.
	runSteps int
	// isAnew is whether no event of the current attempt was accepted yet.
	isAnew bool
}

// newEventOrder returns the state of a stream of which the caller has all events up to an id, none if it is empty. step is
// by how much the ids of such streams rise, 0 if that isn't known.
func newEventOrder(lastID string, step uint64) eventOrder {
	last, isNumber := parseEventID([]byte(lastID))
	return eventOrder{last: last, hasLast: isNumber, isNumbered: isNumber, lastID: []byte(lastID), step: step}
}

// beginAttempt prepares for the events of an attempt.
func (o *eventOrder) beginAttempt() { o.isContinued, o.isAnew, o.runSteps = o.isNumbered, true, 0 }

// accept checks complete events in order. It returns the length of those before the first wrong one, and an error
// if there is one.
func (o *eventOrder) accept(events []byte) (int, error) {
	start := 0
	for start < len(events) {
		e, size := parseEvent(events[start:])
		if err := o.acceptEvent(&e); err != nil {
			return start, fmt.Errorf("%w: event %.40q after %.40q", err, e.id, o.lastID)
		}
		start += size
	}
	return start, nil
}

func (o *eventOrder) acceptEvent(e *parsedEvent) error {
	id, isNumber := parseEventID(e.id)
	switch {
	case !e.hasID && !e.hasData: // a comment, or a field that makes no event
		return nil
	case o.isContinued && !isNumber:
		return errNotContinued
	case !isNumber:
		o.isNumbered = false
		o.recordID(e)
	case o.isContinued && (id <= o.last || o.skipsEvents(id)):
		return errNotContinued
	case o.hasLast && id <= o.last:
		return errOutOfOrder
	default:
		o.recordStep(id)
		o.last, o.hasLast, o.isNumbered = id, true, true
		o.recordID(e)
	}
	o.isContinued, o.isAnew = false, false
	return nil
}

func (o *eventOrder) recordID(e *parsedEvent) {
	if e.hasID {
		o.lastID = append(o.lastID[:0], e.id...)
	}
}

// skipsEvents reports whether an event with the id isn't the next one, according to the ids of the stream's events
// so far. The last event of a stream may have a smaller difference than the others.
func (o *eventOrder) skipsEvents(id uint64) bool {
	return o.step > 0 && !o.isIrregular && id-o.last > o.step
}

// recordStep records the difference between two events of one run.
func (o *eventOrder) recordStep(id uint64) {
	if o.isAnew || !o.isNumbered {
		return
	}
	step := id - o.last
	o.isIrregular = o.isIrregular || (o.step > 0 && step != o.step)
	o.step = step
	o.runSteps++
}

// canContinue reports whether another run can go on after the last event.
func (o *eventOrder) canContinue() bool { return o.isNumbered }

// parsedEvent is what is read of one event.
type parsedEvent struct {
	// id is the value of the last id field, hasID whether there is one.
	id             []byte
	hasID, hasData bool
}

// parseEvent reads the first event (WHATWG HTML, 9.2.6) and returns its size with the empty line that ends it, or
// that of all data if there is none.
func parseEvent(data []byte) (e parsedEvent, size int) {
	for size < len(data) {
		line, length := cutLine(data[size:])
		size += length
		if len(line) == 0 {
			return e, size
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		switch string(field) {
		case "id":
			e.id, e.hasID = bytes.TrimSpace(value), true
		case "data":
			e.hasData = true
		}
	}
	return e, size
}

// cutLine returns the first line without its end, LF, CR or CRLF, and its length with it.
func cutLine(data []byte) (line []byte, length int) {
	end := bytes.IndexAny(data, "\r\n")
	switch {
	case end < 0:
		return data, len(data)
	case data[end] == '\r' && end+1 < len(data) && data[end+1] == '\n':
		return data[:end], end + 2
	}
	return data[:end], end + 1
}

// parseEventID returns the number that an id is, false for anything else and for numbers beyond 64 bits.
func parseEventID(id []byte) (number uint64, isNumber bool) {
	for _, digit := range id {
		value := uint64(digit - '0')
		if digit < '0' || digit > '9' || number > (1<<64-1-value)/10 {
			return 0, false
		}
		number = number*10 + value
	}
	return number, len(id) > 0
}

// isWrongEvents reports whether an attempt was given up because of the events that it brought, while its connection
// was sound.
func isWrongEvents(err error) bool {
	return errors.Is(err, errNotContinued) || errors.Is(err, errOutOfOrder) || errors.Is(err, errOtherWeights)
}
