package main

import (
	"encoding/json"
	"errors"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

type listedPackage struct {
	ImportPath, Dir, Export   string
	GoFiles                   []string
	TestGoFiles, XTestGoFiles []string
	Standard                  bool
}

type checkedPackage struct {
	path  string
	files []*ast.File
	info  *types.Info
}

func listPackages() ([]listedPackage, error) {
	command := exec.Command("go", "list", "-export", "-deps", "-json=ImportPath,Dir,Export,GoFiles,TestGoFiles,XTestGoFiles,Standard", "./...")
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return nil, err
	}
	var out []listedPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var p listedPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
}

func isOwn(path string) bool { return path == module || strings.HasPrefix(path, module+"/") }

// checkPackages type-checks the module's own packages. listed has each package after its
// imports, so that a type is the same object in all packages that use it.
func checkPackages(files *token.FileSet, listed []listedPackage) ([]checkedPackage, error) {
	exports := map[string]string{}
	for _, p := range listed {
		exports[p.ImportPath] = p.Export
	}
	compiled := importer.ForCompiler(files, "gc", func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) })
	ownPackages := map[string]*types.Package{}
	var out []checkedPackage
	for _, p := range listed {
		if !isOwn(p.ImportPath) || p.ImportPath == module+"/internal/outwardnames" {
			continue
		}
		parsed, err := parseFiles(files, p.Dir, p.GoFiles)
		if err != nil {
			return nil, err
		}
		info := &types.Info{Types: map[ast.Expr]types.TypeAndValue{}, Uses: map[*ast.Ident]types.Object{}, Defs: map[*ast.Ident]types.Object{}}
		config := types.Config{Importer: importFunc(func(path string) (*types.Package, error) {
			if ownPackages[path] != nil {
				return ownPackages[path], nil
			}
			return compiled.Import(path)
		})}
		checked, err := config.Check(p.ImportPath, files, parsed, info)
		if err != nil {
			return nil, err
		}
		ownPackages[p.ImportPath] = checked
		out = append(out, checkedPackage{p.ImportPath, parsed, info})
	}
	return out, nil
}

type importFunc func(path string) (*types.Package, error)

func (f importFunc) Import(path string) (*types.Package, error) { return f(path) }

func parseFiles(files *token.FileSet, dir string, names []string) ([]*ast.File, error) {
	var out []*ast.File
	for _, name := range names {
		parsed, err := parser.ParseFile(files, filepath.Join(dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		out = append(out, parsed)
	}
	return out, nil
}
