package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"bergamotreel/internal/testkit"
)

func TestSample(t *testing.T) {
	goldie.New(t, goldie.WithNameSuffix(".ini")).Assert(t, "sample", []byte(Sample()))
	s := testkit.Value(Parse("sample.ini", validSample()))(t)
	testkit.That(t, s.Policy.SessionTerm == 10*time.Second && s.Limits.HeaderBytes == 16<<10 && s.VM.PeersAdvertise == s.VM.PeersAddress,
		"defaults: %+v", s)
}

// The operators' settings page must contain the sample verbatim.
func TestSettingsPageHoldsSample(t *testing.T) {
	page := testkit.Value(os.ReadFile("../../docs/operations/settings.md"))(t)
	testkit.That(t, strings.Contains(string(page), "```ini\n"+Sample()+"```\n"), "docs/operations/settings.md has another sample")
}

// validSample returns the sample with the placeholder secret replaced.
func validSample() string {
	return strings.Replace(Sample(), sampleSecret, strings.Repeat("x", MinSecretLength), 1)
}

func TestSecretFromFile(t *testing.T) {
	secret := strings.Repeat("s", MinSecretLength)
	path := filepath.Join(t.TempDir(), "secret")
	testkit.OK(t, os.WriteFile(path, []byte(secret+"\n"), 0o600))
	text := strings.Replace(Sample(), "\nsecret = "+sampleSecret, "\nsecret_file = "+path, 1)
	s, err := Parse("s.ini", text)
	testkit.That(t, err == nil && s.Peers.Secret == secret, "got %+v, %v", s, err)
}

func TestParseErrors(t *testing.T) {
	validSecret := strings.Repeat("x", MinSecretLength)
	tests := []struct{ name, old, new, want string }{
		{"unknown section", "[log]", "[logs]", `[logs]: unknown section`},
		{"unknown key", "[log]", "[log]\nlevl = info", `[log] levl: unknown key`},
		{"section twice", "[log]", "[vm]", `[vm]: stands twice`},
		{"bad duration", ";heartbeat = 500ms", "heartbeat = 250", `[policy] heartbeat: bad duration "250"`},
		{"no peer address", "peers_address = 10.0.1.7:8082", "", `[vm] peers_address: missing`},
		{"host name", "10.0.1.7:8082", "entry-1:8082", `[vm] peers_address: bad address "entry-1:8082": want IP:port`},
		{"unreachable", "10.0.1.7:8082", "0.0.0.0:8082", `[vm] peers_advertise: missing: others cannot connect to 0.0.0.0:8082`},
		{"bad advertise", ";peers_advertise =", "peers_advertise = [::]:1", `[vm] peers_advertise: bad address "[::]:1"`},
		{"one address twice", "10.0.1.7:8082", "10.0.1.7:8081", `[vm] peers_address: same as operators_address`},
		{"bad URL", "http://10.0.0.2:9001", "10.0.0.2:9001", `[platform] log_url: bad URL "10.0.0.2:9001"`},
		{"URL by name", "http://10.0.0.2:9001", "http://log:9001", `[platform] log_url: bad URL "http://log:9001": want an IP number`},
		{"no domain", "domain = port-of-spain-a", "", `[vm] domain: missing`},
		{"bad id", "id = entry-1", "id = entry 1", `[vm] id: bad name "entry 1"`},
		{"sample's secret", validSecret, sampleSecret, `[peers] secret: still the sample's secret`},
		{"short secret", validSecret, "hush", `[peers] secret: shorter than 32 characters`},
		{"secret twice", ";secret_file", "secret_file", `[peers] secret_file: give the secret or its file, not both`},
		{"secret's file", "secret = " + validSecret, "secret_file = /nowhere", `[peers] secret_file: cannot read: no such file or directory`},
		{"bad hash", strings.Repeat("0", 64), "12", `[operators] token_sha256: want SHA-256 hashes`},
		{"key without certificate", ";callers_key =", "callers_key = k.pem", `[tls] callers_cert: missing: there is a key`},
		{"certificate without key", ";operators_cert =", "operators_cert = c.pem", `[tls] operators_key: missing: there is a certificate`},
		{"bad certificate", ";callers_key =", "callers_cert = /nowhere\ncallers_key = /nowhere", `[tls] callers_cert: open /nowhere`},
		{"short retention", ";log_retention = 24h", "log_retention = 1m", `[platform] log_retention: duration 1m is not between 10m0s and 87600h0m0s`},
		{"bad size", ";body_bytes = 4MiB", "body_bytes = 4", `[limits] body_bytes: bad size "4"`},
		{"bad number", ";queue = 4096", "queue = 0", `[limits] queue: 0 is not between 1 and 1000000`},
		{"bad share", ";retry_budget = 0.1", "retry_budget = 10", `[policy] retry_budget: 10 is not between 0 and 1`},
		{"bad boolean", ";preload = true", "preload = maybe", `[policy] preload: bad value "maybe"`},
		{"bad level", ";level = info", "level = loud", `[log] level: bad value "loud": want one of debug, info, warn, error`},
		{"keep-alive", ";keep_alive_max = 2h", "keep_alive_max = 5s", `[policy] keep_alive_min: 20s is more than keep_alive_max (5s)`},
		{"session term", ";session_term = 10s", "session_term = 1s\nheartbeat = 500ms", `[policy] session_term: 1s is less than 3 heartbeats (500ms)`},
		{"not INI", "[log]", "[log", `s.ini: line`},
		{"no key", "[vm]", "hello\n[vm]", `s.ini: not INI: line 1 is neither [section] nor key = value`},
		{"metrics' address", ";address =", "address = 10.0.1.7:8081", `[metrics] address: same as operators_address`},
		{"line of a key", "domain = port-of-spain-a", "domain =", `s.ini: line 5: [vm] domain: missing`},
		{"line of a section", "callers_address = 10.0.1.7:8080", "", `s.ini: line 1: [vm] callers_address: missing`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			testkit.Need(t, strings.Contains(validSample(), test.old), "sample has no %q", test.old)
			_, err := Parse("s.ini", strings.Replace(validSample(), test.old, test.new, 1))
			var problem *Problem
			testkit.Need(t, errors.As(err, &problem), "got %v, want a *Problem", err)
			testkit.That(t, strings.HasPrefix(problem.Error(), "s.ini: ") && strings.Contains(problem.Error(), test.want),
				"got  %v\nwant %s", problem, test.want)
		})
	}
}

// All problems must be reported at once. With one per start, an operator who corrects
// the settings of a new VM would need a restart for each and lack the VM for minutes.
func TestAllProblemsAreReported(t *testing.T) {
	text := strings.NewReplacer("[log]", "[logs]", "domain = port-of-spain-a", "", ";queue = 4096", "queue = 0\nqueeu = 1").Replace(validSample())
	_, read := Parse("s.ini", text)
	_, checked := Parse("s.ini", strings.NewReplacer(";callers_key =", "callers_key = k.pem", ";keep_alive_max = 2h", "keep_alive_max = 5s").Replace(validSample()))
	goldie.New(t).Assert(t, "mistakes", []byte(read.Error()+"\n"+checked.Error()+"\n"))
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("/nowhere/s.ini")
	var problem *Problem
	testkit.That(t, errors.As(err, &problem) && problem.Error() == "/nowhere/s.ini: cannot read: no such file or directory",
		"got %v", err)
}

// FuzzParse checks that any text gives either settings or a Problem and never a panic.
func FuzzParse(f *testing.F) {
	f.Add(validSample())
	f.Fuzz(func(t *testing.T, text string) {
		// Keep the test independent of the file system.
		_, err := Parse("s.ini", strings.ReplaceAll(text, fileSuffix, ""))
		var problem *Problem
		testkit.That(t, err == nil || errors.As(err, &problem), "got %v, want a *Problem", err)
	})
}
