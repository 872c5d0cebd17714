package contract

import (
	"math/rand"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// findLinear finds a route by a linear search over all routes.
func findLinear(routes []Route, host, path string) *Route {
	var best *Route
	for i := range routes {
		r := &routes[i]
		if normalizeHost(r.Host) != normalizeHost(host) || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) >= len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// The table must find the same route as a linear search, for paths with and without a
// trailing slash and for hosts with a port or in upper case.
func TestRouteTableMatchesLinearSearch(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	parts := []string{"a", "b", "ab", "a%2Fb", "..", ""}
	path := func() string {
		out := "/"
		for range rng.Intn(4) {
			out += parts[rng.Intn(len(parts))] + "/"
		}
		return out
	}
	hosts := []string{"one.example", "two.example", "ONE.example", "one.example:8080"}
	for range 300 {
		var routes []Route
		for range rng.Intn(12) {
			routes = append(routes, Route{Host: hosts[rng.Intn(2)], PathPrefix: path()})
		}
		table := NewRouteTable(routes)
		for range 20 {
			host, requestPath := hosts[rng.Intn(len(hosts))], path()+parts[rng.Intn(len(parts))]
			got, want := table.Find(host, requestPath), findLinear(routes, host, requestPath)
			same := (got == nil) == (want == nil) && (got == nil || got.PathPrefix == want.PathPrefix)
			testkit.Need(t, same, "%s%s: got %+v, want %+v of %+v", host, requestPath, got, want, routes)
		}
	}
}

func TestPickTarget(t *testing.T) {
	route := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	for draw, want := range map[float64]string{0: "a", 0.899: "a", 0.901: "b", 0.9999: "b", 1: "b"} {
		testkit.Equal(t, "target", route.PickTarget(draw), want)
	}
}

func TestFindModel(t *testing.T) {
	c := Contract{Pools: []EnginePool{{Service: "s", Models: []PoolModel{{Name: "a"}, {Name: "b"}}}}}
	_, found := c.FindPool("s").FindModel("b")
	testkit.That(t, found, "model b not found")
	_, found = c.FindPool("s").FindModel("c")
	testkit.That(t, !found, "model c found")
	testkit.That(t, c.FindPool("other") == nil, "a pool for a plain service")
}
