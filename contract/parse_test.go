package contract

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/internal/testkit"
)

func readExample(t testing.TB, name string) string {
	t.Helper()
	text := testkit.Value(os.ReadFile("../docs/examples/" + name + ".ini"))(t)
	return string(text)
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"trinidad", "kathmandu"} {
		c := testkit.Value(Parse(readExample(t, name)))(t)
		testkit.That(t, c.Customer == name, "customer %q, want %q", c.Customer, name)
	}
}

func TestExampleValues(t *testing.T) {
	c := testkit.Value(Parse(readExample(t, "trinidad")))(t)
	key, ok := c.FindKey(HashKey("trinidad-overnight-key"))
	testkit.That(t, ok && key.Name == "overnight" && key.Priority == -50, "overnight key: %+v, %t", key, ok)
	want := Unit{
		Name: "shop-12", Base: "clerk-7b", Checkpoint: "shop-12:v5", MemoryBytes: 200e6,
		MaxReplicas: 2, MaxWait: 8 * time.Second, Priority: 20, Customer: "trinidad",
	}
	unit, ok := c.FindUnit("shop-12")
	testkit.That(t, ok && unit == want, "unit: %t %s", ok, cmp.Diff(want, unit))
	slices.Reverse(c.Adapters)
	for _, name := range []string{"shop-12", "shop-47", "clerk-7b", "season-34b"} {
		unit, ok := c.FindUnit(name)
		testkit.That(t, ok && unit.Name == name, "unsorted contract: %s: %+v, %t", name, unit, ok)
	}
	s, ok := c.FindService("booking")
	testkit.That(t, ok && len(s.Once) == 3, "service: %+v, %t", s, ok)
}

// minimalContract is the smallest contract with one section of each kind.
const minimalContract = `[customer]
name = c
memory = 100GB
[key "k"]
sha256 = 0000000000000000000000000000000000000000000000000000000000000001
[model "m"]
checkpoint = m:1
memory = 10GB
[adapter "a"]
base = m
checkpoint = a:1
memory = 1GB
[service "s"]
`

func TestDefaults(t *testing.T) {
	c := testkit.Value(Parse(minimalContract))(t)
	want := &Contract{
		Customer: "c", MemoryBytes: 100e9, Weight: DefaultWeight, RequestsPerSecond: DefaultRequestsPerSecond,
		Burst: DefaultBurst, MaxQueued: DefaultMaxQueued,
		Keys:     []Key{{Name: "k", SHA256: strings.Repeat("0", 63) + "1"}},
		Models:   []Model{{Name: "m", Checkpoint: "m:1", MemoryBytes: 10e9, MaxReplicas: 1, MaxWait: DefaultModelMaxWait}},
		Adapters: []Adapter{{Name: "a", Base: "m", Checkpoint: "a:1", MemoryBytes: 1e9, MaxReplicas: 1, MaxWait: DefaultModelMaxWait}},
		Services: []Service{{Name: "s", MaxWait: DefaultServiceMaxWait}},
	}
	testkit.NoDiff(t, want, c)
}

func TestParseErrors(t *testing.T) {
	hash := strings.Repeat("0", 63) + "1"
	tests := []struct{ name, old, new, want string }{
		{"unknown section", `[service "s"]`, "[servise \"s\"]", `[servise "s"]: unknown section`},
		{"no customer", "[customer]\nname = c\nmemory = 100GB\n", "", `[customer]: missing`},
		{"named customer", "[customer]", `[customer "c"]`, `[customer "c"]: the customer's section has no name in quotes; its name is a key`},
		{"no quotes", `[model "m"]`, `[model m]`, `[model m]: want a name in quotes, as model "NAME"`},
		{"bad name", `[model "m"]`, `[model "m/1"]`, `[model "m/1"]: name "m/1" may hold only letters, digits and "-_."`},
		{"long name", `[model "m"]`, `[model "` + strings.Repeat("m", 65) + `"]`, `name longer than 64 characters`},
		{"misspelt key", "memory = 100GB", "memory = 100GB\nwait = 1s", `[customer] wait: unknown key`},
		{"no memory", "memory = 100GB", "", `[customer] memory: missing`},
		{"empty value", "memory = 100GB", "memory =", `[customer] memory: missing`},
		{"no unit", "memory = 100GB", "memory = 100", `[customer] memory: bad size "100": want a number with a unit, as 16GB or 512MiB`},
		{"negative", "memory = 100GB", "memory = -1GB", `[customer] memory: bad size "-1GB"`},
		{"overflow", "memory = 100GB", "memory = 99999999TB", `[customer] memory: bad size "99999999TB": too large`},
		{"out of range", "memory = 100GB", "memory = 5000TB", `[customer] memory: size 5000TB is not between 1B and 1024TiB`},
		{"bad weight", "memory = 100GB", "memory = 100GB\nweight = 0", `[customer] weight: 0 is not between 1 and 1000`},
		{"bad rate", "memory = 100GB", "memory = 100GB\nrequests_per_second = NaN", `[customer] requests_per_second: bad number "NaN"`},
		{"bad wait", "checkpoint = m:1", "checkpoint = m:1\nmax_wait = 8", `[model "m"] max_wait: bad duration "8"`},
		{"long wait", "checkpoint = m:1", "checkpoint = m:1\nmax_wait = 240h", `[model "m"] max_wait: duration 240h is not between 1ms and 24h0m0s`},
		{"bad replicas", "checkpoint = m:1", "checkpoint = m:1\nmax_replicas = one", `[model "m"] max_replicas: bad number "one": want a whole number`},
		{"min above max", "checkpoint = m:1", "checkpoint = m:1\nmin_replicas = 2", `[model "m"] min_replicas: 2 is more than max_replicas (1)`},
		{"standby above max", "checkpoint = m:1", "checkpoint = m:1\nstandby_per_domain = 2", `[model "m"] standby_per_domain: 2 is more than max_replicas (1)`},
		{"min above memory", "checkpoint = m:1", "checkpoint = m:1\nmin_replicas = 11\nmax_replicas = 11", `[model "m"] min_replicas: the least replicas of all models take more than the customer's memory`},
		{"model too large", "memory = 10GB", "memory = 101GB", `[model "m"] memory: one replica takes more than the customer's memory`},
		{"adapter too large", "memory = 1GB", "memory = 91GB", `[adapter "a"] memory: one replica and its base take more than the customer's memory`},
		{"bad checkpoint", "checkpoint = m:1", "checkpoint = m 1", `[model "m"] checkpoint: checkpoint "m 1" may hold only`},
		{"no base", "base = m\n", "", `[adapter "a"] base: missing`},
		{"unknown base", "base = m\n", "base = n\n", `[adapter "a"] base: no model "n" in this contract`},
		{"base is an adapter", "base = m\n", "base = a\n", `[adapter "a"] base: no model "a" in this contract`},
		{"model's name", `[adapter "a"]`, `[adapter "m"]`, `[adapter "m"]: a model has this name`},
		{"short hash", hash, "12ab", `[key "k"] sha256: want 64 lower-case hex digits`},
		{"same hash", `[model "m"]`, "[key \"l\"]\nsha256 = " + hash + "\n[model \"m\"]", `[key "l"] sha256: same hash as [key "k"]`},
		{"once without path", `[service "s"]`, "[service \"s\"]\nonce = POST", `[service "s"] once: bad call "POST"`},
		{"once method", `[service "s"]`, "[service \"s\"]\nonce = post /b", `[service "s"] once: bad call post /b: a method has capital letters only`},
		{"once path", `[service "s"]`, "[service \"s\"]\nonce = POST b", `a path starts with /`},
		{"once unclean path", `[service "s"]`, "[service \"s\"]\nonce = POST /b//c", `write the path in its plain form`},
		{"once twice", `[service "s"]`, "[service \"s\"]\nonce = POST /b, POST /b", `[service "s"] once: POST /b stands twice`},
		{"section twice", `[service "s"]`, "[model \"m\"]\n", `[model "m"]: stands twice`},
		{"key twice", "base = m\n", "base = m\nbase = m\n", `[adapter "a"] base: stands twice`},
		{"key twice, one empty", "base = m\n", "base = m\nbase =\n", `[adapter "a"] base: stands twice`},
		{"key before sections", "[customer]", "weight = 1\n[customer]", `weight: stands before the first section`},
		{"default section", "[customer]", "[DEFAULT]\nweight = 1\n[customer]", `line 1: unknown section DEFAULT`},
		{"text after header", "[customer]", "[customer] ; ours", `line 1: text after ]`},
		{"no key", "base = m\n", "base\n", `not INI: `},
		{"multi-line", "base = m\n", "base = \"\"\"m\nn\"\"\"\n", `[adapter "a"] base: goes over several lines`},
		{"control character", "base = m\n", "base = m\x00\n", `control character U+0000`},
		{"not UTF-8", "base = m\n", "base = \xff\n", `not UTF-8`},
		{"too long", "[customer]", strings.Repeat("; \n", 2<<20) + "[customer]", `longer than 4194304 bytes`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(minimalContract, test.old, test.new, 1)
			_, err := Parse(text)
			var problem *Problem
			testkit.Need(t, errors.As(err, &problem), "got %v, want a *Problem", err)
			testkit.That(t, Error.Has(err) && strings.Contains(err.Error(), test.want), "got  %v\nwant %s", err, test.want)
		})
	}
}
