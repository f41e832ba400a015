package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const modulePrefix = "github.com/hickorydock/hickorydock/internal/"

// layers lists the layers from the lowest to the highest. A package may import
// packages of its own layer and of lower ones.
var layers = []string{"protocol", "state", "coordination", "transport", "standin", "node", "load", "experiment"}

func layerOf(path string) int {
	first, _, _ := strings.Cut(filepath.ToSlash(path), "/")
	for i, name := range layers {
		if name == first {
			return i
		}
	}
	return -1
}

// TestImportsPointDownwards fails when a package imports one of a higher layer, or
// when the coordination layer, whose decisions do no input or output, imports
// packages that read sockets or files.
func TestImportsPointDownwards(t *testing.T) {
	parsedFiles := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || path == "layers_test.go" {
			return err
		}
		layer := layerOf(path)
		if layer < 0 {
			t.Errorf("%s: belongs to no layer", path)
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		parsedFiles++
		for _, spec := range file.Imports {
			checkImport(t, path, layer, spec.Path.Value)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if parsedFiles == 0 {
		t.Fatal("no Go file found")
	}
}

func checkImport(t *testing.T, path string, layer int, quotedName string) {
	t.Helper()
	name, err := strconv.Unquote(quotedName)
	if err != nil {
		t.Fatal(err)
	}
	if relative, ok := strings.CutPrefix(name, modulePrefix); ok && layerOf(relative) > layer {
		t.Errorf("%s imports %s from a higher layer", path, name)
	}
	isCoordination := layers[layer] == "coordination" && !strings.HasSuffix(path, "_test.go")
	if isCoordination && (name == "net" || name == "net/http" || name == "os") {
		t.Errorf("%s imports %s: the coordination layer does no input or output", path, name)
	}
}
