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
func newWorkspaceConfiguration(version uint64, keys map[string][]string, quota contract.Quota) *registry.Configuration {
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

var unlimitedQuota = contract.Quota{Unit: contract.CountTokens}

func codeOf(err error) refusal.Code {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused.Code
	}
	return ""
}

// Guards against a key that goes on after it was taken away, and one that is refused
// after it was added.
func TestKeyChangesTakeEffectWithTheConfiguration(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		w.registry.configuration = newWorkspaceConfiguration(1, map[string][]string{"x": {"old", "kept"}}, unlimitedQuota)
		w.registry.deal("a")
		w.listEngine(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		testkit.Value(askAs(a, "old", "m1", time.Second))(w)
		_, err := askAs(a, "new", "m1", time.Second)
		testkit.Equal(w, "a key to come", codeOf(err), refusal.CodeUnknownKey)
		w.registry.configure(newWorkspaceConfiguration(2, map[string][]string{"x": {"new", "kept"}}, unlimitedQuota))
		time.Sleep(2 * time.Second)
		testkit.Value(askAs(a, "new", "m1", time.Second))(w)
		testkit.Value(askAs(a, "kept", "m1", time.Second))(w)
		_, err = askAs(a, "old", "m1", time.Second)
		testkit.Equal(w, "a key taken away", codeOf(err), refusal.CodeUnknownKey)
	})
}

// Guards against a final "unknown key" from a VM that can't read a newer configuration.
func TestUnknownKeyIsRetryableDuringRegistryOutage(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		w.registry.configuration = newWorkspaceConfiguration(1, map[string][]string{"x": {"k"}}, unlimitedQuota)
		w.registry.deal("a")
		w.listEngine(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setAway(true)
		time.Sleep(5 * time.Second)
		_, err := askAs(a, "other", "m1", time.Second)
		testkit.Equal(w, "unknown", codeOf(err), refusal.CodeNotReady)
		testkit.Value(askAs(a, "k", "m1", time.Second))(w)
	})
}

// Guards against a revoked key that goes on at a VM which lost the registry, where the
// operator wants requests refused then.
func TestStaleKeysAreRefusedDuringRegistryOutage(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		w.registry.configuration = newWorkspaceConfiguration(1, map[string][]string{"x": {"k"}}, unlimitedQuota)
		w.registry.deal("a")
		w.listEngine(w.engines.add("e1", "m1"))
		w.refuseUnsureAfter = 4 * time.Second
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setAway(true)
		time.Sleep(time.Second)
		testkit.Value(askAs(a, "k", "m1", time.Second))(w)
		time.Sleep(5 * time.Second)
		_, err := askAs(a, "k", "m1", time.Second)
		testkit.Equal(w, "unsure", codeOf(err), refusal.CodeNotReady)
		w.registry.setAway(false)
		time.Sleep(3 * time.Second)
		testkit.Value(askAs(a, "k", "m1", time.Second))(w)
	})
}

// Guards against a public route that asks for a key, and a route that lets callers in
// without one.
func TestOnlyPublicRoutesNeedNoKey(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		c := newWorkspaceConfiguration(1, map[string][]string{"x": {"k"}}, unlimitedQuota)
		open := c.Contract.Routes[0]
		open.Name, open.PathPrefix, open.Public = "open", "/open/", true
		c.Contract.Routes = append(c.Contract.Routes, open)
		w.registry.configuration = c
		w.registry.deal("a")
		w.listEngine(w.engines.add("e1", "m1"))
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
