// Package wire encodes the records and snapshots of the streams as CBOR (RFC
// 8949): compact, because every entry VM reads every record, and with one
// encoding only for each value, so that equal states have equal bytes. Messages
// between entry VMs are encoded by it too, without that last property.
package wire

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("wire")

// maxElements bounds the entries of one array or map in a snapshot. A record
// keeps the library's own bound of 131,072.
const maxElements = 1 << 26

// maxMessageElements bounds those of a message.
const maxMessageElements = 1 << 20

var (
	encoder  = must(cbor.CoreDetEncOptions().EncMode())
	records  = must(decOptions(0).DecMode())
	snapshot = must(decOptions(maxElements).DecMode())
	sending  = must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())
	received = must(decOptions(maxMessageElements).DecMode())
)

// decOptions refuses duplicate keys, which two readers could take differently.
// Text that is not UTF-8 is taken as it is: a caller's odd byte in one proposal
// must not make the record unreadable for the others in it.
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
	data, err := encoder.Marshal(v)
	return data, Error.Wrap(err)
}

// UnmarshalRecord decodes a record. It fails on corrupt, truncated or surplus
// data and passes over fields that it doesn't know.
func UnmarshalRecord(data []byte, v any) error {
	return Error.Wrap(records.Unmarshal(data, v))
}

// UnmarshalSnapshot decodes a snapshot, which may be large.
func UnmarshalSnapshot(data []byte, v any) error {
	return Error.Wrap(snapshot.Unmarshal(data, v))
}

// AppendMessage encodes a part of a message behind those before.
func AppendMessage(to *bytes.Buffer, v any) error {
	return Error.Wrap(sending.NewEncoder(to).Encode(v))
}

// CutMessage decodes the first part of a message and returns the rest.
func UnmarshalFirst(data []byte, v any) (rest []byte, err error) {
	rest, err = received.UnmarshalFirst(data, v)
	return rest, Error.Wrap(err)
}
