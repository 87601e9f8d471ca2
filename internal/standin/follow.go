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
	manifestFile = "manifest.json"
	pollInterval = 200 * time.Millisecond
)

// ReadConfiguration reads a directory as written by gypsumlug questionnaire
// generate. It returns the manifest and all other files by their hash. The error
// is a *result.Error with code 631 (result.Unreachable).
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

// FollowDirectory polls a directory until ctx ends and publishes its configuration
// whenever its revision has increased. It ignores errors and reads the directory
// again at the next poll, since the files may be only partly written.
func (p *Platform) FollowDirectory(ctx context.Context, dir string) {
	ticker := time.NewTicker(pollInterval)
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

// publishNewer publishes the directory's configuration if it is complete and its
// revision higher than the published one. It reports whether it did.
func (p *Platform) publishNewer(dir string) (bool, error) {
	manifest, documents, err := ReadConfiguration(dir)
	if err != nil {
		return false, err
	}
	bundle, err := config.NewBundle(manifest, documents)
	if err != nil {
		return false, err
	}
	if bundle.Revision <= p.visibleRevision() {
		return false, nil
	}
	return true, p.Publish(manifest, documents)
}
