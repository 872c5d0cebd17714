package platformlog

import "time"

// ClientHeader is the optional request header with the client's name, by which
// the log distinguishes its clients.
const ClientHeader = "Client-Name"

// AppendAnswer is the JSON answer to an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"`
}

// WireRecord is the JSON form of a Record; Data is encoded as base64.
type WireRecord struct {
	Offset     Offset `json:"offset"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Data       []byte `json:"data"`
}

// WireBatch is the JSON form of a Batch. It is the answer to a read and, with empty
// Records, the answer to a read of a trimmed offset.
type WireBatch struct {
	Records  []WireRecord `json:"records"`
	Next     Offset       `json:"next"`
	Earliest Offset       `json:"earliest"`
	End      Offset       `json:"end"`
}

// EncodeBatch converts a batch to its JSON form.
func EncodeBatch(batch Batch) WireBatch {
	wire := WireBatch{Next: batch.Next, Earliest: batch.Earliest, End: batch.End}
	wire.Records = make([]WireRecord, len(batch.Records))
	for i, record := range batch.Records {
		wire.Records[i] = WireRecord{record.Offset, record.Time.UnixMilli(), record.Data}
	}
	return wire
}

// DecodeBatch is the inverse of EncodeBatch, except that times are rounded down to
// milliseconds.
func DecodeBatch(wire WireBatch) Batch {
	batch := Batch{Next: wire.Next, Earliest: wire.Earliest, End: wire.End}
	batch.Records = make([]Record, len(wire.Records))
	for i, record := range wire.Records {
		batch.Records[i] = Record{record.Offset, time.UnixMilli(record.TimeUnixMS), record.Data}
	}
	return batch
}
