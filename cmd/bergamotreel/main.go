// Command bergamotreel is the entry daemon and the operators' tool. Each verb
// has its own file.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// verbs are the constructors of all subcommands.
var verbs = []func() verb{
	serveVerb,
	devVerb,
	contractVerb,
	statusVerb,
	versionVerb,
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run parses the arguments, runs one verb and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	parser := flaggy.NewParser("bergamotreel")
	parser.Description = "serves rarely used language models"
	parser.DisableShowVersionWithVersion()
	used := make(map[*flaggy.Subcommand]verb)
	for _, construct := range verbs {
		v := construct()
		sub := flaggy.NewSubcommand(v.name)
		sub.Description = v.help
		v.attach(sub)
		parser.AttachSubcommand(sub, 1)
		used[sub] = v
	}
	if err := parser.ParseArgs(args); err != nil {
		fmt.Fprintln(errOut, "bergamotreel:", err)
		return exitUsage
	}
	for sub, v := range used {
		if !sub.Used {
			continue
		}
		err := v.run(ctx, out)
		if err != nil {
			fmt.Fprintf(errOut, "bergamotreel %s: %v\n", v.name, err)
		}
		return exitCode(err)
	}
	parser.ShowHelp()
	return exitUsage
}
