package contract_test

import (
	"fmt"
	"math"
	"testing"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

func workspace(name string, keys ...string) contract.Workspace {
	w := contract.Workspace{Name: name, Quota: contract.Quota{Unit: contract.CountTokens, PerSecond: 10, Burst: 20, Plain: 3}}
	for _, key := range keys {
		w.Keys = append(w.Keys, contract.NewKeyHash(key))
	}
	return w
}

func TestFindWorkspaceByKey(t *testing.T) {
	w := testkit.Value(contract.NewWorkspaces([]contract.Workspace{workspace("a", "k1", "k2"), workspace("b", "k3", "k3")}))(t)
	testkit.Equal(t, "k2", w.FindByKey("k2").Name, "a")
	testkit.Equal(t, "k3", w.FindByKey("k3").Name, "b")
	for _, unknown := range []string{"", "K1", "k1 ", "k", contract.NewKeyHash("k1").String()} {
		testkit.That(t, w.FindByKey(unknown) == nil, "%q leads to %v", unknown, w.FindByKey(unknown))
	}
	testkit.That(t, w.FindByName("a") != nil && w.FindByName("c") == nil, "names")
}

// Guards against a configuration in which a key or a limit is ambiguous.
func TestNewWorkspacesRejectsInvalid(t *testing.T) {
	with := func(change func(*contract.Workspace)) contract.Workspace {
		w := workspace("b", "k2")
		change(&w)
		return w
	}
	for what, second := range map[string]contract.Workspace{
		"key of another workspace": workspace("b", "k1"),
		"name twice":               workspace("a", "k2"),
		"no name":                  workspace(""),
		"name that breaks headers": workspace("b\r\nX: y"),
		"space at the end":         workspace("b "),
		"unknown unit":             with(func(w *contract.Workspace) { w.Quota.Unit = "words" }),
		"negative rate":            with(func(w *contract.Workspace) { w.Quota.PerSecond = -1 }),
		"endless rate":             with(func(w *contract.Workspace) { w.Quota.PerSecond = math.Inf(1) }),
		"no number":                with(func(w *contract.Workspace) { w.Quota.Burst = math.NaN() }),
		"negative plain cost":      with(func(w *contract.Workspace) { w.Quota.Plain = -3 }),
	} {
		_, err := contract.NewWorkspaces([]contract.Workspace{workspace("a", "k1"), second})
		testkit.That(t, err != nil && contract.Error.Has(err), "%s: got %v", what, err)
	}
}

func TestQuotaCost(t *testing.T) {
	tokens := contract.Quota{Unit: contract.CountTokens, Plain: 200}
	requests := contract.Quota{Unit: contract.CountRequests, Plain: 200}
	testkit.Equal(t, "tokens", tokens.Cost(1540, true), 1540.0)
	testkit.Equal(t, "no tokens named", tokens.Cost(0, false), 200.0)
	testkit.Equal(t, "requests", requests.Cost(1540, true), 1.0)
}

func BenchmarkFindByKey(b *testing.B) {
	for _, count := range []int{10, 100_000} {
		w := contract.Workspace{Name: "a", Quota: contract.Quota{Unit: contract.CountRequests}}
		for i := range count {
			w.Keys = append(w.Keys, contract.NewKeyHash(fmt.Sprint("key-", i)))
		}
		index, err := contract.NewWorkspaces([]contract.Workspace{w})
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if index.FindByKey("key-7") == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
