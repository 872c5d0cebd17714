package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlock is the bytes of prompt that each further hash covers: some 64
	// tokens, the order of an engine's cache block.
	PrefixBlock = 256
	// MaxPrefixes bounds the hashes of one prompt to its first 16 KiB.
	MaxPrefixes = 64
)

// Prefixes hashes the prompt's prefixes of whole blocks, shortest first. Each
// hash covers the unit and all bytes up to its end, so equal hashes mean equal
// prefixes on the same unit.
func Prefixes(unit string, prompt []byte) []uint64 {
	blocks := min(len(prompt)/PrefixBlock, MaxPrefixes)
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(unit)
	var link [8]byte
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], hash)
		_, _ = digest.Write(link[:])
		_, _ = digest.Write(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hash = digest.Sum64()
		hashes = append(hashes, hash)
	}
	return hashes
}
