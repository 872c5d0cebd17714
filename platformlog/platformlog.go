// Package platformlog is the peer package for the platform's append-only log
// service: streams of records with offsets, kept for a limited time.
package platformlog

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("platformlog")

var (
	// ErrUnavailable says that the log did not take the append, or did not
	// answer the read: nothing was stored.
	ErrUnavailable = errs.New("log unavailable")
	// ErrUnknown says that the answer of an append was lost: the record may or
	// may not be in the stream. Only reading on can tell.
	ErrOutcomeUnknown = errs.New("append outcome unknown")
	// ErrTooLarge comes together with ErrUnavailable: the log takes no record of
	// that size, now or later.
	ErrTooLarge = errs.New("record too large")
	// ErrTrimmed says that the offset asked for is older than the retention.
	ErrTrimmed = errs.New("offset trimmed")
)

// Offset is a record's place in its stream: it starts at 1, never repeats and
// only grows. 0 means "before the first record".
type Offset uint64

// Record is one stored record.
type Record struct {
	Offset Offset
	// Time is when the log stored the record, by the log's clock; it never
	// goes back within a stream.
	Time time.Time
	Data []byte
}

// Batch is the answer of one read.
type Batch struct {
	Records []Record
	// Next is the offset to read from next.
	Next Offset
	// Earliest is the oldest offset that is still kept.
	Earliest Offset
	// End is the offset of the newest record of the stream, 0 when it is empty.
	End Offset
}

// Log is what the rest of the system uses of the log service.
type Log interface {
	// Append stores one record at the end of the stream and returns its offset.
	// It fails with ErrUnavailable or ErrUnknown.
	Append(ctx context.Context, stream string, data []byte) (Offset, error)
	// Read returns up to max records from offset from on (0 and 1 both mean the
	// first). With none there it waits up to wait and then returns an empty
	// batch. It fails with ErrTrimmed (the batch then carries Earliest and End)
	// or ErrUnavailable.
	Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error)
}
