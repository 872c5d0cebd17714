// Package replay generates the load of a deployment from seeded assumptions and
// replays it in virtual time against the daemon's own decision code and against
// simple baseline policies. Engines are modeled by their slots, memory and load
// times; there is no network traffic. The package compares policies; it does not
// simulate a cluster in detail.
//
// The measures, which are defined independently of the results:
//
//   - Cold start: a request that finds no ready replica of its unit. Its cold
//     start time runs from its arrival to its first token; a refused request
//     counts with its maximum wait. Percentiles are over these requests.
//   - Wake-up: a request whose unit had no request in the minute before. The set
//     is the same for every policy, so that a policy that avoids most cold starts
//     is not measured only by the few that remain. Percentiles are of the time to
//     first token.
//   - Idle accelerator hours: for each right (loading, ready or standby) without
//     a running request, its share of the memory of its engine, summed over time.
//   - In time: a request whose first token came within its maximum wait.
package replay
