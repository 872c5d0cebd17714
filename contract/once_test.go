package contract

import (
	"testing"

	_ "bergamotreel/internal/fixedseed"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

var booking = Service{Name: "booking", Once: []CallPattern{{"POST", "/book"}, {"DELETE", "/slots/held"}}}

// Guards against at-most-once calls that run twice. A client may spell a path in
// another way that the backend server interprets as the same path. If the pattern did
// not match that spelling, a retry would repeat the booking.
func TestIsAtMostOnce(t *testing.T) {
	atMostOnce := []string{
		"/book", "/book/", "/book/42", "/book?x=1", "/book#f", "book", "//book", "/./book", "/x/../book",
		"/%62ook", "/%62%6Fok", "/%2562ook", "/%252562ook", "%2fbook", "/x%2f..%2fbook", "/x/%2e%2e/book",
		"/Book", "/BOOK/42", "/book;v=1", "/book;v=1/42", "/;a/book", `\book`, "/book%3fx=1", "/book%00",
		"/book/../stock", "/book%2f..%2fstock", "/%zz/../book",
	}
	for _, path := range atMostOnce {
		testkit.That(t, booking.IsAtMostOnce("POST", path) && booking.IsAtMostOnce("post", path), "POST %s should count as once", path)
	}
	repeatable := []string{"", "/", "/stock", "/bookshelf", "/book.json", "/boo", "/stock/book", "/stock?next=/book", "/book%", "/slots/held"}
	for _, path := range repeatable {
		testkit.That(t, !booking.IsAtMostOnce("POST", path), "POST %s should not count as once", path)
	}
	testkit.That(t, !booking.IsAtMostOnce("GET", "/book") && booking.IsAtMostOnce("DELETE", "/slots//held/7"), "method or second pattern")
	all := (Service{Once: []CallPattern{{"POST", "/"}}})
	testkit.That(t, all.IsAtMostOnce("POST", "/anything") && all.IsAtMostOnce("POST", ""), "the pattern / should cover every path")
}

// Checks random spellings of a path below a pattern. Each is one that some backend
// server interprets as that path.
func TestEquivalentSpellingsMatchPattern(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := "/slots/held/7"
		spelling := ""
		for _, b := range []byte(path) {
			spelling += rapid.SampledFrom(equivalentSpellings(b)).Draw(t, "spelling")
		}
		testkit.That(t, booking.IsAtMostOnce("DELETE", spelling), "%s does not match the pattern", spelling)
	})
}

func equivalentSpellings(b byte) []string {
	const hex = "0123456789abcdef"
	plain := string(b)
	escaped := "%" + string(hex[b>>4]) + string(hex[b&15])
	doubleEscaped := "%25" + escaped[1:]
	if b != '/' {
		return []string{plain, escaped, doubleEscaped}
	}
	return []string{plain, escaped, doubleEscaped, "//", "/./", "/x/../", "/x%2f%2e%2e/", ";p=1/", `\`}
}

func FuzzIsOnce(f *testing.F) {
	f.Add("/%62ook")
	f.Fuzz(func(t *testing.T, path string) {
		booking.IsAtMostOnce("POST", path)
		for _, candidate := range canonicalPaths(path) {
			testkit.That(t, candidate[0] == '/', "candidate %q of %q is not absolute", candidate, path)
		}
	})
}
