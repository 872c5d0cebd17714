package sendonce

import (
	"testing"

	"bergamotreel/internal/testkit"
)

// soundHeads are heads that backend servers may send, however their bytes are cut into reads.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	"HTTP/1.1 200\r\nA:\r\n\r\n",
	"HTTP/1.1 200 \r\nA: \t b\t\r\n\r\n",
	"HTTP/1.0 404 Not Found\nContent-Length: 0\n\n",
	"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"HTTP/1.1 200 OK\r\nSet-Cookie: a=\"b\"; c\xff\r\nX-!#$%&'*+.^_`|~1: y\r\n\r\n",
}

// Guards against sound answers that are refused, and bytes of a body that are read as a part of the head.
func TestSoundHeadsPass(t *testing.T) {
	for _, head := range soundHeads {
		for cut := range len(head) {
			s := headScanner{active: true}
			testkit.Equal(t, head, s.scan([]byte(head[:cut])), "")
			testkit.That(t, s.active, "%q ends at %d", head, cut)
			testkit.Equal(t, head, s.scan([]byte(head[cut:]+" :\x00body")), "")
			testkit.That(t, !s.active, "%q does not end", head)
		}
	}
}

// Guards against a malformed head that passes because its bytes are read in pieces.
func TestMalformedHeadsFail(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", "HTTP/1.1 200 OK\r\n: b\r\n\r\n", "HTTP/1.1 200 OK\r\nA\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\rc\r\n\r\n", "HTTP/1.1 200 OK\r\nA: \x00\r\n\r\n", "HTTP/1.1 200 OK\r\n\rA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/2.0 200 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1\r\n\r\n", "x\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nA : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for cut := range len(head) {
			s := headScanner{active: true}
			testkit.That(t, s.scan([]byte(head[:cut])) != "" || s.scan([]byte(head[cut:])) != "", "%q, cut at %d", head, cut)
		}
	}
}
