package loadgen

import (
	"context"
	"encoding/json"
	"net/http"

	"bergamotreel/internal/standin/serviceserver"
)

// findDuplicateRuns queries the services for how often each booking ran. It finds a
// key that ran twice even if both callers got the same answer.
func (r *Report) findDuplicateRuns(ctx context.Context, client *http.Client, admins []string) {
	runCounts := map[string]int{}
	for _, address := range admins {
		calls, err := fetchCalls(ctx, client, address)
		if err != nil {
			r.Details = append(r.Details, "runs not checked: "+err.Error())
			return
		}
		for _, call := range calls {
			runCounts[call.IdempotencyKey] += call.Count
		}
	}
	delete(runCounts, "")
	for key, n := range runCounts {
		if n > 1 {
			r.DuplicateRuns = append(r.DuplicateRuns, key)
		}
	}
	r.RunsChecked = true
}

// fetchCalls returns the calls that the service stand-in at address has run.
func fetchCalls(ctx context.Context, client *http.Client, address string) ([]serviceserver.CallCount, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/admin/calls", nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	answer, err := client.Do(r)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer answer.Body.Close()
	var calls []serviceserver.CallCount
	return calls, Error.Wrap(json.NewDecoder(answer.Body).Decode(&calls))
}
