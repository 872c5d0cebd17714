package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Answer is the stored answer of a call.
type Answer struct {
	// Status is the HTTP status, 0 when the call may have run and its answer was
	// lost.
	Status int `cbor:"1,keyasint,omitempty"`
	// Header holds the few headers that a repeated answer needs, by name.
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Body   []byte            `cbor:"3,keyasint,omitempty"`
	// BodySHA256 stands for a body above MaxBodyBytes, in hex.
	BodySHA256 string `cbor:"4,keyasint,omitempty"`
}

// MaxBodyBytes bounds a stored body: an answer above it is known only by its
// hash, and a repeat is told that the call ran.
const MaxBodyBytes = 64 << 10

// Unknown tells whether the answer was lost after the call was sent.
func (a Answer) IsUnknown() bool { return a.Status == 0 }

// MakeAnswer makes the stored form of an answer.
func MakeAnswer(status int, header map[string]string, body []byte) Answer {
	a := Answer{Status: status, Header: header, Body: body}
	if len(body) > MaxBodyBytes {
		sum := sha256.Sum256(body)
		a.Body, a.BodySHA256 = nil, hex.EncodeToString(sum[:])
	}
	return a
}

// bare tells whether the status says all.
func (a Answer) isStatusOnly() bool {
	return len(a.Header) == 0 && len(a.Body) == 0 && a.BodySHA256 == ""
}

// words are frequent header names and values, written as their index. New ones
// go to the end: a record of today must read the same for ever. There is room
// for maxWords, so that the lengths of other texts don't move.
var dictionary = []string{
	"Content-Type", "Location", "application/json", "application/json; charset=utf-8", "text/plain; charset=utf-8",
}

const maxDictionarySize = 64

// appendAnswer appends the answer's encoding, which tells its own end.
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

// answer reads what appendAnswer wrote. Its body shares the reader's bytes.
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
