package service_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"bergamotreel/internal/sendonce"
	"bergamotreel/internal/testkit"
	"bergamotreel/service"
)

// Guards against answers of services that are kept without memory for them.
func TestAnswerWithoutMemoryIsNotKept(t *testing.T) {
	const answerBytes = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, answerBytes)) }))
	defer server.Close()
	client := service.NewClient(sendonce.NewClient())
	for _, memory := range []int64{answerBytes, answerBytes - 1} {
		reserved := int64(0)
		reserve := func(n int64) bool { reserved += n; return reserved <= memory }
		answer, err := client.Do(t.Context(), server.Listener.Addr().String(), service.Call{RequestID: "id", Method: "GET", Path: "/", ReserveAnswer: reserve})
		if memory == answerBytes {
			testkit.That(t, err == nil && len(answer.Body) == answerBytes, "%d bytes, %v", len(answer.Body), err)
		} else {
			testkit.That(t, errors.Is(err, service.ErrOutcomeUnknown), "%d bytes, %v", len(answer.Body), err)
		}
	}
}
