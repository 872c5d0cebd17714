package chunks_test

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"bergamotreel/internal/chunks"
)

// split splits random bytes, which do not compress, into many parts.
func split(t *testing.T, seed, upTo uint64) ([]byte, []chunks.Chunk) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	content := make([]byte, 1000)
	for i := range content {
		content[i] = byte(random.Uint32())
	}
	parts, err := chunks.Split(content, "w", upTo, 64)
	if err != nil {
		t.Fatal(err)
	}
	return content, parts
}

// Several VMs write snapshots at once; parts arrive interleaved, twice, and from
// a writer that failed before its last part. The newest complete snapshot must be
// found in any order, and an older one must never replace it.
func TestCollectorFindsNewestCompleteSnapshot(t *testing.T) {
	_, older := split(t, 1, 10)
	content, newer := split(t, 2, 20)
	_, incomplete := split(t, 3, 30)
	all := append(append(append(incomplete[1:len(incomplete):len(incomplete)], older...), newer...), newer...)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		var c chunks.Collector
		for _, part := range all {
			c.Add(part)
		}
		if got, err := chunks.Join(c.Newest()); err != nil || !bytes.Equal(got, content) {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, part := range older {
			if c.Add(part) {
				t.Fatal("an older snapshot replaced the newer one")
			}
		}
	}
}

// A part of the newest snapshot is corrupt, another writer has the same name, and
// parts have invalid numbers. The older complete snapshot must stay the newest.
func TestCorruptSnapshotDoesNotHideOlderCompleteOne(t *testing.T) {
	content, older := split(t, 1, 10)
	_, newer := split(t, 2, 20)
	newer[3].Data = bytes.Clone(newer[3].Data)
	newer[3].Data[0] ^= 1
	var c chunks.Collector
	for _, part := range append(older, newer...) {
		c.Add(part)
	}
	c.Add(chunks.Chunk{UpTo: 30, Part: 5, Parts: 5})
	c.Add(chunks.Chunk{UpTo: 30, Part: -1, Parts: 5})
	c.Add(chunks.Chunk{UpTo: 30, Parts: 1 << 30})
	if got, err := chunks.Join(c.Newest()); err != nil || !bytes.Equal(got, content) {
		t.Fatalf("older snapshot lost: %v", err)
	}
	if _, err := chunks.Join(older[1:]); err == nil {
		t.Fatal("joined a snapshot without its first part")
	}
}

// Snapshots of writers that failed before the last part must not exhaust the
// memory of readers, nor keep a later snapshot from being found.
func TestPartialSnapshotsAreBounded(t *testing.T) {
	var c chunks.Collector
	for upTo := range uint64(100) {
		_, parts := split(t, upTo, upTo+1)
		c.Add(parts[0])
	}
	content, last := split(t, 200, 200)
	for _, part := range last {
		c.Add(part)
	}
	if got, err := chunks.Join(c.Newest()); err != nil || !bytes.Equal(got, content) {
		t.Fatal(err)
	}
}
