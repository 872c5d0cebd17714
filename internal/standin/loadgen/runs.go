package loadgen

import (
	"context"
	"encoding/json"
	"net/http"

	"bergamotreel/internal/standin/serviceserver"
)

// countRuns asks the services how often each booking really ran. A key that ran
// twice shows even if both callers were told the same.
func (r *Report) countRuns(ctx context.Context, client *http.Client, admins []string) {
	times := map[string]int{}
	for _, address := range admins {
		calls, err := callsOf(ctx, client, address)
		if err != nil {
			r.Details = append(r.Details, "runs not checked: "+err.Error())
			return
		}
		for _, call := range calls {
			times[call.IdempotencyKey] += call.Count
		}
	}
	delete(times, "")
	for key, n := range times {
		if n > 1 {
			r.RanTwice = append(r.RanTwice, key)
		}
	}
	r.RunsChecked = true
}

func callsOf(ctx context.Context, client *http.Client, address string) ([]serviceserver.CallCount, error) {
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
