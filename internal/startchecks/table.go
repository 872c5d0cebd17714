// Package startchecks finds out whether an engine has started again since this VM learned of its start. The list of
// engines shows that late, and what two starts write may not fit together.
package startchecks

import (
	"maps"
	"time"

	"bergamotreel/service"
)

// tableTTL is how long an unused record of a Table is kept: longer than unused connections are.
const tableTTL = time.Minute

// Table records when engines were found to run at a start, and when there were signs that they had ended. It does no
// I/O and is not safe for concurrent use.
type Table struct {
	starts    map[startKey]*startRecord
	expiredAt time.Time
}

// startKey identifies one start of an engine.
type startKey struct {
	engine string
	start  int64
}

// startRecord holds the newest time at which the engine was asked and reported this start, and that of the last sign
// that it had ended. Both are zero for never.
type startRecord struct{ askedAt, doubtedAt, usedAt time.Time }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{starts: make(map[startKey]*startRecord)} }

// Doubt records a sign that a target may have ended.
func (t *Table) Doubt(now time.Time, target service.Target) {
	t.record(now, startKey{target.ID, target.Started}).doubtedAt = now
}

// Confirm records that an engine reported a start when it was asked at a time.
func (t *Table) Confirm(askedAt time.Time, engine string, start int64) {
	r := t.record(askedAt, startKey{engine, start})
	if askedAt.After(r.askedAt) {
		r.askedAt = askedAt
	}
}

// IsConfirmed reports whether a connection leads to the target's start over which the first answer came at a time, zero
// if that isn't known. An engine that reports the start later ran at it then, or the connection would have broken.
func (t *Table) IsConfirmed(now time.Time, target service.Target, answeredAt time.Time) bool {
	r := t.starts[startKey{target.ID, target.Started}]
	if r == nil {
		return answeredAt.IsZero()
	}
	r.usedAt = now
	return isBefore(answeredAt, r.askedAt) && isBefore(r.doubtedAt, r.askedAt)
}

// isBefore reports whether an event happened before the engine was asked, or never.
func isBefore(event, askedAt time.Time) bool { return event.IsZero() || event.Before(askedAt) }

func (t *Table) record(now time.Time, key startKey) *startRecord {
	if now.Sub(t.expiredAt) >= tableTTL {
		t.expiredAt = now
		maps.DeleteFunc(t.starts, func(_ startKey, r *startRecord) bool { return now.Sub(r.usedAt) >= tableTTL })
	}
	r := t.starts[key]
	if r == nil {
		r = &startRecord{}
		t.starts[key] = r
	}
	r.usedAt = now
	return r
}
