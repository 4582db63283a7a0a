package hemlockcommand

import (
	"context"

	"hemlockhollow/hemlockrelay"
)

// SidecarSettings are the flags of the subcommand sidecar.
type SidecarSettings struct {
	// Admission says what decides on new call trees.
	Admission hemlockrelay.Admission
}

// sidecar returns the subcommand that runs a node as the sidecar of a target on the users' platform.
func (c Command) sidecar(ctx context.Context) subcommand {
	settings := SidecarSettings{Admission: hemlockrelay.BusiestService}
	return subcommand{
		name:        "sidecar",
		description: "run the node as a sidecar on the users' platform, with its settings file",
		options: []option{{
			name:        "admission",
			description: "what decides on new call trees",
			allowed:     "busiest-service or call-trees",
			set: func(value string) bool {
				admission, ok := hemlockrelay.ParseAdmission(value)
				settings.Admission = admission
				return ok
			},
		}},
		run: func([]string) error { return c.Sidecar(ctx, settings) },
	}
}
