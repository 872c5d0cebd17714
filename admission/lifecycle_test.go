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

// lifecycle drives a controller by random calls and checks its invariants.
type lifecycle struct {
	t    *rapid.T
	c    *Controller
	now  time.Time
	open []*Ticket // accepted and not ended, by arrival
}

func (l *lifecycle) drawUpTo(maxValue int) int { return rapid.IntRange(0, maxValue).Draw(l.t, "n") }

func (l *lifecycle) removeEnded(ticket *Ticket) {
	i := slices.Index(l.open, ticket)
	testkit.Need(l.t, i >= 0 && ticket.HasEnded(), "%s ended twice or not at all", ticket.ID)
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

func (l *lifecycle) submit() {
	unit := fmt.Sprint("u", l.drawUpTo(3))
	r := Request{
		ID: fmt.Sprint(l.c.sequence), Customer: fmt.Sprint(l.drawUpTo(2)), Unit: unit, Pool: unit[:1+l.drawUpTo(1)], Priority: l.drawUpTo(2),
		Arrived: l.now, Deadline: l.now.Add(time.Duration(l.drawUpTo(60)) * 100 * time.Millisecond),
	}
	if ticket, refused := l.c.Submit(l.now, r); refused == nil {
		l.open = append(l.open, ticket)
	}
}

func (l *lifecycle) next() {
	var waited []*Ticket
	for _, ticket := range l.open {
		if ticket.isWaiting() {
			waited = append(waited, ticket)
		}
	}
	unfitUnit := fmt.Sprint("u", l.drawUpTo(3))
	ticket := l.c.Next(l.now, "u", func(t *Ticket) bool { return t.Unit != unfitUnit })
	if ticket != nil && (!slices.Contains(waited, ticket) || ticket.Unit == unfitUnit) {
		l.t.Fatalf("%s dispatched although it was running, did not fit or had ended", ticket.ID)
	}
}

// endOrRequeue ends or requeues a random open ticket, and makes calls that must have
// no effect on it afterwards.
func (l *lifecycle) endOrRequeue(action int) {
	if len(l.open) == 0 {
		return
	}
	ticket := l.open[l.drawUpTo(len(l.open)-1)]
	if action == 0 {
		l.c.SetDeadline(ticket, l.now.Add(time.Duration(l.drawUpTo(60))*100*time.Millisecond))
		l.c.Requeue(l.now, ticket)
	}
	if action == 1 || !ticket.isWaiting() {
		l.c.Finish(l.now, ticket, Outcome{OK: true, TimeToFirstToken: 100 * time.Millisecond, ServiceTime: time.Second})
		l.c.Cancel(l.now, ticket)
		l.removeEnded(ticket)
		l.c.Requeue(l.now, ticket)
	}
}

func (l *lifecycle) expire() {
	for _, e := range l.c.Expire(l.now) {
		testkit.Need(l.t, e.Refusal != nil, "%s refused without an answer", e.Ticket.ID)
		l.removeEnded(e.Ticket)
	}
}

func (l *lifecycle) check() {
	waiting, demand, inDeadlines, running := 0, 0, 0, 0
	for _, ticket := range l.open {
		if ticket.isWaiting() {
			waiting++
		}
	}
	for _, p := range l.c.pools {
		inDeadlines += len(p.deadlines)
		for i := range p.deadlines {
			testkit.Need(l.t, !p.deadlines.Less(i, max(0, i-1)/2), "the deadlines are out of order")
		}
		for _, f := range p.flows {
			running += f.runningCount
		}
	}
	for _, d := range l.c.Demand(l.now) {
		demand += d.Waiting
	}
	testkit.Need(l.t, waiting == l.c.waitingCount && waiting == inDeadlines && waiting == demand && len(l.open)-waiting == running,
		"%d of %d waiting, counted %d, in deadlines %d, demand %d, running %d", waiting, len(l.open), l.c.waitingCount, inDeadlines, demand, running)
}

// Requests are submitted, dispatched, requeued, finished, canceled and refused in any
// order, while contracts, deadlines and ready times change. Each accepted one must end exactly
// once; otherwise a caller waits forever or receives two answers. After enough time
// none may be left.
func TestEachTicketEndsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &lifecycle{t: t, c: New(Config{MaxQueued: 12}), now: epoch}
		l.setContracts(3)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch l.drawUpTo(11) {
			case 0, 1, 2:
				l.submit()
			case 3, 4:
				l.next()
			case 5, 6, 7:
				l.endOrRequeue(l.drawUpTo(1))
			case 8:
				l.expire()
			case 9:
				l.c.SetReadyTime(fmt.Sprint("u", l.drawUpTo(3)), l.now.Add(2*time.Second), l.drawUpTo(1) == 0)
				l.setContracts(1 + l.drawUpTo(2))
			case 10:
				l.c.ReportUsage(l.now)
				l.c.SetVMs(3, l.drawUpTo(2))
				l.c.SetPeerUsage(l.now, map[string]PeerUsage{"1": {AdmittedRate: 4, DemandRate: 9}})
			case 11:
				l.now = l.now.Add(time.Duration(l.drawUpTo(3000)) * time.Millisecond)
			}
			l.check()
		}
		for _, ticket := range slices.Clone(l.open) {
			l.c.Requeue(l.now, ticket)
		}
		l.now = l.now.Add(time.Hour)
		l.expire()
		testkit.Need(t, len(l.open) == 0, "%d never ended", len(l.open))
	})
}
