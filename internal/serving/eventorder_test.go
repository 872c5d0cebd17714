package serving

import (
	"errors"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// numbered returns events with the given ids.
func numbered(ids ...string) string {
	var out strings.Builder
	for _, id := range ids {
		out.WriteString("id: " + id + "\ndata: x\n\n")
	}
	return out.String()
}

// Guards against events that are passed on though they come again, go back, leave some out or can't be compared with
// the event that an attempt has to go on after.
func TestEventOrder(t *testing.T) {
	ids := func(list string) string { return numbered(strings.Fields(list)...) }
	for _, test := range []struct {
		name string
		// after is the event that a caller names, first what one attempt brings and second the next one.
		after, first, second string
		// accepted is what the caller gets of second.
		accepted string
		err      error
	}{
		{"in order", "", ids("1 2 3"), ids("4 5"), ids("4 5"), nil},
		{"from the first event", "", ids("1 2 3"), ids("1 2 3 4"), "", errNotContinued},
		{"the last event again", "", ids("1 2 3"), ids("3 4"), "", errNotContinued},
		{"one left out", "", ids("1 2 3"), ids("5 6"), "", errNotContinued},
		{"one left out, in tens", "", ids("10 20 30"), ids("50 60"), "", errNotContinued},
		{"a shorter last step", "", ids("10 20 30"), ids("35"), ids("35"), nil},
		{"irregular", "", ids("1 3 4 9"), ids("20"), ids("20"), nil},
		{"one event has no step", "", ids("1"), ids("7"), ids("7"), nil},
		{"one id twice", "", ids("1 2"), ids("3 3 4"), ids("3"), errOutOfOrder},
		{"back", "", ids("1 2"), ids("3 4 2 5"), ids("3 4"), errOutOfOrder},
		{"taken up", "3", "", ids("4 5"), ids("4 5"), nil},
		{"taken up, again", "3", "", ids("3 4"), "", errNotContinued},
		{"taken up, from the first event", "3", "", ids("1 2 3 4"), "", errNotContinued},
		{"taken up after text", "c", "", ids("1 2"), ids("1 2"), nil},
		{"without id", "", ids("1 2"), "data: x\n\n" + ids("3"), "", errNotContinued},
		{"empty id", "", ids("1 2"), "id:\ndata: x\n\n", "", errNotContinued},
		{"text for an id", "", ids("1 2"), ids("three"), "", errNotContinued},
		{"beyond 64 bits", "", ids("18446744073709551614 18446744073709551615"), ids("18446744073709551616"), "", errNotContinued},
		{"signed", "", ids("1 2"), ids("+3"), "", errNotContinued},
		{"leading zeros", "", ids("08 09"), ids("010"), ids("010"), nil},
		{"id behind data", "", ids("1 2"), "data: x\nid: 3\n\n", "data: x\nid: 3\n\n", nil},
		{"the last id of an event counts", "", ids("1 2"), "id: 2\nid: 3\ndata: x\n\n", "id: 2\nid: 3\ndata: x\n\n", nil},
		{"an id in data", "", ids("1 2"), "id:3\r\ndata: id: 1\r\n\r\n", "id:3\r\ndata: id: 1\r\n\r\n", nil},
		{"carriage returns", "", ids("1 2"), "id: 3\rdata: x\r\rid: 3\rdata: x\r\r", "id: 3\rdata: x\r\r", errOutOfOrder},
		{"comments", "", ids("1 2"), ": id: 1\n\n:\n\n" + ids("3"), ": id: 1\n\n:\n\n" + ids("3"), nil},
		{"back, after one without id", "", ids("1 2 3"), ids("4") + "data: x\n\n" + ids("2"), ids("4") + "data: x\n\n", errOutOfOrder},
		{"on, after one without id", "", ids("1 2 3"), ids("4") + "data: x\n\n" + ids("6"), ids("4") + "data: x\n\n" + ids("6"), nil},
		{"a field like id", "", ids("1 2"), "identity: 9\nid: 3\ndata: x\n\n", "identity: 9\nid: 3\ndata: x\n\n", nil},
	} {
		o := newEventOrder(test.after, 0)
		if test.first != "" {
			o.beginAttempt()
			n, err := o.accept([]byte(test.first))
			testkit.That(t, n == len(test.first) && err == nil, "%s: first attempt: %d, %v", test.name, n, err)
		}
		o.beginAttempt()
		n, err := o.accept([]byte(test.second))
		testkit.That(t, test.second[:n] == test.accepted && errors.Is(err, test.err), "%s: accepted %q, %v", test.name, test.second[:n], err)
	}
}

// Guards against an event that comes twice: it has no id, so another run goes on after the one before it.
func TestStreamIsNotContinuedAfterEventWithoutNumber(t *testing.T) {
	for events, want := range map[string]bool{
		"": false, numbered("1"): true, numbered("a"): false, numbered("1") + "data: x\n\n": false, numbered("1") + "id\n\n": false,
		numbered("1") + "data: x\n\n" + numbered("3"): true, numbered("3") + "data: x\n\n": false, numbered("1") + ": comment\n\n": true, numbered("18446744073709551616"): false,
	} {
		var o eventOrder
		o.beginAttempt()
		_, err := o.accept([]byte(events))
		testkit.That(t, err == nil && o.canContinue() == want, "after %q: %t, %v", events, o.canContinue(), err)
	}
}

// Guards against an allocation for each event of a stream.
func TestEventOrderAllocatesNothing(t *testing.T) {
	events := []byte(numbered("1000", "1001"))
	var o eventOrder
	_, _ = o.accept(events)
	allocated := testing.AllocsPerRun(100, func() {
		o.last = 0
		_, _ = o.accept(events)
	})
	testkit.Equal(t, "allocations", allocated, 0)
}

// FuzzEventOrder checks that events are accepted up to one that isn't in order, however they are split into blocks.
func FuzzEventOrder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 1\n\n"), "0")
	f.Add([]byte("id: 1\r\rid: 2\r\n\r\n"), "")
	f.Fuzz(func(t *testing.T, stream []byte, after string) {
		stream = stream[:lastEventEnd(stream)]
		whole := newEventOrder(after, 0)
		whole.beginAttempt()
		accepted, err := whole.accept(stream)
		testkit.That(t, (err == nil) == (accepted == len(stream)), "%d of %q, %v", accepted, stream, err)
		inParts := newEventOrder(after, 0)
		inParts.beginAttempt()
		for rest := stream[:accepted]; len(rest) > 0; {
			_, size := parseEvent(rest)
			n, err := inParts.accept(rest[:size])
			testkit.That(t, n == size && err == nil, "part %q of %q: %d, %v", rest[:size], stream, n, err)
			rest = rest[size:]
		}
		testkit.That(t, inParts.canContinue() == whole.canContinue() && string(inParts.lastID) == string(whole.lastID), "last id %q and %q", inParts.lastID, whole.lastID)
	})
}
