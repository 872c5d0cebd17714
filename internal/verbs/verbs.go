// Package verbs implements the command line of a program with subcommands, called verbs:
// Run parses the arguments, runs one verb and returns the process's exit code. It writes
// only to the given writers.
package verbs

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
)

// Exit codes of the process. Programs may define further ones.
const (
	ExitFailed = 1
	// ExitUsage reports mistakes that only the user can correct: in arguments or settings.
	ExitUsage = 2
)

// Verb is one subcommand.
type Verb struct {
	Name, Help string
	// Attach adds the verb's flags and subcommands to the parser.
	Attach func(*flaggy.Subcommand)
	// Run runs the verb until it is done or ctx ends, and prints to out.
	Run func(ctx context.Context, out io.Writer) error
}

// Program is a command with verbs.
type Program struct {
	Name, Description string
	// Verbs holds constructors, so that each run starts with new flag values.
	Verbs []func() Verb
	// ExitCode returns the exit code of a verb's error. If it is nil, the package's
	// ExitCode is used.
	ExitCode func(error) int
}

// ExitError is an error with an exit code of its own.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error without its code.
func (e *ExitError) Unwrap() error { return e.Err }

// UsageError returns an error with the code ExitUsage.
func UsageError(format string, args ...any) error {
	return &ExitError{ExitUsage, fmt.Errorf(format, args...)}
}

// ExitCode returns the code of an ExitError, ExitFailed for other errors, and 0 for nil.
func ExitCode(err error) int {
	var exit *ExitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &exit):
		return exit.Code
	}
	return ExitFailed
}

// Run parses the arguments (without the program's name), runs one verb and
// returns the exit code.
func (p Program) Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.DisableShowVersionWithVersion()
	verbBySubcommand := make(map[*flaggy.Subcommand]Verb)
	for _, newVerb := range p.Verbs {
		v := newVerb()
		sub := flaggy.NewSubcommand(v.Name)
		sub.Description = v.Help
		v.Attach(sub)
		parser.AttachSubcommand(sub, 1)
		verbBySubcommand[sub] = v
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	for sub, v := range verbBySubcommand {
		if sub.Used {
			return p.run(ctx, v, out, errOut)
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func (p Program) run(ctx context.Context, v Verb, out, errOut io.Writer) int {
	err := v.Run(ctx, out)
	if err != nil {
		fmt.Fprintf(errOut, "%s %s: %v\n", p.Name, v.Name, err)
	}
	if p.ExitCode != nil {
		return p.ExitCode(err)
	}
	return ExitCode(err)
}
