// Package buildinfo tells which build of the program runs.
package buildinfo

import "runtime/debug"

// unknown stands for what the build does not record.
const unknown = "unknown"

// Info identifies a build.
type Info struct {
	// Version is the version of the module, Commit the commit that was built.
	Version, Commit string
	// Go is the Go release.
	Go string
}

// Read returns the build of the running program. What it does not record is "unknown".
func Read() Info {
	info := Info{Version: unknown, Commit: unknown, Go: unknown}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	info.Version, info.Go = build.Main.Version, build.GoVersion
	for _, s := range build.Settings {
		if s.Key == "vcs.revision" {
			info.Commit = s.Value
		}
	}
	return info
}
