package platformlog

import "time"

// ClientHeader is the optional request header that names the client, so that
// the log can tell its callers apart.
const ClientHeader = "Client-Name"

// AppendAnswer is the JSON answer to an append.
type AppendAnswer struct {
	Offset Offset `json:"offset"`
}

// WireRecord is a Record in JSON; Data goes as base64.
type WireRecord struct {
	Offset     Offset `json:"offset"`
	TimeUnixMS int64  `json:"time_unix_ms"`
	Data       []byte `json:"data"`
}

// WireBatch is a Batch in JSON: the answer to a read, and with Records empty
// the answer to a read of a trimmed offset.
type WireBatch struct {
	Records  []WireRecord `json:"records"`
	Next     Offset       `json:"next"`
	Earliest Offset       `json:"earliest"`
	End      Offset       `json:"end"`
}

// EncodeBatch gives a batch its JSON form.
func EncodeBatch(batch Batch) WireBatch {
	wire := WireBatch{Next: batch.Next, Earliest: batch.Earliest, End: batch.End}
	wire.Records = make([]WireRecord, len(batch.Records))
	for i, record := range batch.Records {
		wire.Records[i] = WireRecord{record.Offset, record.Time.UnixMilli(), record.Data}
	}
	return wire
}

// DecodeBatch undoes EncodeBatch, to the millisecond.
func DecodeBatch(wire WireBatch) Batch {
	batch := Batch{Next: wire.Next, Earliest: wire.Earliest, End: wire.End}
	batch.Records = make([]Record, len(wire.Records))
	for i, record := range wire.Records {
		batch.Records[i] = Record{record.Offset, time.UnixMilli(record.TimeUnixMS), record.Data}
	}
	return batch
}
