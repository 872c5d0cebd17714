package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// hostedSettings is the format of an entry VM's settings on the hosting platform.
const hostedSettings = `[vm]
id = %[1]s
domain = zone-a
callers_address = %[2]s
peers_address = %[3]s
ready_address = %[4]s
first_start = true
[platform]
kind = hosted
registry = %[5]s
order_quiet = 3s
[peers]
secret = a-secret-of-a-test-with-enough-characters
seeds = %[6]s
[policy]
shutdown_grace = 5s
`

// serve -check prints what it would run, or a line with the section and key of a mistake.
func TestServeCheck(t *testing.T) {
	file := filepath.Join(t.TempDir(), "s.ini")
	text := fmt.Sprintf(hostedSettings, "vm-0", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", "127.0.0.1:5")
	testkit.OK(t, os.WriteFile(file, []byte(text), 0o600))
	var out, errs strings.Builder
	code := program.Run(context.Background(), []string{"serve", "-config", file, "-check"}, &out, &errs)
	testkit.That(t, code == 0 && strings.Contains(out.String(), "registry at 127.0.0.1:4"), "code %d: %s%s", code, out.String(), errs.String())
	testkit.OK(t, os.WriteFile(file, []byte(strings.Replace(text, "registry = 127.0.0.1:4", "", 1)), 0o600))
	code = program.Run(context.Background(), []string{"serve", "-config", file, "-check"}, &out, &errs)
	testkit.That(t, code == 2 && strings.Contains(errs.String(), "[platform] registry: missing"), "code %d: %s", code, errs.String())
}

// The template of the deploy file, filled in by the platform, must produce settings that
// the daemon accepts.
func TestDeployTemplate(t *testing.T) {
	template := string(testkit.Value(os.ReadFile("../../deploy/settings.ini.tmpl"))(t))
	fields := map[string]string{
		"nodeName": "front-a-1", "zone": "a", "region": "r", "listen.front": "10.0.0.1:1", "listen.control": "10.0.0.1:2",
		"listen.ready": "10.0.0.1:3", "bootstrap": "true", "platform.address": "10.0.0.9:9", "platform.parts": "12",
		"bounds.leaseMs": "3000", "bounds.graceS": "8", "bounds.configApplyMs": "2000", "bounds.drainMs": "2000", "limits.memoryMb": "284", "seeds": "10.0.0.1:2,10.0.0.2:2", "ip": "10.0.0.1", "internalPorts.0": "7380",
	}
	for what, sections := range map[string]map[string][]string{
		"without workspaces": {"zones": {"a", "b"}},
		"with workspaces":    {"zones": {"a", "b", "c"}, "bounds.strictRevoke": {"true"}, "bounds.revokeMs": {"5000"}, "bounds.quotaSlack": {"7500.5"}},
	} {
		filled := fillSections(template, sections)
		for name, value := range fields {
			filled = strings.ReplaceAll(filled, "{{"+name+"}}", value)
		}
		testkit.That(t, !strings.Contains(filled, "{{"), "%s: fields that this test doesn't know: %s", what, filled)
		file := filepath.Join(t.TempDir(), "s.ini")
		testkit.OK(t, os.WriteFile(file, []byte(filled), 0o600))
		var out, errs strings.Builder
		code := program.Run(context.Background(), []string{"serve", "-config", file, "-check"}, &out, &errs)
		testkit.That(t, code == 0, "%s: code %d: %s", what, code, errs.String())
		_, strict := sections["bounds.strictRevoke"]
		testkit.That(t, strict == strings.Contains(filled, "refuse_unsure_after = 5000ms"), "%s: %s", what, filled)
		testkit.That(t, strict == strings.Contains(filled, "quota_slack = 7500.5"), "%s: %s", what, filled)
		testkit.That(t, strings.Contains(filled, "domains = "+strings.Join(sections["zones"], ",")+"\n"), "%s: %s", what, filled)
	}
	system := string(testkit.Value(os.ReadFile("../../deploy/system.toml"))(t))
	testkit.That(t, strings.Contains(system, `template = "deploy/settings.ini.tmpl"`), "the deploy file names another template")
}

// fillSections renders the template's sections as the platform does: once for each entry
// of a list or table, and not at all without entries. {{@}} is the entry's key, and {{,}} a
// comma except after the last entry.
func fillSections(template string, entries map[string][]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/([A-Za-z.]+)\}\}`)
	return section.ReplaceAllStringFunc(template, func(whole string) string {
		parts := section.FindStringSubmatch(whole)
		var out strings.Builder
		for i, entry := range entries[parts[1]] {
			comma := ","
			if i == len(entries[parts[1]])-1 {
				comma = ""
			}
			body := strings.NewReplacer("{{@}}", entry, "{{,}}", comma).Replace(parts[2])
			for name, values := range entries {
				body = strings.ReplaceAll(body, "{{"+name+"}}", values[0])
			}
			out.WriteString(body)
		}
		return out.String()
	})
}
