package contract

import (
	"errors"
	"maps"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"bergamotreel/internal/testkit"
)

func TestSplitIsCanonical(t *testing.T) {
	one, err := Split("; first\n[service \"s\"]\n[model \"m\"]\nmemory=1GB ; small\n  checkpoint   =   m:1\n")
	testkit.OK(t, err)
	other, err := Split("[model \"m\"]\r\ncheckpoint = m:1\r\nmemory = 1GB\r\n[service \"s\"]\r\n; nothing\r\n")
	testkit.OK(t, err)
	want := map[string]string{
		`model "m"`:   "checkpoint = m:1\nmemory = 1GB\n",
		`service "s"`: emptySection,
	}
	testkit.NoDiff(t, want, one)
	testkit.NoDiff(t, want, other)
}

func TestJoinExamples(t *testing.T) {
	for _, name := range []string{"trinidad", "kathmandu"} {
		sections := testkit.Value(Split(readExample(t, name)))(t)
		goldie.New(t, goldie.WithNameSuffix(".ini")).Assert(t, name, []byte(Join(sections)))
	}
}

// The operators' reference page must list each key.
func TestReferencePageListsAllKeys(t *testing.T) {
	page := testkit.Value(os.ReadFile("../docs/operations/contracts.md"))(t)
	for kind, keys := range keyOrder {
		_, reference, found := strings.Cut(string(page), "\n### `["+kind)
		reference, _, _ = strings.Cut(reference, "\n###")
		for _, key := range keys {
			testkit.That(t, found && strings.Contains(reference, "\n| `"+key+"` |"),
				"docs/operations/contracts.md doesn't name %s of [%s]", key, kind)
		}
	}
}

func TestDiff(t *testing.T) {
	old := testkit.Value(Split(minimalContract))(t)
	new := maps.Clone(old)
	delete(new, `service "s"`)
	new[`model "n"`] = "checkpoint = n:1\nmemory = 1GB\n"
	new[`model "m"`] = "checkpoint = m:2\nmemory = 10GB\npriority = 5\n"
	new["customer"] = "name = c\n"
	want := []Change{
		{"customer", Changed, []KeyChange{{"memory", Removed, "100GB", ""}}},
		{`model "m"`, Changed, []KeyChange{{"checkpoint", Changed, "m:1", "m:2"}, {"priority", Added, "", "5"}}},
		{`model "n"`, Added, []KeyChange{{"checkpoint", Added, "", "n:1"}, {"memory", Added, "", "1GB"}}},
		{`service "s"`, Removed, nil},
	}
	testkit.NoDiff(t, want, Diff(old, new))
	changes := Diff(old, maps.Clone(old))
	testkit.That(t, len(changes) == 0, "no difference, but %+v", changes)
	wantChanged := maps.Clone(new)
	delete(wantChanged, `adapter "a"`)
	delete(wantChanged, `key "k"`)
	wantChanged[`service "s"`] = ""
	testkit.NoDiff(t, wantChanged, ChangedSections(old, new))
}

// Section names and texts from the log may be malformed, because any operator's program
// can write them. Each error must name its section.
func TestParseSectionsRejectsMalformed(t *testing.T) {
	for name, text := range map[string]string{
		"customer]\n[model": "", "customer\x00": "", "": "", "DEFAULT": "", " customer": "", "customer ": "",
		`model "m`: "", `model ""`: "", `model "a" "b"`: "", "customer": "[model \"m\"]\n", `service "x"`: "[service \"x\"]\n",
		`model "m"`: "checkpoint = m:1\nmemory = 1GB\n[key \"k\"]\n", "customer; x": "",
	} {
		_, err := ParseSections(map[string]string{name: text})
		var problem *Problem
		testkit.That(t, errors.As(err, &problem) && (problem.Section != "" || name == ""),
			"%q: got %v, want a problem with its section", name, err)
	}
}

// FuzzParse checks that any text gives either a contract or a Problem, that the
// canonical form of an accepted text parses to the same contract, and that the canonical
// form is stable.
func FuzzParse(f *testing.F) {
	f.Add(minimalContract)
	f.Add(readExample(f, "trinidad"))
	f.Add(readExample(f, "kathmandu"))
	f.Add("[customer]\nname = \"\"\"a\nb\"\"\"\nmemory = `1GB\n`\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse(text)
		problems := FindProblems(text)
		testkit.That(t, (err == nil) == (len(problems) == 0), "%v, but problems %v", err, problems)
		if err != nil {
			var problem *Problem
			testkit.That(t, errors.As(err, &problem) && !strings.ContainsAny(problem.Error(), "\n"),
				"got %q, want a *Problem on one line", err)
			return
		}
		sections, err := Split(text)
		testkit.OK(t, err)
		joined := Join(sections)
		again, err := Split(joined)
		if err != nil || !maps.Equal(sections, again) || Join(again) != joined {
			t.Fatalf("%v\n%s", err, cmp.Diff(sections, again))
		}
		reread, err := Parse(joined)
		if err != nil || !cmp.Equal(c, reread) {
			t.Errorf("%v\n%s", err, cmp.Diff(c, reread))
		}
	})
}

// FuzzParseSections checks that arbitrary sections, as the log may hold, always give the
// same result.
func FuzzParseSections(f *testing.F) {
	f.Add("customer", "name = c\nmemory = 1GB\n", `model "m"`, "checkpoint = m:1\nmemory = 1GB\n")
	f.Fuzz(func(t *testing.T, name, text, otherName, otherText string) {
		sections := map[string]string{name: text, otherName: otherText}
		c, err := ParseSections(sections)
		again, errAgain := ParseSections(maps.Clone(sections))
		testkit.That(t, cmp.Equal(c, again) && (err == nil) == (errAgain == nil) && (err == nil || err.Error() == errAgain.Error()),
			"two results: %v, %v", err, errAgain)
	})
}
