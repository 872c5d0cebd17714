// Package wire encodes the records and snapshots of the streams as CBOR (RFC 8949). CBOR is
// compact, which matters because every entry VM reads every record. The encoding of records
// and snapshots is deterministic, so that equal states have equal bytes. Messages between
// entry VMs use CBOR too, without deterministic encoding.
package wire

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("wire")

// maxSnapshotElements bounds the entries of an array or map in a snapshot. Records use the
// library's default bound of 131,072.
const maxSnapshotElements = 1 << 26

// maxMessageElements bounds the entries of an array or map in a message.
const maxMessageElements = 1 << 20

var (
	deterministicEncoder = must(cbor.CoreDetEncOptions().EncMode())
	recordDecoder        = must(decOptions(0).DecMode())
	snapshotDecoder      = must(decOptions(maxSnapshotElements).DecMode())
	messageEncoder       = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	messageDecoder       = must(decOptions(maxMessageElements).DecMode())
)

// decOptions returns the options for decoding arrays and maps of up to the given number of
// elements. Duplicate keys are rejected because two readers could interpret them differently.
// Invalid UTF-8 is accepted: an invalid byte from a caller in one proposal must not make the
// record unreadable for the other proposals in it.
func decOptions(elements int) cbor.DecOptions {
	return cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		UTF8:             cbor.UTF8DecodeInvalid,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: elements,
		MaxMapPairs:      elements,
	}
}

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a record or a snapshot.
func Marshal(v any) ([]byte, error) {
	data, err := deterministicEncoder.Marshal(v)
	return data, Error.Wrap(err)
}

// UnmarshalRecord decodes a record. It fails on corrupt, truncated or surplus data and
// ignores unknown fields.
func UnmarshalRecord(data []byte, v any) error {
	return Error.Wrap(recordDecoder.Unmarshal(data, v))
}

// UnmarshalSnapshot decodes a snapshot, which may be large.
func UnmarshalSnapshot(data []byte, v any) error {
	return Error.Wrap(snapshotDecoder.Unmarshal(data, v))
}

// AppendMessage encodes a value of a message and appends it to the buffer.
func AppendMessage(to *bytes.Buffer, v any) error {
	return Error.Wrap(messageEncoder.NewEncoder(to).Encode(v))
}

// UnmarshalFirst decodes the first value of a message and returns the remaining bytes.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) {
	rest, err = messageDecoder.UnmarshalFirst(data, v)
	return rest, Error.Wrap(err)
}
