package serving

import (
	"encoding/json"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// Guards against replacing the caller's seed, however its name is escaped. A seed is
// added only if there is none; all other members stay unchanged.
func TestCallerSeedIsKept(t *testing.T) {
	for body, own := range map[string]bool{
		`{"model":"m"}`:          false,
		" {\n\"model\" : \"m\"}": false,
		`{"messages":[{"content":"a \"seed\" of doubt"}]}`:         false,
		`{"messages":[{"content":"\u0928\u0947"}],"x":{"seed":1}}`: false,
		`{}`:                 false,
		`{"seed":7,"a":1}`:   true,
		`{"\u0073eed":7}`:    true,
		`{"se\u0065d":null}`: true,
	} {
		var before, after map[string]json.RawMessage
		testkit.OK(t, json.Unmarshal([]byte(body), &before))
		got := withSeed([]byte(body), "id")
		err := json.Unmarshal(got, &after)
		testkit.Need(t, err == nil, "%s became %s: %v", body, got, err)
		testkit.That(t, (!own || string(got) == body) && (own || len(after) == len(before)+1), "%s became %s", body, got)
		for name, value := range before {
			testkit.That(t, string(after[name]) == string(value), "%s: %s became %s", body, name, after[name])
		}
	}
	for _, body := range []string{`null`, `[1]`, `{`} {
		if got := withSeed([]byte(body), "id"); string(got) != body {
			t.Errorf("%s became %s", body, got)
		}
	}
}

func BenchmarkWithSeed(b *testing.B) {
	body := []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("a word ", 600) + `"}]}`)
	for b.Loop() {
		withSeed(body, "id")
	}
}
