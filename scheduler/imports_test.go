package scheduler

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

func TestSchedulerAndPackerDoNoInputOrOutput(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "log", "log/slog", "context", "io", "sync"}
	for _, folder := range []string{".", "../packer"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("no files in %s: %v", folder, err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") {
				continue
			}
			checkFile(t, name, forbidden)
		}
	}
}

func checkFile(t *testing.T, name string, forbidden []string) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(text), "time.Now(") || strings.Contains(string(text), "time.Sleep(") {
		t.Errorf("%s reads the clock", name)
	}
	file, err := parser.ParseFile(token.NewFileSet(), name, text, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range forbidden {
			if path == f {
				t.Errorf("%s imports %s", name, path)
			}
		}
	}
}
