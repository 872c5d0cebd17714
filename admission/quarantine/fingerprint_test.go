package quarantine_test

import (
	"testing"

	"bergamotreel/admission/quarantine"
	"bergamotreel/internal/testkit"
)

// Guards against a repetition that is not recognised, and against another caller's
// request that is taken for one.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	draft := quarantine.Content{Workspace: "w", Method: "POST", Host: "h", URI: "/a/1", Caller: "10.0.0.1", Body: []byte("draft")}
	elsewhere := draft
	elsewhere.Caller = "10.0.0.2"
	testkit.That(t, draft.Fingerprint() == elsewhere.Fingerprint(), "a repetition from another address is another request")
	other := map[string]quarantine.Content{
		"workspace": {Workspace: "x", Method: "POST", Host: "h", URI: "/a/1", Body: []byte("draft")},
		"URI":       {Workspace: "w", Method: "POST", Host: "h", URI: "/a/2", Body: []byte("draft")},
		"body":      {Workspace: "w", Method: "POST", Host: "h", URI: "/a/1", Body: []byte("drafu")},
		"boundary":  {Workspace: "w", Method: "POST", Host: "h/", URI: "a/1", Body: []byte("draft")},
	}
	for what, content := range other {
		testkit.That(t, content.Fingerprint() != draft.Fingerprint(), "another %s has the same fingerprint", what)
	}
	look := quarantine.Content{Method: "GET", Host: "h", URI: "/stock/", Caller: "10.0.0.1"}
	neighbour := look
	neighbour.Caller = "10.0.0.2"
	testkit.That(t, look.Fingerprint() != neighbour.Fingerprint(), "two callers' requests without a body are taken for one")
}
