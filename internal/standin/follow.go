package standin

import (
	"context"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	manifestFile   = "manifest.json"
	followInterval = 200 * time.Millisecond
)

// ReadConfiguration reads a directory that gypsumlug questionnaire generate
// wrote: the manifest and, by their hash, all other files. The error is a
// *result.Error with code 631.
func ReadConfiguration(dir string) (manifest []byte, documents map[string][]byte, err error) {
	manifest, err = os.ReadFile(filepath.Join(dir, manifestFile))
	if err != nil {
		return nil, nil, result.Errorf(result.Unreachable, "%v", err)
	}
	documents = make(map[string][]byte)
	err = filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || entry.Name() == manifestFile {
			return err
		}
		data, err := os.ReadFile(path)
		documents[config.Hash(data)] = data
		return err
	})
	if err != nil {
		return nil, nil, result.Errorf(result.Unreachable, "%v", err)
	}
	return manifest, documents, nil
}

// FollowDirectory publishes the directory's configuration whenever its revision rises,
// until ctx ends. What can't be read yet is tried again.
func (p *Platform) FollowDirectory(ctx context.Context, dir string) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		_, _ = p.publishNewer(dir)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// publishNewer publishes the directory's configuration if it is whole and its
// revision higher than what is published, and reports whether it did.
func (p *Platform) publishNewer(dir string) (bool, error) {
	manifest, documents, err := ReadConfiguration(dir)
	if err != nil {
		return false, err
	}
	bundle, err := config.NewBundle(manifest, documents)
	if err != nil {
		return false, err
	}
	if bundle.Revision <= p.published() {
		return false, nil
	}
	return true, p.Publish(manifest, documents)
}
