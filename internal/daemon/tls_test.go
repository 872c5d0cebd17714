package daemon

import (
	"crypto/x509"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

// Guards against a port that stays unencrypted although the settings name its
// certificate: keys, tokens and prompts would cross the network in clear text, unnoticed.
func TestTLSOnBothPorts(t *testing.T) {
	authority := httptest.NewTLSServer(nil)
	defer authority.Close()
	pair := authority.TLS.Certificates[0]
	private, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	testkit.OK(t, err)
	certFile, keyFile := writePEM(t, "CERTIFICATE", pair.Certificate[0]), writePEM(t, "PRIVATE KEY", private)
	s := sampleSettings(t,
		strings.Repeat("0", 64), contract.HashKey("token"),
		"10.0.1.7:8080", "127.0.0.1:0", "10.0.1.7:8081", "127.0.0.1:0", "10.0.1.7:8082", "127.0.0.1:0",
		";callers_cert =", "callers_cert = "+certFile, ";callers_key =", "callers_key = "+keyFile,
		";operators_cert =", "operators_cert = "+certFile, ";operators_key =", "operators_key = "+keyFile)
	d, err := New(s, "v", zap.NewNop())
	testkit.OK(t, err)
	defer d.closeListeners()
	go d.callers.Serve(d.callersListener)
	go d.operatorsServer.Serve(d.operatorsListener)
	callers, operators := d.callersListener.Addr().String(), d.operatorsListener.Addr().String()
	for _, c := range []struct {
		url, token string
		want       int
	}{
		{"https://" + callers + "/healthz", "", http.StatusOK},
		{"http://" + callers + "/healthz", "", http.StatusBadRequest},
		{"https://" + operators + "/healthz", "", http.StatusOK},
		{"https://" + operators + "/v1/status", "", http.StatusUnauthorized},
		{"https://" + operators + "/v1/status", "token", http.StatusOK},
		{"http://" + operators + "/v1/status", "token", http.StatusBadRequest},
	} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.url, nil)
		testkit.OK(t, err)
		request.Header.Set("Authorization", "Bearer "+c.token)
		answer, err := authority.Client().Do(request)
		testkit.OK(t, err)
		answer.Body.Close()
		testkit.That(t, answer.StatusCode == c.want, "%s with token %q: status %d, want %d", c.url, c.token, answer.StatusCode, c.want)
	}
}

func writePEM(t *testing.T, kind string, content []byte) string {
	file := filepath.Join(t.TempDir(), "pem")
	testkit.OK(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600))
	return file
}
