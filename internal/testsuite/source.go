package testsuite

import (
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// GoFiles returns the paths of the Go files under a directory.
func GoFiles(t testing.TB, dir string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".go") {
			out = append(out, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
