// Package platformlog is a client for the platform's append-only log service, which
// stores streams of records with offsets for a limited time.
package platformlog

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platformlog")

var (
	// ErrUnavailable reports that the log rejected the append or did not answer the
	// read: nothing was stored.
	ErrUnavailable = errs.New("log unavailable")
	// ErrOutcomeUnknown reports that the answer to an append was lost: the record
	// may or may not be in the stream. Only reading the stream can tell.
	ErrOutcomeUnknown = errs.New("append outcome unknown")
	// ErrTooLarge accompanies ErrUnavailable: the log never accepts a record of that
	// size.
	ErrTooLarge = errs.New("record too large")
	// ErrTrimmed reports that the requested offset is older than the retention.
	ErrTrimmed = errs.New("offset trimmed")
)

// Offset is a record's position in its stream. Offsets start at 1, increase from
// record to record and never repeat. 0 means "before the first record".
type Offset uint64

// Record is one stored record.
type Record struct {
	Offset Offset
	// Time is when the log stored the record, by the log's clock. It never
	// decreases within a stream.
	Time time.Time
	Data []byte
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next Offset
	// Earliest is the oldest offset that is still retained.
	Earliest Offset
	// End is the offset of the newest record of the stream, 0 if the stream is
	// empty.
	End Offset
}

// Log is the interface through which entry VMs use the log service.
type Log interface {
	// Append stores one record at the end of the stream and returns its offset.
	// It fails with ErrUnavailable or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to max records from offset from on (0 and 1 both mean the
	// first). If there are none, it waits for up to wait and then returns an empty
	// batch. It fails with ErrTrimmed, in which case the batch has Earliest and End,
	// or with ErrUnavailable.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error)
}
