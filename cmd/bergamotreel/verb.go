package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/settings"
)

// verb is one subcommand. Its file has a constructor for it.
type verb struct {
	name, help string
	// attach adds the verb's flags and its own subcommands.
	attach func(*flaggy.Subcommand)
	// run does the work until it is done or ctx ends. exitCode tells what its
	// error means for the process.
	run func(ctx context.Context, out io.Writer) error
}

// Exit codes of the process.
const (
	exitFailed = 1
	// exitUsage is for what only the caller can mend: arguments and settings.
	exitUsage = settings.ExitCode
	// exitNotEverywhere is for a change that was accepted, but isn't in force on
	// every entry VM yet.
	exitNotEverywhere = 3
)

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap gives the error without its code.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Errorf(format, args...)}
}

// exitCode returns the process's exit code after an error, 0 without one.
func exitCode(err error) int {
	var exit *exitError
	var problem *settings.Problem
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &problem):
		return exitUsage
	}
	return exitFailed
}
