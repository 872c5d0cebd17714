package main

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

func TestParseWorths(t *testing.T) {
	worths, err := parseWorths([]string{"250ms/12s=1.5:0.15", "250ms/4s=0.9:0.1", "3s/25s=7.7:1.2"})
	testkit.Need(t, err == nil, "%v", err)
	for _, c := range []struct {
		target, allowed time.Duration
		inTime          float64
	}{
		{250 * time.Millisecond, 11900 * time.Millisecond, 1.5},
		{250 * time.Millisecond, 3 * time.Second, 0.9},
		{3 * time.Second, time.Second, 7.7},
		{time.Second, time.Second, defaultWorth.InTime},
	} {
		testkit.Equal(t, c.target.String()+" "+c.allowed.String(), worths.worthOf(c.target, c.allowed).InTime, c.inTime)
	}
	for _, bad := range []string{"", "1s=1:0", "1s/2s", "1s/2s=1", "x/2s=1:1"} {
		_, err := parseWorths([]string{bad})
		testkit.That(t, err != nil, "%q is accepted", bad)
	}
}

// Logs that lack a required line must lead to an error that names the line, and to no
// table.
func TestHindsightRejectsLogsWithMissingLines(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	line := `{"level":"info","ts":"2026-03-04T21:00:00Z","msg":"request ended","vm":"a","request":"r"}` + "\n"
	testkit.NoError(t, os.WriteFile(path, []byte(line), 0o600))
	var out strings.Builder
	err := (&hindsightFlags{file: path}).run(context.Background(), &out)
	testkit.That(t, err != nil && strings.Contains(err.Error(), "pool planned for") && out.Len() == 0, "got %v, %q", err, out.String())
}
