package testsuite

import (
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// GoFiles returns the paths of the Go files in a directory and its subdirectories.
func GoFiles(t testing.TB, dir string) []string {
	t.Helper()
	var paths []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".go") {
			paths = append(paths, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return paths
}
