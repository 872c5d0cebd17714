package sendonce

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/testkit"
)

// Guards against a new connection that is taken for an older one, and against a kept one that is taken for new with each
// request.
func TestSendingKnowsWhenItsConnectionFirstAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &failingServer{}
		client := NewClientWithDial(server.dial)
		defer client.CloseIdleConnections()
		send := func() time.Time {
			var sendings Sendings
			testkit.That(t, sendings.Last().AnsweredAt.IsZero(), "answered before it was sent")
			answer, _, err := Do(client, newTestRequest(t, WithSendings(t.Context(), &sendings), http.MethodPost, "b", ""))
			if err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
			return sendings.Last().AnsweredAt
		}
		begun := time.Now()
		first := send()
		testkit.That(t, first.Equal(begun), "first answer at %s", first.Sub(begun))
		time.Sleep(time.Second)
		testkit.Equal(t, "first answer of the kept connection", send(), first) // the server closes it
		time.Sleep(time.Second)
		testkit.That(t, send().Equal(begun.Add(2*time.Second)), "the new connection is taken for the first one")
	})
}
