package weightserver_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/internal/standin/weightserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/weightstore"

	"github.com/google/go-cmp/cmp"
)

// deployedConfig returns the configuration of the deployed stores, with one checkpoint
// that takes 10 s to fetch.
func deployedConfig() weightserver.Config {
	return weightserver.Config{
		Checkpoints:        map[string]int64{"m": 10e9},
		BytesPerSecond:     1e9,
		MaxConcurrentLoads: 4,
	}
}

// fetchAll starts n fetches at the same time and returns the duration of each in
// seconds, rounded to milliseconds.
func fetchAll(t *testing.T, store *weightserver.Store, n int) []float64 {
	start := time.Now()
	took := make([]float64, n)
	var fetches sync.WaitGroup
	for i := range n {
		fetches.Go(func() {
			testkit.NoError(t, store.Fetch(t.Context(), "m"))
			took[i] = time.Since(start).Round(time.Millisecond).Seconds()
		})
	}
	fetches.Wait()
	return took
}

func TestConcurrentFetchesShareBandwidth(t *testing.T) {
	cases := map[string]struct {
		loads int
		fault faults.Settings
		want  []float64
	}{
		"alone":                    {1, faults.Settings{}, []float64{10}},
		"at full speed":            {4, faults.Settings{}, []float64{10, 10, 10, 10}},
		"above MaxConcurrentLoads": {5, faults.Settings{}, []float64{12.5, 12.5, 12.5, 12.5, 12.5}},
		"slow store":               {1, faults.Settings{SlowFactor: 3}, []float64{30}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := weightserver.New(deployedConfig())
				store.Faults().Set(c.fault)
				testkit.NoDiff(t, c.want, fetchAll(t, store, c.loads))
			})
		})
	}
}

// A fifth fetch starts while four are running and is canceled half way. Each period
// must count at the speed that applied during it.
func TestSpeedFollowsTheNumberOfFetches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := weightserver.New(deployedConfig())
		time.AfterFunc(5*time.Second, func() {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			testkit.WantError(t, "canceled fetch", store.Fetch(ctx, "m"), weightstore.ErrUnavailable)
		})
		// 5 s at full speed, 5 s at 4/5, the last 1 s at full speed.
		testkit.NoDiff(t, []float64{11, 11, 11, 11}, fetchAll(t, store, 4))
	})
}

func TestFetchStartsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := deployedConfig()
		config.LoadsPerSecond = 4
		store := weightserver.New(config)
		time.AfterFunc(100*time.Millisecond, func() {
			status, err := store.Status(t.Context())
			want := weightstore.Status{LoadsPerSecond: 4, MaxConcurrentLoads: 4, Running: 1, Waiting: 2}
			testkit.That(t, err == nil && status == want, "got %+v, %v", status, err)
		})
		took := fetchAll(t, store, 3)
		diff := cmp.Diff(30.75, took[0]+took[1]+took[2])
		testkit.That(t, diff == "", "starts at 0, 0.25 and 0.5 s: %s", diff)
	})
}

// The store goes down during a fetch. The fetch must fail at once, and a fetch after
// the outage must start from zero.
func TestOutageFailsRunningFetches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := weightserver.New(deployedConfig())
		start := time.Now()
		time.AfterFunc(3*time.Second, func() { store.Faults().Set(faults.Settings{Outage: true}) })
		err := store.Fetch(t.Context(), "m")
		testkit.That(t, errors.Is(err, weightstore.ErrUnavailable) && time.Since(start) == 3*time.Second,
			"got %v after %v", err, time.Since(start))
		store.Faults().Set(faults.Settings{})
		testkit.NoDiff(t, []float64{10}, fetchAll(t, store, 1))
	})
}

func TestClientOverHTTP(t *testing.T) {
	store := weightserver.New(weightserver.Config{Checkpoints: map[string]int64{"org/m": 5}, MaxConcurrentLoads: 4})
	server := httptest.NewServer(weightserver.Handler(store))
	defer server.Close()
	client := weightstore.NewClient(server.URL, nil)
	got, err := client.Checkpoint(t.Context(), "org/m")
	testkit.That(t, err == nil && got == (weightstore.Checkpoint{Name: "org/m", Bytes: 5}), "checkpoint: %+v, %v", got, err)
	testkit.Equal(t, "MaxConcurrentLoads", testkit.Value(client.Status(t.Context()))(t).MaxConcurrentLoads, 4)
	testkit.NoError(t, client.Fetch(t.Context(), "org/m"))
	testkit.WantError(t, "unknown checkpoint", testkit.Err(client.Checkpoint(t.Context(), "none")), weightstore.ErrNotFound)
	store.Faults().Set(faults.Settings{Outage: true})
	testkit.WantError(t, "outage", client.Fetch(t.Context(), "org/m"), weightstore.ErrUnavailable)
}
