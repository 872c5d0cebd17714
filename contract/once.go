package contract

import (
	"path"
	"slices"
	"strings"
)

// maxDecodings bounds how often a path is percent-decoded. A backend server
// decodes once, one behind another proxy twice; four leaves room.
const maxDecodings = 4

// IsOnce tells whether a call of the service may not be repeated. path is the
// path within the service; a query may follow.
//
// A caller could dodge a pattern by another spelling of the same path, //book
// or %62ook, and have a booking run twice. How a backend server reads paths is
// not known here, so a call counts as "once" if any usual reading of its path
// matches. The price of a wrong match is small: the call is made only once.
func (s Service) IsAtMostOnce(method, path string) bool {
	for _, pattern := range s.Once {
		if !strings.EqualFold(method, pattern.Method) {
			continue
		}
		if slices.ContainsFunc(canonicalPaths(path), pattern.covers) {
			return true
		}
	}
	return false
}

// covers tells whether a canonical path is the pattern's or lies under it.
// Upper and lower case count as equal, as some backend servers do.
func (p CallPattern) covers(canonical string) bool {
	if p.Path == "/" {
		return true
	}
	if len(canonical) < len(p.Path) || !strings.EqualFold(canonical[:len(p.Path)], p.Path) {
		return false
	}
	return len(canonical) == len(p.Path) || canonical[len(p.Path)] == '/'
}

// canonicalPaths returns the usual readings of a path, without repeats: after
// each decoding, once with "." and ".." resolved and once with only empty
// segments dropped (a backend server may match a prefix before it resolves).
func canonicalPaths(raw string) []string {
	raw, _, _ = strings.Cut(raw, "?")
	var readings []string
	add := func(reading string) {
		if !slices.Contains(readings, reading) {
			readings = append(readings, reading)
		}
	}
	for range maxDecodings {
		plain := plainPath(raw)
		add(path.Clean(plain))
		add(dropEmptySegments(plain))
		decoded := decodeEscapes(raw)
		if decoded == raw {
			break
		}
		raw = decoded
	}
	return readings
}

// plainPath drops what is no part of the path for some backend servers: what
// follows "?", "#" or NUL, and the parameters ";..." of each segment. It turns
// backslashes into slashes.
func plainPath(raw string) string {
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

// decodeEscapes decodes what is a percent escape and keeps the rest: a broken
// escape must not hide the good ones beside it.
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
