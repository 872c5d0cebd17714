package archtest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// platformNames lists names that the users' platform defines: headers, paths, topics and
// fields. Only package platform may contain them, as it translates them. They are
// concatenated here because the test also searches this file.
var platformNames = []string{
	ownPrefix + "Attempt", ownPrefix + "Deadline", ownPrefix + "Target", ownPrefix + "Server", ownPrefix + "Not-Run",
	ownPrefix + "Model", ownPrefix + "Token", ownPrefix + "Prompt", ownPrefix + "Request", ownPrefix + "Instance",
	ownPrefix + "Weight", ownPrefix + "Expect", ownPrefix + "Pin", ownPrefix + "Hold", ownPrefix + "Length",
	"Kv" + "-From", "Kv" + "-Fetch", "/log" + "-", "keyed" + ".", "fencing" + "Token",
	"weights" + "Size", "adapter" + "Slots", "path" + "Prefix", "target" + "LatencyMs", "max" + "Attempts", "remaining" + "Ms",
	"at" + "Hand",
}

// ownPrefix is also the prefix of the product's own headers.
const ownPrefix = "Bergamotreel" + "-"

// Guards against names of the platform outside its folder: they tie the product to one
// platform, and supporting another one would need changes throughout the code.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	root := "../.."
	testkit.OK(t, filepath.WalkDir(root, func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "platform" || strings.HasPrefix(entry.Name(), ".") && path != root) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range platformNames {
			testkit.That(t, !strings.Contains(string(text), name), "%s contains the platform's name %s", path, name)
		}
		return nil
	}))
}

// Guards against platform adapters that make decisions: the product's tests don't cover
// them, and the adapter of the next platform would have to repeat them.
func TestPlatformDecidesNothing(t *testing.T) {
	for _, p := range listPackages(t) {
		if !p.isOneOf("platform") {
			continue
		}
		for _, imported := range p.Imports {
			decides := (goPackage{ImportPath: imported}).isOneOf(decisionPackages...) && imported != module+"/contract"
			testkit.That(t, !decides, "%s imports the decision package %s", p.ImportPath, imported)
			testkit.That(t, imported != module+"/internal/hosted" && imported != module+"/internal/serving",
				"%s imports %s, which decides", p.ImportPath, imported)
		}
	}
}
