package hosted

import (
	"errors"
	"testing"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
	"bergamotreel/refusal"
	"bergamotreel/registry"
)

// withWorkspaces is testContract in a version with workspaces, each with the keys given.
func withWorkspaces(version uint64, keys map[string][]string, quota contract.Quota) *registry.Configuration {
	c := testContract("m1")
	c.Version, c.Source = version, []byte{byte(version)}
	c.Contract.Workspaces = []contract.Workspace{}
	for name, list := range keys {
		w := contract.Workspace{Name: name, Quota: quota}
		for _, key := range list {
			w.Keys = append(w.Keys, contract.NewKeyHash(key))
		}
		c.Contract.Workspaces = append(c.Contract.Workspaces, w)
	}
	return c
}

var unlimited = contract.Quota{Unit: contract.CountTokens}

func codeOf(err error) refusal.Code {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// Guards against a key that goes on after it was taken away, and one that is refused
// after it was added.
func TestKeysChangeWithTheConfiguration(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = withWorkspaces(1, map[string][]string{"x": {"old", "kept"}}, unlimited)
		w.registry.assignAllShards("a")
		w.list(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		testkit.Value(sendRequestAs(a, "old", "m1", time.Second))(w)
		_, err := sendRequestAs(a, "new", "m1", time.Second)
		testkit.Equal(w, "a key to come", codeOf(err), refusal.CodeUnknownKey)
		w.registry.setConfiguration(withWorkspaces(2, map[string][]string{"x": {"new", "kept"}}, unlimited))
		time.Sleep(2 * time.Second)
		testkit.Value(sendRequestAs(a, "new", "m1", time.Second))(w)
		testkit.Value(sendRequestAs(a, "kept", "m1", time.Second))(w)
		_, err = sendRequestAs(a, "old", "m1", time.Second)
		testkit.Equal(w, "a key taken away", codeOf(err), refusal.CodeUnknownKey)
	})
}

// Guards against a final "unknown key" from a VM that can't read a newer configuration.
func TestUnknownKeyDuringAnOutage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = withWorkspaces(1, map[string][]string{"x": {"k"}}, unlimited)
		w.registry.assignAllShards("a")
		w.list(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setUnavailable(true)
		time.Sleep(5 * time.Second)
		_, err := sendRequestAs(a, "other", "m1", time.Second)
		testkit.Equal(w, "unknown", codeOf(err), refusal.CodeNotReady)
		testkit.Value(sendRequestAs(a, "k", "m1", time.Second))(w)
	})
}

// Guards against a revoked key that goes on at a VM which lost the registry, where the
// operator wants requests refused then.
func TestStrictRevocation(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = withWorkspaces(1, map[string][]string{"x": {"k"}}, unlimited)
		w.registry.assignAllShards("a")
		w.list(w.engines.add("e1", "m1"))
		w.refuseUnsureAfter = 4 * time.Second
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setUnavailable(true)
		time.Sleep(time.Second)
		testkit.Value(sendRequestAs(a, "k", "m1", time.Second))(w)
		time.Sleep(5 * time.Second)
		_, err := sendRequestAs(a, "k", "m1", time.Second)
		testkit.Equal(w, "unsure", codeOf(err), refusal.CodeNotReady)
		w.registry.setUnavailable(false)
		time.Sleep(3 * time.Second)
		testkit.Value(sendRequestAs(a, "k", "m1", time.Second))(w)
	})
}

// Guards against a public route that asks for a key, and a route that lets callers in
// without one.
func TestPublicRoutes(t *testing.T) {
	inWorld(t, func(w *world) {
		c := withWorkspaces(1, map[string][]string{"x": {"k"}}, unlimited)
		open := c.Contract.Routes[0]
		open.Name, open.PathPrefix, open.Public = "open", "/open/", true
		c.Contract.Routes = append(c.Contract.Routes, open)
		w.registry.configuration = c
		w.registry.assignAllShards("a")
		w.list(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		grant, err := a.Authorize("h", "/open/x", "")
		testkit.That(w, err == nil && grant.Workspace == nil, "got %+v, %v", grant, err)
		_, err = a.Authorize("h", "/x", "")
		testkit.Equal(w, "no key", codeOf(err), refusal.CodeUnknownKey)
		grant, err = a.Authorize("h", "/x", "k")
		testkit.That(w, err == nil && grant.WorkspaceName() == "x", "got %+v, %v", grant, err)
	})
}
