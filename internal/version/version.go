// Package version tells which version of the programs runs.
package version

import "runtime/debug"

// unknown is the version of a build without module information.
const unknown = "devel"

// String returns the module's version, or the revision that it was built from.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return unknown + "-" + s.Value[:min(len(s.Value), 12)]
		}
	}
	return unknown
}

// Go returns the version of the Go toolchain.
func Go() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return info.GoVersion
}
