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

// newWorkspaceConfiguration returns testContract as the given version, with workspaces that
// have the given keys and quota.
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

// Guards against a key that is still accepted after its removal, and one that is still
// refused after it was added.
func TestKeyChangesTakeEffectWithTheConfiguration(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = newWorkspaceConfiguration(1, map[string][]string{"x": {"old", "kept"}}, unlimitedQuota)
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		testkit.Value(sendRequestAs(a, "old", "m1", time.Second))(w)
		_, err := sendRequestAs(a, "new", "m1", time.Second)
		testkit.Equal(w, "code for a key not yet added", codeOf(err), refusal.CodeUnknownKey)
		w.registry.setConfiguration(newWorkspaceConfiguration(2, map[string][]string{"x": {"new", "kept"}}, unlimitedQuota))
		time.Sleep(2 * time.Second)
		testkit.Value(sendRequestAs(a, "new", "m1", time.Second))(w)
		testkit.Value(sendRequestAs(a, "kept", "m1", time.Second))(w)
		_, err = sendRequestAs(a, "old", "m1", time.Second)
		testkit.Equal(w, "code for a removed key", codeOf(err), refusal.CodeUnknownKey)
	})
}

// Guards against a VM that can't read a newer configuration and still refuses an unknown
// key for good.
func TestUnknownKeyIsRetryableDuringRegistryOutage(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = newWorkspaceConfiguration(1, map[string][]string{"x": {"k"}}, unlimitedQuota)
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setUnavailable(true)
		time.Sleep(5 * time.Second)
		_, err := sendRequestAs(a, "other", "m1", time.Second)
		testkit.Equal(w, "code for an unknown key", codeOf(err), refusal.CodeNotReady)
		testkit.Value(sendRequestAs(a, "k", "m1", time.Second))(w)
	})
}

// Guards against a VM without a connection to the registry that goes on accepting keys that
// may have been revoked, although the operator has set MaxConfigurationAge.
func TestStaleKeysAreRefusedDuringRegistryOutage(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = newWorkspaceConfiguration(1, map[string][]string{"x": {"k"}}, unlimitedQuota)
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		w.maxConfigurationAge = 4 * time.Second
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setUnavailable(true)
		time.Sleep(time.Second)
		testkit.Value(sendRequestAs(a, "k", "m1", time.Second))(w)
		time.Sleep(5 * time.Second)
		_, err := sendRequestAs(a, "k", "m1", time.Second)
		testkit.Equal(w, "code for a key that may be revoked", codeOf(err), refusal.CodeNotReady)
		w.registry.setUnavailable(false)
		time.Sleep(3 * time.Second)
		testkit.Value(sendRequestAs(a, "k", "m1", time.Second))(w)
	})
}

// Guards against a public route that requires a key, and another route that admits callers
// without one.
func TestOnlyPublicRoutesNeedNoKey(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		c := newWorkspaceConfiguration(1, map[string][]string{"x": {"k"}}, unlimitedQuota)
		open := c.Contract.Routes[0]
		open.Name, open.PathPrefix, open.Public = "open", "/open/", true
		c.Contract.Routes = append(c.Contract.Routes, open)
		w.registry.configuration = c
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		grant, err := a.Authorize("h", "/open/x", "")
		testkit.That(w, err == nil && grant.Workspace == nil, "got %+v, %v", grant, err)
		_, err = a.Authorize("h", "/x", "")
		testkit.Equal(w, "code without a key", codeOf(err), refusal.CodeUnknownKey)
		grant, err = a.Authorize("h", "/x", "k")
		testkit.That(w, err == nil && grant.WorkspaceName() == "x", "got %+v, %v", grant, err)
	})
}

// Guards against a VM that can't read a newer configuration and refuses a route for good that may have been added.
func TestUnknownRouteIsRetryableDuringRegistryOutage(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		_, err := a.Authorize("other", "/", "")
		testkit.Equal(w, "code for an unknown route", codeOf(err), refusal.CodeNotFound)
		w.registry.setUnavailable(true)
		time.Sleep(5 * time.Second)
		_, err = a.Authorize("other", "/", "")
		testkit.Equal(w, "code for a route that may be new", codeOf(err), refusal.CodeNotReady)
		w.registry.setUnavailable(false)
		time.Sleep(5 * time.Second)
		_, err = a.Authorize("other", "/", "")
		testkit.Equal(w, "code for an unknown route later", codeOf(err), refusal.CodeNotFound)
	})
}
