package routing

import (
	"bytes"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const (
	cacheEngines  = 20
	cacheBlocks   = 400 // capacity of an engine; all sessions together have over 4000
	cacheSessions = 300
	cacheTurns    = 3000
	cacheInFlight = 40 // a quarter of all slots
)

// engineCache is an engine's prefix cache, which evicts the least recently used
// blocks.
type engineCache struct {
	blocks map[uint64]bool
	order  []uint64
}

// serve returns how many of the first blocks are cached, and caches all of them.
func (c *engineCache) serve(prefixes []uint64) (hits int) {
	for hits < len(prefixes) && c.blocks[prefixes[hits]] {
		hits++
	}
	c.order = slices.DeleteFunc(c.order, func(p uint64) bool { return slices.Contains(prefixes, p) })
	c.order = append(c.order, prefixes...)
	c.order = c.order[max(0, len(c.order)-cacheBlocks):]
	clear(c.blocks)
	for _, p := range c.order {
		c.blocks[p] = true
	}
	return hits
}

// hitRate simulates sessions whose prompts start with a common system prompt and
// grow by some blocks each turn. It returns the share of blocks found cached.
func hitRate(pick func(r *Router, now time.Time, prefixes []uint64, list []Candidate) string) float64 {
	rng := rand.New(rand.NewSource(1))
	routers := []*Router{New(Config{}, rand.New(rand.NewSource(2))), New(Config{}, rand.New(rand.NewSource(3)))}
	list, caches := testCandidates(cacheEngines), map[string]*engineCache{}
	for i := range list {
		caches[list[i].Engine] = &engineCache{blocks: map[uint64]bool{}}
	}
	system := bytes.Repeat([]byte("s"), 4*PrefixBlockSize)
	prompts := make([][]byte, cacheSessions)
	hits, total := 0, 0
	var ends []func() // of the requests in flight, oldest first
	for i := range cacheTurns {
		now, at := start.Add(time.Duration(i)*100*time.Millisecond), rng.Intn(cacheSessions)
		if prompts[at] == nil || len(prompts[at]) > 24*PrefixBlockSize {
			prompts[at] = bytes.Clone(system)
		}
		turn := make([]byte, 4*PrefixBlockSize)
		rng.Read(turn)
		prompts[at] = append(prompts[at], turn...)
		prefixes := HashPrefixes("m", prompts[at])
		// The load balancer sends most requests of a session to the same router.
		r := routers[(at+rng.Intn(20)/19)%2]
		engine := pick(r, now, prefixes, list)
		r.RecordStart(now, engine, "m", prefixes)
		hits += caches[engine].serve(prefixes)
		total += len(prefixes)
		ends = append(ends, func() { r.RecordFinish(now, engine, Result{OK: true}) })
		if len(ends) > cacheInFlight {
			ends[0]()
			ends = ends[1:]
		}
	}
	return float64(hits) / float64(total)
}

// Guards against turns of a conversation that are sent to an engine other than the
// one of the previous turn, the only one that has the prompt cached. The caller then
// waits for the prefill of the whole prompt.
func TestConversationsReuseCachedPrefix(t *testing.T) {
	router := hitRate(func(r *Router, now time.Time, prefixes []uint64, list []Candidate) string {
		choice, _ := r.Pick(now, Query{Unit: "m", Pool: "m", Domain: "a", Prefixes: prefixes}, list)
		return choice.Engine
	})
	rng := rand.New(rand.NewSource(4))
	random := hitRate(func(_ *Router, _ time.Time, _ []uint64, list []Candidate) string {
		return list[rng.Intn(len(list))].Engine
	})
	t.Logf("blocks found cached: router %.0f%%, random %.0f%%", 100*router, 100*random)
	testkit.That(t, router >= 2*random, "the router finds %.2f of the blocks cached, random %.2f", router, random)
}

// TestHashPrefixes checks that the hashes of two prefixes of whole blocks are equal
// exactly if their units and bytes are.
func TestHashPrefixes(t *testing.T) {
	text := bytes.Repeat([]byte("a"), 3*PrefixBlockSize+10)
	other := bytes.Clone(text)
	other[PrefixBlockSize] = 'b'
	one, two, adapter := HashPrefixes("m", text), HashPrefixes("m", other), HashPrefixes("n", text)
	testkit.That(t, len(one) == 3 && one[0] == two[0] && one[1] != two[1] && one[2] != two[2] && one[0] != adapter[0],
		"got %x, %x and %x", one, two, adapter)
	testkit.Equal(t, "hashes of a long prompt", len(HashPrefixes("m", make([]byte, 100*PrefixBlockSize))), MaxPromptPrefixes)
}

// TestCacheEvents checks that an engine's events update the prefix index: a prompt
// cached for another router is found, and an evicted prompt or one of a restarted
// engine is no longer preferred.
func TestCacheEvents(t *testing.T) {
	prompt := HashPrefixes("m", make([]byte, 8*PrefixBlockSize))
	list := testCandidates(8)
	query := Query{Unit: "m", Pool: "m", Domain: "a", Prefixes: prompt}
	reason := func(r *Router) string {
		choice, _ := r.Pick(start, query, list)
		return choice.Reason + " " + choice.Engine
	}
	r := New(Config{MaxPrefixes: 16}, rand.New(rand.NewSource(1)))
	r.ApplyCacheEvent("e5", "m", prompt[7], false)
	testkit.Equal(t, "after the event", reason(r), "prefix e5")
	r.ApplyCacheEvent("e5", "m", prompt[7], true)
	got := reason(r)
	testkit.That(t, got[:6] != "prefix", "after the eviction: %s", got)
	r.ApplyCacheEvent("e5", "m", prompt[7], false)
	r.Forget("e5")
	got = reason(r)
	testkit.That(t, got[:6] != "prefix", "after the restart: %s", got)
	for i := range 1000 {
		r.ApplyCacheEvent("e1", "m", uint64(i), false)
	}
	testkit.Equal(t, "remembered prefixes, after more than the bound", len(r.prefixes.entries), 16)
}
