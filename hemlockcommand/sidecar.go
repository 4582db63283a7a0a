package hemlockcommand

import (
	"context"

	"hemlockhollow/hemlockrelay"
	"hemlockhollow/hemlockselection"
)

// SidecarSettings are the settings of the subcommand sidecar, besides those of the platform's settings file.
type SidecarSettings struct {
	// Admission says what decides on new call trees.
	Admission hemlockrelay.Admission
	// Placement is the rule by which targets are chosen.
	Placement hemlockselection.Placement
}

// sidecar returns the subcommand that runs a node as the sidecar of a target on the users' platform.
func (c Command) sidecar(ctx context.Context) subcommand {
	settings := SidecarSettings{Admission: hemlockrelay.BusiestService, Placement: hemlockselection.PlacementLoad}
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
		},
			{
				name: "placement", description: "how targets are chosen", allowed: "load or cost; default load",
				set: func(value string) bool {
					settings.Placement = hemlockselection.Placement(value)
					return settings.Placement.Valid()
				},
			}},
		run: func([]string) error { return c.Sidecar(ctx, settings) },
	}
}
