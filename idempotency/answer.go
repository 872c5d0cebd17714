package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Answer is the stored answer of a call.
type Answer struct {
	// Status is the HTTP status. It is 0 if the call may have run and its
	// answer was lost.
	Status int `cbor:"1,keyasint,omitempty"`
	// Header holds the few headers that a repeated answer needs, by name.
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
	// BodySHA256 is the hash in hex of a body larger than MaxBodyBytes, which
	// is not stored.
	BodySHA256 string `cbor:"4,keyasint,omitempty"`
}

// MaxBodyBytes bounds a stored body. Of a larger one only the hash is stored,
// and a repeat is told that the call ran.
const MaxBodyBytes = 64 << 10

// IsUnknown reports whether the call was sent and its answer was lost.
func (a Answer) IsUnknown() bool { return a.Status == 0 }

// MakeAnswer returns the stored form of an answer.
func MakeAnswer(status int, header map[string]string, body []byte) Answer {
	a := Answer{Status: status, Header: header, Body: body}
	if len(body) > MaxBodyBytes {
		sum := sha256.Sum256(body)
		a.Body, a.BodySHA256 = nil, hex.EncodeToString(sum[:])
	}
	return a
}

// isStatusOnly reports whether the answer consists of its status alone.
func (a Answer) isStatusOnly() bool {
	return len(a.Header) == 0 && len(a.Body) == 0 && a.BodySHA256 == ""
}

// dictionary lists frequent header names and values, which are encoded as their
// index. New ones must be appended, because records and snapshots written
// earlier must decode the same forever.
var dictionary = []string{
	"Content-Type", "Location", "application/json", "application/json; charset=utf-8", "text/plain; charset=utf-8",
}

// maxDictionarySize is the number of codes reserved for the dictionary. The
// length of any other text is encoded with this number added, so that the
// encoding of lengths stays the same when the dictionary grows.
const maxDictionarySize = 64

// appendAnswer appends the answer's encoding, which is self-delimiting.
func appendAnswer(data []byte, a Answer) []byte {
	data = appendUint(data, uint64(a.Status))
	data = appendUint(data, uint64(len(a.Header)))
	for _, name := range slices.Sorted(maps.Keys(a.Header)) {
		data = appendDictionaryText(data, name)
		data = appendDictionaryText(data, a.Header[name])
	}
	data = appendText(data, a.Body)
	return appendText(data, a.BodySHA256)
}

func appendDictionaryText(data []byte, text string) []byte {
	if i := slices.Index(dictionary, text); i >= 0 {
		return appendUint(data, uint64(i))
	}
	data = appendUint(data, uint64(len(text)+maxDictionarySize))
	return append(data, text...)
}

// answer decodes what appendAnswer encoded. The body shares the reader's bytes.
func (r *reader) answer() Answer {
	a := Answer{Status: int(r.uint())}
	headers := r.uint()
	if headers > uint64(len(r.data)) {
		r.failed = true
		return a
	}
	if headers > 0 {
		a.Header = make(map[string]string, headers)
	}
	for range headers {
		name := r.dictionaryText()
		a.Header[name] = r.dictionaryText()
	}
	if body := r.text(); len(body) > 0 {
		a.Body = body
	}
	a.BodySHA256 = string(r.text())
	return a
}

func (r *reader) dictionaryText() string {
	n := r.uint()
	if n < maxDictionarySize {
		if n >= uint64(len(dictionary)) {
			r.failed = true
			return ""
		}
		return dictionary[n]
	}
	return string(r.take(n - maxDictionarySize))
}
