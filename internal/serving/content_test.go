package serving

import (
	"encoding/json"
	"strings"
	"testing"
)

// The engine must get the caller's own seed, however its name is spelt, and one
// of ours only where there is none; all other members stay as they were.
func TestSeed(t *testing.T) {
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
		if err := json.Unmarshal([]byte(body), &before); err != nil {
			t.Fatal(err)
		}
		got := withSeed([]byte(body), "id")
		if err := json.Unmarshal(got, &after); err != nil {
			t.Fatalf("%s became %s: %v", body, got, err)
		}
		if own && string(got) != body || !own && len(after) != len(before)+1 {
			t.Errorf("%s became %s", body, got)
		}
		for name, value := range before {
			if string(after[name]) != string(value) {
				t.Errorf("%s: %s became %s", body, name, after[name])
			}
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
