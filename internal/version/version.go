// Package version returns the version of the running program.
package version

import "runtime/debug"

// develVersion is the version of a build without version information. It is also
// the prefix of the version of a development build.
const develVersion = "devel"

// String returns the version of the main module. For a development build it
// returns the first 12 digits of the commit hash, prefixed with "devel-", or
// "devel" if the commit is not known.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return develVersion
	}
	if mainVersion := info.Main.Version; mainVersion != "" && mainVersion != "(devel)" {
		return mainVersion
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return develVersion + "-" + setting.Value[:min(len(setting.Value), 12)]
		}
	}
	return develVersion
}

// Go returns the version of the Go toolchain that built the program, or an empty
// string if it is not known.
func Go() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	return info.GoVersion
}
