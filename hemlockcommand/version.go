package hemlockcommand

import (
	"fmt"
	"runtime/debug"
)

func (c Command) version([]string) error {
	version, revision := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.Output, "hemlockhollow %s, revision %s\n", version, revision)
	return err
}
