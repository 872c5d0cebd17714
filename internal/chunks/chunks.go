// Package chunks splits an encoded state into chunks that fit into log records
// and reassembles the newest complete snapshot from them. It does no I/O.
package chunks

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("chunks")

// MaxChunkBytes limits the compressed data of one chunk. It is small enough to
// append between other records, and large enough that a snapshot of the size
// expected after two years takes tens of appends and not thousands.
const MaxChunkBytes = 256 << 10

// MaxStateBytes limits the uncompressed state that Join accepts, so that a
// corrupt chunk cannot make the reader allocate unlimited memory.
const MaxStateBytes = 1 << 30

// Chunk is one part of a snapshot of the state after the record at UpTo.
type Chunk struct {
	// Writer identifies the snapshot together with UpTo.
	Writer string `json:"w" cbor:"1,keyasint"`
	// UpTo is the offset of the last record applied to the state.
	UpTo  uint64 `json:"upto" cbor:"2,keyasint"`
	Part  int    `json:"part" cbor:"3,keyasint"`
	Parts int    `json:"parts" cbor:"4,keyasint"`
	// Gap marks a snapshot by a VM that missed records because the log's
	// retention had removed them.
	Gap bool `json:"gap,omitempty" cbor:"5,keyasint,omitempty"`
	// Confirms is the offset of the snapshot with a gap that this one repeats to
	// make it authoritative, 0 if it repeats none; see package replica.
	Confirms uint64 `json:"confirms,omitempty" cbor:"8,keyasint,omitempty"`
	// Sum is the xxhash of the whole encoded state, before compression: equal
	// states have equal sums.
	Sum  uint64 `json:"sum" cbor:"6,keyasint"`
	Data []byte `json:"data" cbor:"7,keyasint"`
}

// writerPool reuses writers, since each new flate.Writer allocates a megabyte.
var writerPool = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // only for a level that doesn't exist
	}
	return w
}}

// Split compresses an encoded state and splits it into chunks of at most size
// bytes of data.
func Split(encoded []byte, writer string, upTo uint64, size int) ([]Chunk, error) {
	var compressed bytes.Buffer
	w := writerPool.Get().(*flate.Writer)
	defer writerPool.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(encoded); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	data := compressed.Bytes()
	parts := (len(data) + size - 1) / size
	sum := xxhash.Sum64(encoded)
	all := make([]Chunk, parts)
	for i := range all {
		end := min((i+1)*size, len(data))
		all[i] = Chunk{Writer: writer, UpTo: upTo, Part: i, Parts: parts, Sum: sum, Data: data[i*size : end]}
	}
	return all, nil
}

// Join reverses Split. It fails unless it is given all the chunks of one
// snapshot, in order, and their sum is correct.
func Join(all []Chunk) ([]byte, error) {
	if len(all) == 0 {
		return nil, Error.New("no chunks")
	}
	var compressed bytes.Buffer
	for i, c := range all {
		if !isSameSnapshot(c, all[0]) || c.Part != i || c.Parts != len(all) {
			return nil, Error.New("chunk %d of %d does not match: part %d of %d", i, len(all), c.Part, c.Parts)
		}
		compressed.Write(c.Data)
	}
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(&compressed), MaxStateBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(encoded) > MaxStateBytes {
		return nil, Error.New("uncompressed state exceeds %d bytes", MaxStateBytes)
	}
	if sum := xxhash.Sum64(encoded); sum != all[0].Sum {
		return nil, Error.New("sum %x, want %x", sum, all[0].Sum)
	}
	return encoded, nil
}

func isSameSnapshot(a, b Chunk) bool {
	return a.Writer == b.Writer && a.UpTo == b.UpTo && a.Sum == b.Sum &&
		a.Gap == b.Gap && a.Confirms == b.Confirms
}
