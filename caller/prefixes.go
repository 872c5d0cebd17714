package caller

import "github.com/cespare/xxhash/v2"

const (
	prefixBlock     = 256
	maxPrefixBlocks = 64
)

// prefixes hashes the prompt's prefixes in steps of prefixBlock bytes.
func prefixes(unit string, text []byte) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(unit)
	var out []uint64
	for len(text) >= prefixBlock && len(out) < maxPrefixBlocks {
		_, _ = digest.Write(text[:prefixBlock])
		out = append(out, digest.Sum64())
		text = text[prefixBlock:]
	}
	return out
}
