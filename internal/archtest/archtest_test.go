// Package archtest checks the rules for the layers of the module.
package archtest

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"bergamotreel/internal/testkit"
)

const module = "bergamotreel"

// decisionPackages make decisions without I/O. peerPackages communicate with other
// processes.
var (
	decisionPackages = []string{"contract", "state", "placement", "admission", "routing", "lease", "idempotency"}
	peerPackages     = []string{"caller", "engine", "service", "weightstore", "platformlog", "vmlist", "operator", "entryvm", "registry"}
)

// forbiddenCalls lists functions that decision packages must not call: they read the clock
// or wait for it, which makes a decision differ from run to run.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "NewTimer", "NewTicker", "Tick"},
}

// randConstructors lists the only functions of math/rand and math/rand/v2 that don't use
// the global generator.
var randConstructors = []string{"New", "NewSource", "NewZipf", "NewPCG", "NewChaCha8"}

// ioPackages lists packages that a decision package must not import.
var ioPackages = []string{"net", "net/http", "net/rpc", "os", "os/exec", "syscall", "crypto/rand"}

type goPackage struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	Imports    []string
	Deps       []string

	TestImports, XTestImports []string
}

func (p goPackage) isOneOf(names ...string) bool {
	top, _, _ := strings.Cut(strings.TrimPrefix(p.ImportPath, module+"/"), "/")
	return slices.Contains(names, top)
}

// Guards against decision packages that read a clock, a socket or the global generator:
// they decide differently on each VM and in each run, and the replicated states diverge.
// Also guards against imports of cmd, as a package that imports it cannot be embedded.
func TestLayers(t *testing.T) {
	unchecked := map[string]bool{}
	for _, name := range decisionPackages {
		unchecked[module+"/"+name] = true
	}
	for _, p := range listPackages(t) {
		delete(unchecked, p.ImportPath)
		for _, imported := range p.Imports {
			testkit.That(t, !strings.HasPrefix(imported, module+"/cmd/"), "%s imports %s", p.ImportPath, imported)
		}
		if p.isOneOf(decisionPackages...) {
			checkDecisionPackage(t, p)
		}
	}
	// Without this check a renamed package would escape the rules.
	for name := range unchecked {
		t.Errorf("no package %s", name)
	}
}

// Each package that tests with rapid must fix its seed: with a seed from the clock CI
// gives different verdicts on the same code.
func TestRapidSeedIsFixed(t *testing.T) {
	for _, p := range listPackages(t) {
		imports := slices.Concat(p.TestImports, p.XTestImports)
		testkit.That(t, !slices.Contains(imports, "pgregory.net/rapid") || slices.Contains(imports, module+"/internal/fixedseed"),
			"the tests of %s use rapid without a fixed seed", p.ImportPath)
	}
}

func checkDecisionPackage(t *testing.T, p goPackage) {
	for _, imported := range p.Imports {
		testkit.That(t, !slices.Contains(ioPackages, imported), "%s imports %s", p.ImportPath, imported)
	}
	for _, dep := range p.Deps {
		testkit.That(t, !strings.HasPrefix(dep, module+"/") || !(goPackage{ImportPath: dep}).isOneOf(peerPackages...),
			"%s depends on the peer package %s", p.ImportPath, dep)
	}
	for _, file := range p.GoFiles {
		checkCalls(t, filepath.Join(p.Dir, file))
	}
}

func checkCalls(t *testing.T, path string) {
	fileSet := token.NewFileSet()
	file := testkit.Value(parser.ParseFile(fileSet, path, nil, 0))(t)
	imported := map[string]string{}
	for _, spec := range file.Imports {
		importPath := strings.Trim(spec.Path.Value, `"`)
		name := strings.TrimSuffix(importPath, "/v2")
		name = name[strings.LastIndex(name, "/")+1:]
		if spec.Name != nil {
			name = spec.Name.Name
		}
		imported[name] = importPath
	}
	ast.Inspect(file, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		if name, ok := selector.X.(*ast.Ident); ok && isForbidden(imported[name.Name], selector.Sel.Name) {
			t.Errorf("%s uses %s.%s", fileSet.Position(node.Pos()), name.Name, selector.Sel.Name)
		}
		return true
	})
}

// isForbidden reports whether a decision package must not use the name. The types of
// math/rand are allowed, as callers pass generators in.
func isForbidden(importPath, name string) bool {
	if importPath == "math/rand" || importPath == "math/rand/v2" {
		types := []string{"Rand", "Source", "Source64", "Zipf", "PCG", "ChaCha8"}
		return !slices.Contains(types, name) && !slices.Contains(randConstructors, name)
	}
	return slices.Contains(forbiddenCalls[importPath], name)
}

func listPackages(t *testing.T) []goPackage {
	command := exec.Command("go", "list", "-json=ImportPath,Dir,GoFiles,Imports,Deps,TestImports,XTestImports", module+"/...")
	output := testkit.Value(command.Output())(t)
	var packages []goPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p goPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, p)
	}
}
