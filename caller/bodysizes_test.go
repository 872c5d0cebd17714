package caller

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// Guards against bodies within the limit that are refused or cut: sizes around each growth of the memory, in each framing.
func TestBodiesWithinLimitAreRead(t *testing.T) {
	const limit = 4 << 20
	var got string
	b := &relayBackend{relay: func(ctx context.Context, r RelayRequest, answer AnswerWriter) error {
		got = string(r.Body)
		return answerOK(ctx, r, answer)
	}}
	address := startRelayServer(t, b, Limits{BodyBytes: limit, HeldBytes: 3 * limit})
	for _, n := range []int{1, initialBodyBytes - 1, initialBodyBytes, initialBodyBytes + 1, 64<<10 - 1, 64 << 10, 64<<10 + 1, 100_000, limit - 1, limit, limit + 1} {
		body := strings.Repeat("abcdefg", n/7+1)[:n]
		for name, text := range map[string]string{
			"declared": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, body),
			"chunked":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", n, body),
			"continue": fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n%s", n, body),
		} {
			got = ""
			answer := exchangeRaw(t, address, "POST /a HTTP/1.1\r\n"+commonHeaders+text)
			status, want := http.StatusOK, body
			if n > limit {
				status, want = http.StatusRequestEntityTooLarge, ""
			}
			testkit.That(t, strings.Contains(answer, fmt.Sprint("HTTP/1.1 ", status, " ")) && got == want, "%s, %d bytes: got %d bytes, answer %.60q", name, n, len(got), answer)
		}
	}
}
