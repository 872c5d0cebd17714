package archtest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

// platformNames are spelled by the users' platform: headers, paths, topics and fields.
// Package platform translates them, and nothing else may know them. They are put
// together here, as this file is looked through too.
var platformNames = []string{
	ownPrefix + "Attempt", ownPrefix + "Deadline", ownPrefix + "Target", ownPrefix + "Server", ownPrefix + "Not-Run",
	ownPrefix + "Model", ownPrefix + "Token", ownPrefix + "Prompt", ownPrefix + "Request", ownPrefix + "Instance",
	ownPrefix + "Weight", ownPrefix + "Expect", ownPrefix + "Pin", ownPrefix + "Hold", ownPrefix + "Length",
	"Kv" + "-From", "Kv" + "-Fetch", "/log" + "-", "keyed" + ".", "fencing" + "Token",
	"weights" + "Size", "adapter" + "Slots", "path" + "Prefix", "target" + "LatencyMs", "max" + "Attempts", "remaining" + "Ms",
	"at" + "Hand",
}

// ownPrefix begins the product's own headers as well.
const ownPrefix = "Bergamotreel" + "-"

// A name of the platform outside its folder ties the product to one platform: the next
// one would need changes all over the code.
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
			testkit.That(t, !strings.Contains(string(text), name), "%s knows the platform's name %s", path, name)
		}
		return nil
	}))
}

// An adapter that decides hides decisions from the tests of the product, and repeats
// them for the next platform.
func TestPlatformDecidesNothing(t *testing.T) {
	for _, p := range listPackages(t) {
		if !p.is("platform") {
			continue
		}
		for _, imported := range p.Imports {
			decides := (goPackage{ImportPath: imported}).is(decisionPackages...) && imported != module+"/contract"
			testkit.That(t, !decides, "%s imports the decision package %s", p.ImportPath, imported)
			testkit.That(t, imported != module+"/internal/hosted" && imported != module+"/internal/serving",
				"%s imports %s, which decides", p.ImportPath, imported)
		}
	}
}
