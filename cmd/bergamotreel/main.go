// Command bergamotreel is the entry VM's daemon and the operators' command-line tool. Each
// verb has its own file.
package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"bergamotreel/internal/settings"
	"bergamotreel/internal/verbs"
)

// exitNotEverywhere is the exit code for a change that was accepted but isn't yet in force
// on every entry VM.
const exitNotEverywhere = 3

var program = verbs.Program{
	Name: "bergamotreel", Description: "serves rarely used language models",
	Verbs:    []func() verbs.Verb{serveVerb, devVerb, contractVerb, statusVerb, versionVerb},
	ExitCode: exitCode,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(program.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// exitCode returns the process's exit code after an error, 0 without one.
func exitCode(err error) int {
	var problem *settings.Problem
	if errors.As(err, &problem) {
		return settings.ExitCode
	}
	return verbs.ExitCode(err)
}
