package contract

import (
	"testing"

	_ "bergamotreel/internal/fixedseed"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

var booking = Service{Name: "booking", Once: []CallPattern{{"POST", "/book"}, {"DELETE", "/slots/held"}}}

// A caller, or a careless client library, spells the path of a booking in
// another way. The backend server reads it as the same path and books. If the
// pattern missed it, a retry would book twice: two bands, one tenor pan.
func TestIsOnce(t *testing.T) {
	once := []string{
		"/book", "/book/", "/book/42", "/book?x=1", "/book#f", "book", "//book", "/./book", "/x/../book",
		"/%62ook", "/%62%6Fok", "/%2562ook", "/%252562ook", "%2fbook", "/x%2f..%2fbook", "/x/%2e%2e/book",
		"/Book", "/BOOK/42", "/book;v=1", "/book;v=1/42", "/;a/book", `\book`, "/book%3fx=1", "/book%00",
		"/book/../stock", "/book%2f..%2fstock", "/%zz/../book",
	}
	for _, path := range once {
		testkit.That(t, booking.IsAtMostOnce("POST", path) && booking.IsAtMostOnce("post", path), "POST %s should count as once", path)
	}
	often := []string{"", "/", "/stock", "/bookshelf", "/book.json", "/boo", "/stock/book", "/stock?next=/book", "/book%", "/slots/held"}
	for _, path := range often {
		testkit.That(t, !booking.IsAtMostOnce("POST", path), "POST %s should not count as once", path)
	}
	testkit.That(t, !booking.IsAtMostOnce("GET", "/book") && booking.IsAtMostOnce("DELETE", "/slots//held/7"), "method or second pattern")
	all := (Service{Once: []CallPattern{{"POST", "/"}}})
	testkit.That(t, all.IsAtMostOnce("POST", "/anything") && all.IsAtMostOnce("POST", ""), "the pattern / should cover every path")
}

// Random spellings of a path under a pattern, each of them one that some backend
// server reads as the path itself.
func TestNoSpellingDodgesAPattern(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := "/slots/held/7"
		spelling := ""
		for _, b := range []byte(path) {
			spelling += rapid.SampledFrom(spellingsOf(b)).Draw(t, "spelling")
		}
		testkit.That(t, booking.IsAtMostOnce("DELETE", spelling), "%s dodges the pattern", spelling)
	})
}

func spellingsOf(b byte) []string {
	const hex = "0123456789abcdef"
	plain := string(b)
	escaped := "%" + string(hex[b>>4]) + string(hex[b&15])
	twice := "%25" + escaped[1:]
	if b != '/' {
		return []string{plain, escaped, twice}
	}
	return []string{plain, escaped, twice, "//", "/./", "/x/../", "/x%2f%2e%2e/", ";p=1/", `\`}
}

func FuzzIsOnce(f *testing.F) {
	f.Add("/%62ook")
	f.Fuzz(func(t *testing.T, path string) {
		booking.IsAtMostOnce("POST", path)
		for _, reading := range canonicalPaths(path) {
			testkit.That(t, reading[0] == '/', "reading %q of %q isn't absolute", reading, path)
		}
	})
}
