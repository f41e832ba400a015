package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"
)

var versionCommand = command{
	name:    "version",
	summary: "Print the version.",
	examples: `Examples:
  hickorydock version
  hickorydock version --json`,
	bind: bindVersion,
}

// versionInfo is the output of version --json.
type versionInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

func bindVersion(flags *flaggy.Subcommand) runFunc {
	var asJSON bool
	flags.Bool(&asJSON, "", "json", "Print one JSON object.")
	return func(_ context.Context, out, _ io.Writer) error {
		info := buildVersion()
		if asJSON {
			return json.NewEncoder(out).Encode(info)
		}
		_, err := fmt.Fprintf(out, "hickorydock %s %s %s\n", info.Version, info.Revision, info.Go)
		return err
	}
}

// buildVersion reads the build information that the Go tool recorded in the binary.
func buildVersion() versionInfo {
	info := versionInfo{Version: "(devel)", Go: runtime.Version()}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return info
	}
	if build.Main.Version != "" {
		info.Version = build.Main.Version
	}
	for _, setting := range build.Settings {
		if setting.Key == "vcs.revision" {
			info.Revision = setting.Value
		}
	}
	return info
}
