package main

import (
	"bytes"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/questionnaire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Layout of a directory of generated configuration.
const (
	generatedManifest  = "manifest.json"
	generatedDocuments = "documents"
	directoryMode      = 0o755
	fileMode           = 0o644
)

type questionnaireGenerateCmd struct {
	File     string `arg:"" help:"Questionnaire."`
	Out      string `help:"Directory for manifest.json and documents/." required:"" type:"path"`
	Revision uint64 `help:"Revision of the configuration; by default that of the questionnaire."`
}

// generateReport is the JSON output: a summary of the generated configuration.
type generateReport struct {
	Revision     config.Revision `json:"revision"`
	ManifestHash string          `json:"manifest_hash"`
	Documents    int             `json:"documents"`
	Bytes        int             `json:"bytes"`
	Directory    string          `json:"directory"`
}

// Run generates the configuration and writes it to the directory.
func (c *questionnaireGenerateCmd) Run(env *environment) error {
	q, err := readQuestionnaire(c.File)
	if err != nil {
		return err
	}
	revision := config.Revision(c.Revision)
	if revision == 0 {
		revision = config.Revision(q.Revision)
	}
	out, err := questionnaire.Generate(q, revision)
	if err != nil {
		return err
	}
	if err := checkRevision(c.Out, out.Manifest, revision); err != nil {
		return err
	}
	if err := writeOutput(c.Out, out); err != nil {
		return result.FieldErrorf(result.Unreachable, "--out", "%v", err)
	}
	r := generateReport{Revision: revision, ManifestHash: config.Hash(out.Manifest), Documents: len(out.Documents), Bytes: len(out.Manifest), Directory: c.Out}
	for _, d := range out.Documents {
		r.Bytes += len(d.Data)
	}
	return env.print(r, func(t table.Writer) {
		t.AppendRow(table.Row{"revision", r.Revision})
		t.AppendRow(table.Row{"manifest hash", r.ManifestHash})
		t.AppendRow(table.Row{"documents", r.Documents})
		t.AppendRow(table.Row{"bytes", r.Bytes})
		t.AppendRow(table.Row{"directory", r.Directory})
	})
}

// checkRevision rejects a revision that hosts would refuse if they had the configuration
// that is in the directory now: a lower one, or the same one with another manifest.
func checkRevision(dir string, manifest []byte, revision config.Revision) error {
	data, err := os.ReadFile(filepath.Join(dir, generatedManifest))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return result.FieldErrorf(result.Unreachable, "--out", "%v", err)
	}
	current, err := config.ParseManifest(data)
	switch {
	case err != nil:
		return err
	case revision < current.Revision:
		return result.FieldErrorf(result.ManifestOlder, "--revision", "%d is lower than %d, the revision in the directory", revision, current.Revision)
	case revision == current.Revision && !bytes.Equal(data, manifest):
		return result.FieldErrorf(result.ManifestConflict, "--revision", "the directory has a different configuration with revision %d; raise the revision", revision)
	default:
		return nil
	}
}

// writeOutput writes the documents, then the manifest that lists them, and then removes
// the documents that are no longer listed. A reader of a manifest thus finds all of its
// documents.
func writeOutput(dir string, out *questionnaire.Output) error {
	documents := filepath.Join(dir, generatedDocuments)
	if err := os.MkdirAll(documents, directoryMode); err != nil {
		return err
	}
	wanted := make(map[string]bool, len(out.Documents))
	for _, d := range out.Documents {
		name := string(d.Ref.Kind) + "-" + d.Ref.Name + ".json"
		wanted[name] = true
		if err := writeFile(filepath.Join(documents, name), d.Data); err != nil {
			return err
		}
	}
	if err := writeFile(filepath.Join(dir, generatedManifest), out.Manifest); err != nil {
		return err
	}
	return removeStale(documents, wanted)
}

// writeFile replaces a file atomically: a reader sees either the old or the new content.
func writeFile(path string, data []byte) error {
	temporary := path + ".tmp"
	if err := os.WriteFile(temporary, data, fileMode); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// removeStale removes the documents whose file names are not in wanted.
func removeStale(documents string, wanted map[string]bool) error {
	for _, kind := range []config.Kind{config.KindService, config.KindIndex} {
		paths, err := filepath.Glob(filepath.Join(documents, string(kind)+"-*.json"))
		if err != nil {
			return err
		}
		for _, path := range paths {
			if wanted[filepath.Base(path)] {
				continue
			}
			if err := os.Remove(path); err != nil {
				return err
			}
		}
	}
	return nil
}
