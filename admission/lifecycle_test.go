package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "bergamotreel/internal/fixedseed"
	"pgregory.net/rapid"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

// lifecycle drives a controller by any calls and checks what must always hold.
type lifecycle struct {
	t    *rapid.T
	c    *Controller
	now  time.Time
	open []*Ticket // accepted and not ended, by arrival
}

func (l *lifecycle) upTo(most int) int { return rapid.IntRange(0, most).Draw(l.t, "n") }

func (l *lifecycle) end(ticket *Ticket) {
	i := slices.Index(l.open, ticket)
	testkit.Need(l.t, i >= 0 && ticket.HasEnded(), "%s ended twice, or not", ticket.ID)
	l.open = slices.Delete(l.open, i, i+1)
}

func (l *lifecycle) setContracts(n int) {
	set := map[string]*contract.Contract{}
	for i := range n {
		name := fmt.Sprint(i)
		set[name] = &contract.Contract{Customer: name, Weight: i, RequestsPerSecond: float64(5 * i), Burst: 3, MaxQueued: 8}
	}
	l.c.SetContracts(set)
}

func (l *lifecycle) arrive() {
	unit := fmt.Sprint("u", l.upTo(3))
	r := Request{
		ID: fmt.Sprint(l.c.sequence), Customer: fmt.Sprint(l.upTo(2)), Unit: unit, Pool: unit[:1+l.upTo(1)], Priority: l.upTo(2),
		Arrived: l.now, Deadline: l.now.Add(time.Duration(l.upTo(60)) * 100 * time.Millisecond),
	}
	if ticket, refused := l.c.Submit(l.now, r); refused == nil {
		l.open = append(l.open, ticket)
	}
}

func (l *lifecycle) next() {
	var waited []*Ticket
	for _, ticket := range l.open {
		if ticket.waits() {
			waited = append(waited, ticket)
		}
	}
	misfit := fmt.Sprint("u", l.upTo(3))
	ticket := l.c.Next(l.now, "u", func(t *Ticket) bool { return t.Unit != misfit })
	if ticket != nil && (!slices.Contains(waited, ticket) || ticket.Unit == misfit) {
		l.t.Fatalf("%s handed out while running, unfit or ended", ticket.ID)
	}
}

// act ends or puts back any open ticket, and tries what must do nothing then.
func (l *lifecycle) act(how int) {
	if len(l.open) == 0 {
		return
	}
	ticket := l.open[l.upTo(len(l.open)-1)]
	if how == 0 {
		l.c.Requeue(l.now, ticket)
	}
	if how == 1 || !ticket.waits() {
		l.c.Finish(l.now, ticket, Outcome{OK: true, TimeToFirstToken: 100 * time.Millisecond, ServiceTime: time.Second})
		l.c.Cancel(l.now, ticket)
		l.end(ticket)
		l.c.Requeue(l.now, ticket)
	}
}

func (l *lifecycle) expire() {
	for _, e := range l.c.Expire(l.now) {
		testkit.Need(l.t, e.Refusal != nil, "%s refused without an answer", e.Ticket.ID)
		l.end(e.Ticket)
	}
}

func (l *lifecycle) check() {
	waits, demand, listed, running := 0, 0, 0, 0
	for _, ticket := range l.open {
		if ticket.waits() {
			waits++
		}
	}
	for _, p := range l.c.pools {
		listed += len(p.deadlines)
		for _, f := range p.flows {
			running += f.running
		}
	}
	for _, d := range l.c.Demand(l.now) {
		demand += d.Waiting
	}
	testkit.Need(l.t, waits == l.c.waiting && waits == listed && waits == demand && len(l.open)-waits == running,
		"%d of %d wait, counted %d, listed %d, demand %d, running %d", waits, len(l.open), l.c.waiting, listed, demand, running)
}

// Requests arrive, are dispatched, put back, finished, left and refused in any
// order, while contracts and expectations change. Each accepted one must end
// exactly once, or a caller waits for ever or hears two answers; and after time
// enough none may be left.
func TestEachTicketEndsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &lifecycle{t: t, c: New(Config{MaxQueued: 12}), now: epoch}
		l.setContracts(3)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch l.upTo(11) {
			case 0, 1, 2:
				l.arrive()
			case 3, 4:
				l.next()
			case 5, 6, 7:
				l.act(l.upTo(1))
			case 8:
				l.expire()
			case 9:
				l.c.SetReadyTime(fmt.Sprint("u", l.upTo(3)), l.now.Add(2*time.Second), l.upTo(1) == 0)
				l.setContracts(1 + l.upTo(2))
			case 10:
				l.c.ReportUsage(l.now)
				l.c.SetVMs(3, l.upTo(2))
				l.c.SetPeerUsage(l.now, map[string]PeerUsage{"1": {AdmittedRate: 4, DemandRate: 9}})
			case 11:
				l.now = l.now.Add(time.Duration(l.upTo(3000)) * time.Millisecond)
			}
			l.check()
		}
		for _, ticket := range slices.Clone(l.open) {
			l.c.Requeue(l.now, ticket)
		}
		l.now = l.now.Add(time.Hour)
		l.expire()
		testkit.Need(t, len(l.open) == 0, "%d have no end", len(l.open))
	})
}
