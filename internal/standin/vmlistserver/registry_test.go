package vmlistserver_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

func wantList(t *testing.T, lister vmlist.Lister, version uint64, vms ...vmlist.VM) {
	t.Helper()
	got := testkit.Value(lister.List(t.Context()))(t)
	testkit.NoDiff(t, vmlist.List{Version: version, VMs: vms}, got)
}

// A VM is marked as leaving and then removed. The list must keep returning the
// older state for the whole lag.
func TestListLagsBehindChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := vmlist.VM{ID: "a"}, vmlist.VM{ID: "b"}
		registry := vmlistserver.New(10*time.Second, a, b)
		registry.MarkLeaving("b")
		time.Sleep(5 * time.Second)
		registry.Remove("b")
		wantList(t, registry, 1, a, b)
		time.Sleep(5 * time.Second)
		wantList(t, registry, 2, a, vmlist.VM{ID: "b", Leaving: true})
		time.Sleep(5 * time.Second)
		wantList(t, registry, 3, a)
		registry.Put(a)
		time.Sleep(10 * time.Second)
		wantList(t, registry, 3, a)
		registry.Faults().Set(faults.Settings{Outage: true})
		testkit.WantError(t, "outage", testkit.Err(registry.List(t.Context())), vmlist.ErrUnavailable)
	})
}

func TestListOverHTTP(t *testing.T) {
	server := httptest.NewServer(vmlistserver.Handler(vmlistserver.New(0)))
	defer server.Close()
	admin := func(method, path, body string) int {
		request, _ := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		response := testkit.Value(http.DefaultClient.Do(request))(t)
		response.Body.Close()
		return response.StatusCode
	}
	client := vmlist.NewClient(server.URL, nil)
	admin("PUT", "/admin/vms/e1", `{"kind":"engine","address":"127.0.0.1:9","domain":"d","region":"r"}`)
	vm := vmlist.VM{ID: "e1", Kind: vmlist.KindEngine, Address: "127.0.0.1:9", Domain: "d", Region: "r"}
	wantList(t, client, 2, vm)
	admin("POST", "/admin/vms/e1/leaving", "")
	vm.Leaving = true
	wantList(t, client, 3, vm)
	wantList(t, client, 3, vm) // 304
	admin("DELETE", "/admin/vms/e1", "")
	testkit.Equal(t, "status of the second delete", admin("DELETE", "/admin/vms/e1", ""), http.StatusNotFound)
	admin("POST", "/admin/faults", `{"outage":true}`)
	testkit.WantError(t, "outage", testkit.Err(client.List(t.Context())), vmlist.ErrUnavailable)
}
