// Command rig plays the review's cases: it starts entry VMs as separate processes, with stand-ins
// of the store, the backend servers and the clients on loopback addresses, and checks one rule.
//
// Usage: rig CASE DIR. The record is written to DIR/record.txt. The exit code is 1 if the rule
// was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment the
// case runs without its disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to what it does. Each returns the number of violations.
var cases = map[string]func(*system) int{
	"idempotency-key": runIdempotencyKey,
	"late-copy":       runLateCopy,
	"foreign-bytes":   runForeignBytes,
	"hang":            runHang,
	"suspects":        runSuspects,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE DIR")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	s, err := newSystem(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer s.stop()
	violations := cases[args[0]](s)
	switch {
	case s.err() != nil:
		fmt.Fprintln(os.Stderr, "not run:", s.err())
		return exitNotRun
	case violations > 0:
		s.note("BROKEN: %d violations", violations)
		return exitBroken
	default:
		s.note("HELD")
		return exitHeld
	}
}
