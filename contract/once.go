package contract

import (
	"path"
	"slices"
	"strings"
)

// maxDecodings bounds how often a path is percent-decoded. A backend server decodes
// once, and twice behind another proxy; four leaves a margin.
const maxDecodings = 4

// IsAtMostOnce reports whether a call of the service must not be repeated. path is
// the path within the service and may end with a query.
//
// A caller could bypass a pattern with another spelling of the same path, such as
// //book or %62ook, and have a booking run twice. How a backend server interprets
// paths is not known here, so a call is at-most-once if any usual interpretation of
// its path matches a pattern. A false match costs little: the call is not retried.
func (s Service) IsAtMostOnce(method, path string) bool {
	for _, pattern := range s.Once {
		if !strings.EqualFold(method, pattern.Method) {
			continue
		}
		if slices.ContainsFunc(canonicalPaths(path), pattern.matches) {
			return true
		}
	}
	return false
}

// matches reports whether a canonical path equals the pattern's path or lies below
// it. It ignores case, because some backend servers do.
func (p CallPattern) matches(canonicalPath string) bool {
	if p.Path == "/" {
		return true
	}
	if len(canonicalPath) < len(p.Path) || !strings.EqualFold(canonicalPath[:len(p.Path)], p.Path) {
		return false
	}
	return len(canonicalPath) == len(p.Path) || canonicalPath[len(p.Path)] == '/'
}

// canonicalPaths returns the usual interpretations of a path, without duplicates.
// Each round of percent-decoding gives two: one with "." and ".." resolved, and one
// with only empty and "." segments dropped, because a backend server may match a
// prefix before it resolves "..".
func canonicalPaths(raw string) []string {
	raw, _, _ = strings.Cut(raw, "?")
	var candidates []string
	add := func(candidate string) {
		if !slices.Contains(candidates, candidate) {
			candidates = append(candidates, candidate)
		}
	}
	for range maxDecodings {
		plain := stripNonPath(raw)
		add(path.Clean(plain))
		add(dropEmptySegments(plain))
		decoded := decodeEscapes(raw)
		if decoded == raw {
			break
		}
		raw = decoded
	}
	return candidates
}

// stripNonPath drops what some backend servers do not treat as part of the path:
// everything from the first "?", "#" or NUL on, and the parameters ";..." of each
// segment. It turns backslashes into slashes.
func stripNonPath(raw string) string {
	raw = strings.ReplaceAll(raw, `\`, "/")
	if end := strings.IndexAny(raw, "?#\x00"); end >= 0 {
		raw = raw[:end]
	}
	segments := strings.Split(raw, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return "/" + strings.Join(segments, "/")
}

func dropEmptySegments(plain string) string {
	segments := strings.Split(plain, "/")
	segments = slices.DeleteFunc(segments, func(s string) bool { return s == "" || s == "." })
	return "/" + strings.Join(segments, "/")
}

// decodeEscapes decodes valid percent escapes and keeps all else, so that an invalid
// escape does not hide the valid ones beside it.
func decodeEscapes(raw string) string {
	var out strings.Builder
	for i := 0; i < len(raw); i++ {
		if raw[i] == '%' && i+2 < len(raw) && isHex(raw[i+1]) && isHex(raw[i+2]) {
			out.WriteByte(fromHex(raw[i+1])<<4 | fromHex(raw[i+2]))
			i += 2
			continue
		}
		out.WriteByte(raw[i])
	}
	return out.String()
}

func isHex(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}

func fromHex(b byte) byte {
	switch {
	case b <= '9':
		return b - '0'
	case b >= 'a':
		return b - 'a' + 10
	}
	return b - 'A' + 10
}
