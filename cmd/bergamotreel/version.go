package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"bergamotreel/internal/verbs"
)

// versionVerb prints the version of the program.
func versionVerb() verbs.Verb {
	return verbs.Verb{
		Name:   "version",
		Help:   "print the version of this program",
		Attach: func(*flaggy.Subcommand) {},
		Run: func(_ context.Context, out io.Writer) error {
			_, err := fmt.Fprintln(out, versionLine())
			return err
		},
	}
}

// versionLine describes the build as recorded by the toolchain.
func versionLine() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "bergamotreel (build unknown)"
	}
	return describeBuild(info)
}

func describeBuild(info *debug.BuildInfo) string {
	line := "bergamotreel " + info.Main.Version
	values := map[string]string{}
	for _, setting := range info.Settings {
		values[setting.Key] = setting.Value
	}
	if revision := values["vcs.revision"]; revision != "" {
		line += ", commit " + revision
	}
	if values["vcs.modified"] == "true" {
		line += " (changed)"
	}
	return line + ", " + info.GoVersion
}
