package state

// maxJournalChanges bounds the changes kept. It is many times the number of changes
// between two reads of a reader that reads once a second. A reader that is further
// behind reads the whole state again.
const maxJournalChanges = 2048

// journal records the newest changes of a State, so that a reader that caches data
// derived from it can update the cache incrementally. A restored state has a new
// journal.
type journal struct {
	ring [maxJournalChanges]change
	// written counts all changes ever added.
	written uint64
}

// change is a change of an engine or of a customer's contract; the other name is
// empty.
type change struct{ engine, customer string }

func (j *journal) add(c change) {
	j.ring[j.written%maxJournalChanges] = c
	j.written++
}

// Cursor is a reader's position in the changes of a State. The zero Cursor precedes
// all changes.
type Cursor struct {
	journal *journal
	read    uint64
}

// Changes lists what changed since a reader's cursor. Names may occur more than
// once.
type Changes struct {
	// All is set if the changes are unknown, so everything may have changed: at the
	// first read, after a state was restored, or if the reader is too far behind.
	All bool
	// Engines are those that may have a new keeper, memory or rights, or that were
	// removed. Customers are those whose contract changed.
	Engines, Customers []string
}

// ChangesSince returns the changes since the cursor, and the current cursor.
func (s *State) ChangesSince(since Cursor) (Changes, Cursor) {
	j := s.index.journal
	now := Cursor{journal: j, read: j.written}
	if since.journal != j || j.written-since.read > maxJournalChanges {
		return Changes{All: true}, now
	}
	var changes Changes
	for at := since.read; at < j.written; at++ {
		c := j.ring[at%maxJournalChanges]
		if c.engine != "" {
			changes.Engines = append(changes.Engines, c.engine)
		} else {
			changes.Customers = append(changes.Customers, c.customer)
		}
	}
	return changes, now
}

func (s *State) engineChanged(name string) { s.index.journal.add(change{engine: name}) }

func (s *State) contractChanged(customer string) { s.index.journal.add(change{customer: customer}) }
