package state

// journalKept is how many changes are remembered: many times what a reader that
// looks once a second meets. One that is further behind reads all anew.
const journalKept = 2048

// journal holds the newest changes of a State, so that a reader who keeps
// something made of it need not look at all of it again. A restored state has a
// new one.
type journal struct {
	ring [journalKept]changed
	// written is how many changes there were.
	written uint64
}

// changed is one change: of an engine or of a customer's contract.
type changed struct{ engine, customer string }

func (j *journal) add(c changed) {
	j.ring[j.written%journalKept] = c
	j.written++
}

// Cursor is how far a reader has read the changes of a State. The zero Cursor has
// read nothing.
type Cursor struct {
	journal *journal
	read    uint64
}

// Changes are what changed since a reader's last look. Names may be twice in it.
type Changes struct {
	// All is set where it can't be told: at the first look, after a state was
	// restored, or when the reader is too far behind.
	All bool
	// Engines are those whose keeper, memory or rights may have changed, or that
	// are gone; Customers those whose contract has.
	Engines, Customers []string
}

// ChangesSince returns what changed since the cursor, and the cursor of now.
func (s *State) ChangesSince(since Cursor) (Changes, Cursor) {
	j := s.index.journal
	now := Cursor{journal: j, read: j.written}
	if since.journal != j || j.written-since.read > journalKept {
		return Changes{All: true}, now
	}
	var changes Changes
	for at := since.read; at < j.written; at++ {
		c := j.ring[at%journalKept]
		if c.engine != "" {
			changes.Engines = append(changes.Engines, c.engine)
		} else {
			changes.Customers = append(changes.Customers, c.customer)
		}
	}
	return changes, now
}

func (s *State) engineChanged(name string) { s.index.journal.add(changed{engine: name}) }

func (s *State) contractChanged(customer string) { s.index.journal.add(changed{customer: customer}) }
