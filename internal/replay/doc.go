// Package replay makes a deployment's day from seeded assumptions and runs it
// in virtual time against the daemon's own decision code and against simple
// policies. Engines are a model of slots, memory and load times; nothing talks
// to anything. It compares policies; it is no cluster simulator.
//
// What is measured, fixed before the first run:
//
//   - Cold start: a request that finds no ready replica of its unit. Its cold
//     start time is from its arrival to its first token; one that is refused
//     counts with its longest wait. Percentiles are over these requests.
//   - Wake-up: a request whose unit had none in the minute before. The set is
//     the same for every policy, so a policy that avoids cold starts is not
//     judged by the few that are left. Percentiles of the time to first token.
//   - Idle accelerator hours: for each right (loading, ready or standby) with
//     no running request, its share of its engine's memory, summed over time.
//   - In time: requests whose first token came within their longest wait.
package replay
