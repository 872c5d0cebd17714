package serving

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// choicesKey begins the part of a chunk that holds the answer's text.
var choicesKey = []byte(`"choices"`)

// contentSum hashes what a chunk says, without its envelope, in which engines
// may write their own name or time.
func contentSum(data []byte) uint64 {
	return xxhash.Sum64(content(data))
}

func content(data []byte) []byte {
	if i := bytes.Index(data, choicesKey); i >= 0 {
		return data[i:]
	}
	return data
}

// withSeed fixes the seed of the sampling if the caller left it open, so that
// another engine can repeat the answer after a failure in the middle of it.
func withSeed(body []byte, id string) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	if _, set := fields["seed"]; set || fields == nil {
		return body
	}
	const seedBits = 31 // engines take a positive 32-bit number
	seed, err := json.Marshal(xxhash.Sum64String(id) >> (64 - seedBits))
	if err != nil {
		return body
	}
	fields["seed"] = seed
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
